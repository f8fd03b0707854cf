//! Who can serve a request now, and when somebody will.

use base::prelude::*;
use live::{Agent, Life};
use route::{AdmitInput, Holder};

use super::super::control::Control;
use super::super::shared::Ctx;
use super::super::wanted::Wanted;
use super::state::Request;

/// Service time assumed before one was seen.
const SERVICE_TIME_DEFAULT_MS: u32 = 1_000;

/// Time from a wish to the order for a load.
const PLAN_DELAY_MS: u64 = 500;

/// Time within which an agent that is there, but can't serve, may be able to.
const AGENT_BACK_MS: u64 = 1_000;

/// Least time that a load which is under way still takes.
const LOADING_MIN_MS: u64 = 50;

/// Agents that can serve a request, with the version each would serve.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    pub(super) holders: Vec<Holder<'a>>,
    pub(super) agents: Vec<(&'a Agent, u32)>,
}

impl<'a> Candidates<'a> {
    /// Those that can serve `request`, in order of name.
    ///
    /// The configured version comes first. While nobody holds it yet, the
    /// highest that is held goes on serving, so that a new version does not
    /// make a model unreachable until it is loaded. An answer that was begun
    /// stays with its version.
    pub(super) fn of(control: &'a Control, now: Instant, request: &Request) -> Self {
        let agents = match &request.resolved.wanted {
            Wanted::Model(model) => model_agents(control, now, request, model),
            Wanted::Service(service) => service_agents(control, now, service),
        };
        let holders = agents.iter().map(|(agent, _)| holder(now, agent)).collect();
        Self { holders, agents }
    }

    /// Leaves out agents.
    pub(super) fn without(&mut self, excluded: &[AgentId]) {
        let keep = |id: &AgentId| !excluded.contains(id);
        self.holders.retain(|holder| keep(holder.agent));
        self.agents.retain(|(agent, _)| keep(&agent.id));
    }

    /// Keeps only holders without load if there are any: a gate takes a suspect
    /// only when nothing else is in flight.
    pub(super) fn prefer_idle(&mut self) {
        let idle = self.holders.iter().filter(|held| is_idle(held));
        let idle: Vec<AgentId> = idle.map(|held| held.agent.clone()).collect();
        if !idle.is_empty() {
            self.holders.retain(|held| idle.contains(held.agent));
            self.agents.retain(|(agent, _)| idle.contains(&agent.id));
        }
    }

    fn places(&self) -> u32 {
        self.holders.iter().map(|held| held.running_max).sum()
    }

    fn free_places(&self) -> u32 {
        let free = self.holders.iter().map(|held| {
            let load = held
                .running
                .saturating_add(held.waiting)
                .saturating_add(held.sent_since_hint);
            let free = held.running_max.saturating_sub(load);
            // The little queue that a holder may have beyond its places.
            free.max(u32::from(route::has_room(held)))
        });
        free.sum()
    }
}

const fn is_idle(held: &Holder<'_>) -> bool {
    held.running == 0 && held.waiting == 0 && held.sent_since_hint == 0
}

fn model_agents<'a>(
    control: &'a Control,
    now: Instant,
    request: &Request,
    model: &ModelId,
) -> Vec<(&'a Agent, u32)> {
    let holders = control.directory.holders(model.as_str());
    let usable = holders.filter(|agent| control.usable(now, agent));
    let usable: Vec<&Agent> = usable.collect();
    let config = control.config();
    let configured = config.and_then(|held| held.model(model.as_str()));
    let configured = configured.map(|spec| spec.version);
    let of_version = |version: u32| -> Vec<(&'a Agent, u32)> {
        let held = usable.iter();
        held.filter(|agent| agent.serves_version(model.as_str(), version))
            .map(|agent| (*agent, version))
            .collect()
    };
    if let Some(version) = request.version {
        return of_version(version);
    }
    let current = configured.map(of_version).unwrap_or_default();
    if !current.is_empty() {
        return current;
    }
    let highest = usable
        .iter()
        .filter_map(|agent| agent.serves(model.as_str()));
    highest.max().map(of_version).unwrap_or_default()
}

fn service_agents<'a>(
    control: &'a Control,
    now: Instant,
    service: &ServiceId,
) -> Vec<(&'a Agent, u32)> {
    let config = control.config();
    let Some(spec) = config.and_then(|held| held.service(service.as_str())) else {
        return Vec::new();
    };
    let agents = control.directory.agents();
    let of_pool = agents.filter(|agent| agent.pool == spec.pool);
    let usable = of_pool.filter(|agent| control.usable(now, agent));
    usable.map(|agent| (agent, 0)).collect()
}

