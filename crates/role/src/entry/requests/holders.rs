//! Who can serve a request now, and when somebody will.

use base::prelude::*;
use live::{Agent, Life, ResidencyState};
use route::{AdmissionInput, Holder};

use super::super::control::{Control, back_ms};
use super::super::shared::Ctx;
use super::super::wanted::Wanted;
use super::state::{Request, State};

/// Service time assumed before one was seen.
const SERVICE_TIME_DEFAULT_MS: u32 = 1_000;

/// Time within which an agent that is there, but can't serve, may be able to.
const AGENT_BACK_MS: u64 = 1_000;

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

    /// Takes out those whose upstreams fail, unless all do: then a verdict that
    /// is wrong or old would keep the model from everybody. Returns those taken
    /// out.
    pub(super) fn take_failing(&mut self, ctx: &Ctx<'a>) -> Self {
        let mut failing = Self {
            holders: Vec::new(),
            agents: Vec::new(),
        };
        let health = ctx.shared.health.lock();
        if !health.any_failing() {
            return failing;
        }
        let fails = |id: &AgentId| health.is_failing(id);
        if self.holders.iter().all(|held| fails(held.agent)) {
            return failing;
        }
        failing.holders = self
            .holders
            .extract_if(.., |held| fails(held.agent))
            .collect();
        let agents = self.agents.extract_if(.., |(agent, _)| fails(&agent.id));
        failing.agents = agents.collect();
        failing
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
                .saturating_add(held.sent_since_report);
            let free = held.running_max.saturating_sub(load);
            // The little queue that a holder may have beyond its places.
            free.max(u32::from(route::has_capacity(held)))
        });
        free.sum()
    }
}

const fn is_idle(held: &Holder<'_>) -> bool {
    held.running == 0 && held.waiting == 0 && held.sent_since_report == 0
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
        report_age_ms: hint.age_ms,
        sent_since_report: hint.sent_since,
        suspected: false,
    }
}