fn holder(now: Instant, agent: &Agent) -> Holder<'_> {
    let hint = agent.hint.read(now);
    Holder {
        agent: &agent.id,
        domain: &agent.domain,
        running: hint.running,
        waiting: hint.waiting,
        running_max: hint.running_max,
        step_time_us: hint.step_time_us,
        hint_age_ms: hint.age_ms,
        sent_since_hint: hint.sent_since,
        suspected: false,
    }
}

/// What admission has to know of a request.
pub(super) fn admit_input(
    ctx: &Ctx<'_>,
    request: &Request,
    candidates: &Candidates<'_>,
    ahead: u32,
) -> AdmitInput {
    let wanted = &request.resolved.wanted;
    let stats = ctx.shared.book.lock().stats(ctx.now, wanted);
    let load_wait_ms = match candidates.holders.is_empty() {
        true => load_wait_ms(ctx, request),
        false => None,
    };
    AdmitInput {
        remaining_ms: request.remaining_ms(ctx.now),
        first_token_ms: request.resolved.first_token_ms,
        interactive: request.resolved.interactive,
        holders: u32::try_from(candidates.holders.len()).unwrap_or(u32::MAX),
        free_places: candidates.free_places(),
        places: candidates.places(),
        ahead,
        service_time_ms: stats.service_time_ms.unwrap_or(SERVICE_TIME_DEFAULT_MS),
        load_wait_ms,
        whole_ms: whole_ms(request, candidates, stats.service_time_ms),
    }
}

/// Predicted time of the whole answer: the mean of others, but not more than
/// the answer's greatest length takes.
fn whole_ms(
    request: &Request,
    candidates: &Candidates<'_>,
    mean_ms: Option<u32>,
) -> u64 {
    let mean_ms = u64::from(mean_ms.unwrap_or(0));
    let steps = candidates.holders.iter().map(|held| held.step_time_us);
    let step_us = steps.filter(|us| *us > 0).min();
    let Some(step_us) = step_us.filter(|_| request.arrival.tokens_max > 0) else {
        return mean_ms;
    };
    let tokens = u64::from(request.arrival.tokens_max);
    let left = tokens.saturating_sub(request.delivered);
    mean_ms.min(left.saturating_mul(u64::from(step_us)) / 1_000)
}

/// Predicted time until somebody holds what nobody holds now.
fn load_wait_ms(ctx: &Ctx<'_>, request: &Request) -> Option<u64> {
    let control = ctx.control;
    let config = control.config()?;
    let (pool, model) = match &request.resolved.wanted {
        Wanted::Model(model) => (&config.model(model.as_str())?.pool, Some(model)),
        Wanted::Service(service) => (&config.service(service.as_str())?.pool, None),
    };
    let agents = control.directory.agents();
    let mut there = agents
        .filter(|agent| agent.pool == *pool && !agent.leaving())
        .filter(|agent| agent.life != Life::Lost)
        .peekable();
    if there.peek().is_none() {
        // A process that has just started has not heard of the agents yet.
        let starting = control.just_started(ctx.now);
        return starting.then_some(AGENT_BACK_MS);
    }
    let Some(model) = model else {
        return Some(AGENT_BACK_MS);
    };
    let load_time_ms = u64::from(config.store().load_time_ms);
    let loading = there.filter_map(|agent| agent.loading_since(model.as_str()));
    if let Some(since) = loading.min() {
        let left = load_time_ms.saturating_sub(ctx.now.ms_since(since));
        return Some(left.max(LOADING_MIN_MS));
    }
    let before = unheld_before(ctx, model) as f64;
    let starts_ms = before * 1_000.0 / config.store().loads_per_s.max(0.001);
    Some(load_time_ms + PLAN_DELAY_MS + starts_ms as u64)
}

/// Other models that wait for a load here.
fn unheld_before(ctx: &Ctx<'_>, model: &ModelId) -> usize {
    let waiting = ctx.shared.waiting.lock();
    let unheld = waiting.models().filter(|held| {
        *held != model
            && ctx
                .control
                .directory
                .holders(held.as_str())
                .next()
                .is_none()
    });
    unheld.count()
}