/// What admission has to know of a request.
pub(super) fn admit_input(
    ctx: &Ctx<'_>,
    request: &Request,
    candidates: &Candidates<'_>,
    avoided: &[AgentId],
    ahead: u32,
) -> AdmissionInput {
    let wanted = &request.resolved.wanted;
    let stats = ctx.shared.book.lock().stats(ctx.now, wanted);
    let load_wait_ms = match candidates.holders.is_empty() {
        true => load_wait_ms(ctx, request, avoided),
        false => None,
    };
    AdmissionInput {
        remaining_ms: request.remaining_ms(ctx.now),
        // One that waits already, or ran, has lost its first token's time to a
        // load or a failure; refusing it would only add to that.
        first_token_ms: match request.is_fresh() {
            true => request.resolved.first_token_ms,
            false => 0,
        },
        interactive: request.resolved.interactive,
        holders: u32::try_from(candidates.holders.len()).unwrap_or(u32::MAX),
        free_slots: candidates.free_places(),
        slots: candidates.places(),
        queued_ahead: ahead,
        service_time_ms: stats.service_time_ms.unwrap_or(SERVICE_TIME_DEFAULT_MS),
        load_wait_ms,
        answer_time_ms: whole_ms(request, candidates, stats.service_time_ms),
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

/// Predicted time until somebody can serve what nobody can serve now.
fn load_wait_ms(ctx: &Ctx<'_>, request: &Request, avoided: &[AgentId]) -> Option<u64> {
    let pool = pool_of(ctx.control, request)?;
    let agents = ctx.control.directory.agents();
    let there: Vec<&Agent> = agents
        .filter(|agent| agent.pool == *pool && !agent.leaving())
        .filter(|agent| agent.life != Life::Lost && !avoided.contains(&agent.id))
        .collect();
    if there.is_empty() {
        // A process that has just started has not heard of the agents yet.
        let starting = ctx.control.just_started(ctx.now);
        return starting.then_some(AGENT_BACK_MS);
    }
    let back = |agent: &&Agent| back_ms(ctx.now, agent);
    let Some(model) = request.resolved.wanted.model() else {
        let soonest = there.iter().map(back).min()?;
        return Some(soonest.max(AGENT_BACK_MS));
    };
    let holds = |agent: &&&Agent| match request.version {
        Some(version) => agent.serves_version(model.as_str(), version),
        None => agent.serves(model.as_str()).is_some(),
    };
    let held = there.iter().filter(holds).map(back).min();
    let held = held.map(|ms| ms.max(AGENT_BACK_MS));
    if !avoided.is_empty() && kept_from(ctx, request, model, &there, avoided) {
        return held;
    }
    let load = ctx.control.load_wait_ms(ctx.now, model);
    let load = load.map(|ms| ms + burst_ms(ctx, model));
    held.into_iter().chain(load).min()
}

/// Whether a request goes on waiting for a load that is under way, though it is
/// predicted to be late.
///
/// A load that takes longer than loads do is expected to take as long again. By
/// that, what has waited for most of a slow load would be refused shortly before
/// its end, and its wait would be for nothing. A load in progress may end at any
/// moment, so it is waited for as long as the deadline leaves time for the answer
/// and for one more look at the queue, which tells the caller when to come back.
/// Who comes while the load is late already is told at once.
pub(super) fn waits_for_load(
    ctx: &Ctx<'_>,
    request: &Request,
    input: &AdmissionInput,
    avoided: &[AgentId],
) -> bool {
    let Some(model) = request.resolved.wanted.model() else {
        return false;
    };
    let waits = matches!(request.state, State::Waiting(_));
    let look_ms = ctx.control.directory.timing().heartbeat_ms();
    let in_time = input.answer_time_ms.saturating_add(look_ms) < input.remaining_ms;
    let mut agents = ctx.control.directory.agents();
    waits
        && input.holders == 0
        && in_time
        && agents.any(|agent| {
            agent.life == Life::Up
                && agent.upstream_up
                && !agent.leaving()
                && !avoided.contains(&agent.id)
                && agent.loading_since(model.as_str()).is_some()
        })
}

/// Whether only upstreams that the suspect crashed hold its model, and nobody
/// loads it elsewhere: then there is nothing to wait for.
///
/// What was held before the crash does not count. It went with the upstream, and
/// the next heartbeat will say so.
fn kept_from(
    ctx: &Ctx<'_>,
    request: &Request,
    model: &ModelId,
    there: &[&Agent],
    avoided: &[AgentId],
) -> bool {
    let mut elsewhere = there.iter();
    if elsewhere.any(|agent| agent.loading_since(model.as_str()).is_some()) {
        return false;
    }
    let fingerprint = request.resolved.fingerprint;
    let crashed_at = ctx.shared.suspects.lock().last_crash_at(fingerprint);
    let crashed = avoided.iter();
    let mut crashed = crashed.filter_map(|id| ctx.control.directory.get(id));
    crashed.any(|agent| {
        agent.residents.iter().any(|held| {
            held.model == *model
                && held.state == ResidencyState::Loaded
                && Some(held.since) > crashed_at
        })
    })
}

/// Whether agents are there, and the suspect has crashed every one of them.
pub(super) fn crashed_all(
    ctx: &Ctx<'_>,
    request: &Request,
    crashed: &[AgentId],
) -> bool {
    let Some(pool) = pool_of(ctx.control, request) else {
        return false;
    };
    let agents = ctx.control.directory.agents();
    let there = agents.filter(|agent| agent.pool == *pool && agent.life != Life::Lost);
    let mut there = there.peekable();
    there.peek().is_some() && there.all(|agent| crashed.contains(&agent.id))
}

fn pool_of<'a>(control: &'a Control, request: &Request) -> Option<&'a PoolId> {
    let config = control.config()?;
    match &request.resolved.wanted {
        Wanted::Model(model) => Some(&config.model(model.as_str())?.pool),
        Wanted::Service(service) => Some(&config.service(service.as_str())?.pool),
    }
}

/// Time for the loads of other models that began to wait here after the last
/// forecast: they start one after another.
fn burst_ms(ctx: &Ctx<'_>, model: &ModelId) -> u64 {
    if ctx.control.is_foreseen(model) {
        return 0;
    }
    let waiting = ctx.shared.waiting.lock();
    let new = waiting.models().filter(|held| {
        let mut holders = ctx.control.directory.holders(held.as_str());
        *held != model && !ctx.control.is_foreseen(held) && holders.next().is_none()
    });
    let config = ctx.control.config();
    let loads_per_s = config.map_or(1.0, |held| held.store().loads_per_s);
    (new.count() as f64 * 1_000.0 / loads_per_s.max(0.001)) as u64
}
