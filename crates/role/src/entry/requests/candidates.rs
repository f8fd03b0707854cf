//! Finds the agents that can serve a request, or predicts when one can.

use base::prelude::*;
use live::{Agent, Liveness, ResidencyState};
use route::{AdmissionInput, Holder};

use super::super::control::{Control, predicted_return_ms};
use super::super::resolve::Resource;
use super::super::shared::Ctx;
use super::state::{Request, State};

/// Service time assumed until one was measured.
const SERVICE_TIME_DEFAULT_MS: u32 = 1_000;

/// Minimum predicted time until an agent that can't currently serve can.
const AGENT_RETURN_MIN_MS: u64 = 1_000;

/// Agents that can serve a request, with the model version that each would serve.
#[derive(Debug)]
pub(super) struct Candidates<'a> {
    pub(super) holders: Vec<Holder<'a>>,
    pub(super) agents: Vec<(&'a Agent, u32)>,
}

impl<'a> Candidates<'a> {
    /// Agents that can serve `request`, in order of name.
    ///
    /// The configured version is preferred. While no agent holds it, the highest version
    /// held is used, so that the model stays available until a new version is loaded. A
    /// partly delivered answer is continued by the same version only.
    pub(super) fn of(control: &'a Control, now: Instant, request: &Request) -> Self {
        let agents = match &request.resolved.resource {
            Resource::Model(model) => model_agents(control, now, request, model),
            Resource::Service(service) => service_agents(control, now, service),
        };
        let holders = agents.iter().map(|(agent, _)| holder(now, agent)).collect();
        Self { holders, agents }
    }

    /// Removes the given agents.
    pub(super) fn exclude(&mut self, excluded: &[AgentId]) {
        let keep = |id: &AgentId| !excluded.contains(id);
        self.holders.retain(|holder| keep(holder.agent));
        self.agents.retain(|(agent, _)| keep(&agent.id));
    }

    /// Removes agents whose upstreams are failing, and returns them. If all are failing,
    /// none is removed: otherwise a wrong or outdated state of the circuit breakers
    /// would make the model unavailable.
    pub(super) fn take_failing(&mut self, ctx: &Ctx<'a>) -> Self {
        let mut failing = Self {
            holders: Vec::new(),
            agents: Vec::new(),
        };
        let breakers = ctx.shared.breakers.lock();
        if !breakers.any_failing() {
            return failing;
        }
        let is_failing = |id: &AgentId| breakers.is_failing(id);
        if self.holders.iter().all(|holder| is_failing(holder.agent)) {
            return failing;
        }
        failing.holders = self
            .holders
            .extract_if(.., |holder| is_failing(holder.agent))
            .collect();
        let agents = self
            .agents
            .extract_if(.., |(agent, _)| is_failing(&agent.id));
        failing.agents = agents.collect();
        failing
    }

    /// Keeps only idle holders, if there are any: an agent starts an exclusive run only
    /// when nothing else is in flight at its upstream.
    pub(super) fn prefer_idle(&mut self) {
        let idle = self.holders.iter().filter(|holder| is_idle(holder));
        let idle: Vec<AgentId> = idle.map(|holder| holder.agent.clone()).collect();
        if !idle.is_empty() {
            self.holders.retain(|holder| idle.contains(holder.agent));
            self.agents.retain(|(agent, _)| idle.contains(&agent.id));
        }
    }

    fn slots(&self) -> u32 {
        self.holders.iter().map(|holder| holder.running_max).sum()
    }

    /// Number of further requests that the holders can be sent.
    fn free_slots(&self) -> u32 {
        let free = self.holders.iter().map(|holder| {
            let load = holder
                .running
                .saturating_add(holder.waiting)
                .saturating_add(holder.sent_since_report);
            let free = holder.running_max.saturating_sub(load);
            // A holder may also have a short queue beyond its slots.
            free.max(u32::from(route::has_capacity(holder)))
        });
        free.sum()
    }
}

const fn is_idle(holder: &Holder<'_>) -> bool {
    holder.running == 0 && holder.waiting == 0 && holder.sent_since_report == 0
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
    let configured = config.and_then(|config| config.model(model.as_str()));
    let configured = configured.map(|spec| spec.version);
    let of_version = |version: u32| -> Vec<(&'a Agent, u32)> {
        let agents = usable.iter();
        agents
            .filter(|agent| agent.has_loaded_version(model.as_str(), version))
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
        .filter_map(|agent| agent.loaded_version(model.as_str()));
    highest.max().map(of_version).unwrap_or_default()
}

fn service_agents<'a>(
    control: &'a Control,
    now: Instant,
    service: &ServiceId,
) -> Vec<(&'a Agent, u32)> {
    let config = control.config();
    let Some(spec) = config.and_then(|config| config.service(service.as_str())) else {
        return Vec::new();
    };
    let agents = control.directory.agents();
    let of_pool = agents.filter(|agent| agent.pool == spec.pool);
    let usable = of_pool.filter(|agent| control.usable(now, agent));
    usable.map(|agent| (agent, 0)).collect()
}

fn holder(now: Instant, agent: &Agent) -> Holder<'_> {
    let load = agent.load.latest(now);
    Holder {
        agent: &agent.id,
        domain: &agent.failure_domain,
        running: load.running,
        waiting: load.waiting,
        running_max: load.running_max,
        step_time_us: load.step_time_us,
        report_age_ms: load.age_ms,
        sent_since_report: load.sent_since_report,
        suspected: false,
    }
}

/// Input of admission control for a request.
pub(super) fn admission_input(
    ctx: &Ctx<'_>,
    request: &Request,
    candidates: &Candidates<'_>,
    crashed_agents: &[AgentId],
    ahead: u32,
) -> AdmissionInput {
    let resource = &request.resolved.resource;
    let stats = ctx.shared.workload.lock().snapshot(ctx.now, resource);
    let load_wait_ms = match candidates.holders.is_empty() {
        true => predicted_serve_wait_ms(ctx, request, crashed_agents),
        false => None,
    };
    AdmissionInput {
        remaining_ms: request.remaining_ms(ctx.now),
        // The target applies to new requests only. One that already waited or ran has
        // lost that time to a load or a failure, and refusing it would lose more.
        first_token_ms: match request.is_fresh() {
            true => request.resolved.first_token_ms,
            false => 0,
        },
        interactive: request.resolved.interactive,
        holders: u32::try_from(candidates.holders.len()).unwrap_or(u32::MAX),
        free_slots: candidates.free_slots(),
        slots: candidates.slots(),
        queued_ahead: ahead,
        service_time_ms: stats.service_time_ms.unwrap_or(SERVICE_TIME_DEFAULT_MS),
        load_wait_ms,
        answer_time_ms: predicted_answer_ms(request, candidates, stats.service_time_ms),
    }
}

/// Predicted time to the end of the answer: the mean service time, but no more than the
/// remaining tokens take at the limit of the answer's length.
fn predicted_answer_ms(
    request: &Request,
    candidates: &Candidates<'_>,
    mean_ms: Option<u32>,
) -> u64 {
    let mean_ms = u64::from(mean_ms.unwrap_or(0));
    let steps = candidates.holders.iter().map(|holder| holder.step_time_us);
    let step_us = steps.filter(|us| *us > 0).min();
    let Some(step_us) = step_us.filter(|_| request.incoming.tokens_max > 0) else {
        return mean_ms;
    };
    let tokens = u64::from(request.incoming.tokens_max);
    let left = tokens.saturating_sub(request.delivered);
    mean_ms.min(left.saturating_mul(u64::from(step_us)) / 1_000)
}

/// Predicted time until an agent can serve a request that none can serve now.
fn predicted_serve_wait_ms(
    ctx: &Ctx<'_>,
    request: &Request,
    crashed_agents: &[AgentId],
) -> Option<u64> {
    let pool = pool_of(ctx.control, request)?;
    let agents = ctx.control.directory.agents();
    let pool_agents: Vec<&Agent> = agents
        .filter(|agent| agent.pool == *pool && !agent.leaving())
        .filter(|agent| {
            agent.liveness != Liveness::Lost && !crashed_agents.contains(&agent.id)
        })
        .collect();
    if pool_agents.is_empty() {
        // A process that has just started may not know the agents yet.
        let starting = ctx.control.just_started(ctx.now);
        return starting.then_some(AGENT_RETURN_MIN_MS);
    }
    let return_ms = |agent: &&Agent| predicted_return_ms(ctx.now, agent);
    let Some(model) = request.resolved.resource.model() else {
        let soonest = pool_agents.iter().map(return_ms).min()?;
        return Some(soonest.max(AGENT_RETURN_MIN_MS));
    };
    let holds = |agent: &&&Agent| match request.version {
        Some(version) => agent.has_loaded_version(model.as_str(), version),
        None => agent.loaded_version(model.as_str()).is_some(),
    };
    let holder_ms = pool_agents.iter().filter(holds).map(return_ms).min();
    let holder_ms = holder_ms.map(|ms| ms.max(AGENT_RETURN_MIN_MS));
    if !crashed_agents.is_empty()
        && held_only_where_crashed(ctx, request, model, &pool_agents, crashed_agents)
    {
        return holder_ms;
    }
    let load_ms = ctx.control.predicted_load_wait_ms(ctx.now, model);
    let load_ms = load_ms.map(|ms| ms + new_loads_wait_ms(ctx, model));
    holder_ms.into_iter().chain(load_ms).min()
}

/// Whether a request keeps waiting for a load in progress although the load is predicted
/// to be too late.
///
/// A load that exceeds the configured load time is predicted to exceed it by as much
/// again. By that prediction, a request that has waited for most of a slow load would be
/// refused shortly before its end. But a load in progress may end at any time, so a
/// waiting request stays in the queue as long as its deadline leaves time for the answer
/// and for one more scan of the queue, in which it can still be refused with a retry
/// delay. A new request that arrives while the load is overdue is refused at once.
pub(super) fn keeps_waiting_for_load(
    ctx: &Ctx<'_>,
    request: &Request,
    input: &AdmissionInput,
    crashed_agents: &[AgentId],
) -> bool {
    let Some(model) = request.resolved.resource.model() else {
        return false;
    };
    let waits = matches!(request.state, State::Waiting(_));
    let scan_ms = ctx.control.directory.silence_limits().heartbeat_ms();
    let in_time = input.answer_time_ms.saturating_add(scan_ms) < input.remaining_ms;
    let mut agents = ctx.control.directory.agents();
    waits
        && input.holders == 0
        && in_time
        && agents.any(|agent| {
            agent.liveness == Liveness::Up
                && agent.upstream_up
                && !agent.leaving()
                && !crashed_agents.contains(&agent.id)
                && agent.loading_since(model.as_str()).is_some()
        })
}

/// Whether the model is held only by upstreams that the suspect request crashed, and no
/// other agent is loading it, so that waiting is pointless.
///
/// A residency from before the crash does not count: it was lost with the upstream, and
/// the next heartbeat will report that.
fn held_only_where_crashed(
    ctx: &Ctx<'_>,
    request: &Request,
    model: &ModelId,
    pool_agents: &[&Agent],
    crashed_agents: &[AgentId],
) -> bool {
    let mut elsewhere = pool_agents.iter();
    if elsewhere.any(|agent| agent.loading_since(model.as_str()).is_some()) {
        return false;
    }
    let fingerprint = request.resolved.fingerprint;
    let crashed_at = ctx.shared.suspects.lock().last_crash_at(fingerprint);
    let crashed = crashed_agents.iter();
    let mut crashed = crashed.filter_map(|id| ctx.control.directory.get(id));
    crashed.any(|agent| {
        agent.residents.iter().any(|resident| {
            resident.model == *model
                && resident.state == ResidencyState::Loaded
                && Some(resident.since) > crashed_at
        })
    })
}

/// Whether the pool has agents, and the suspect request has crashed the upstreams of all
/// of them.
pub(super) fn crashed_all(
    ctx: &Ctx<'_>,
    request: &Request,
    crashed: &[AgentId],
) -> bool {
    let Some(pool) = pool_of(ctx.control, request) else {
        return false;
    };
    let agents = ctx.control.directory.agents();
    let pool_agents =
        agents.filter(|agent| agent.pool == *pool && agent.liveness != Liveness::Lost);
    let mut pool_agents = pool_agents.peekable();
    pool_agents.peek().is_some() && pool_agents.all(|agent| crashed.contains(&agent.id))
}

fn pool_of<'a>(control: &'a Control, request: &Request) -> Option<&'a PoolId> {
    let config = control.config()?;
    match &request.resolved.resource {
        Resource::Model(model) => Some(&config.model(model.as_str())?.pool),
        Resource::Service(service) => Some(&config.service(service.as_str())?.pool),
    }
}

/// Time until the loads of models awaited here only since the last forecast have
/// started. The weight store starts them one after another, before the load of `model`.
fn new_loads_wait_ms(ctx: &Ctx<'_>, model: &ModelId) -> u64 {
    if ctx.control.has_forecast(model) {
        return 0;
    }
    let wait_queue = ctx.shared.wait_queue.lock();
    let new = wait_queue.models().filter(|other| {
        let mut holders = ctx.control.directory.holders(other.as_str());
        *other != model && !ctx.control.has_forecast(other) && holders.next().is_none()
    });
    let config = ctx.control.config();
    let loads_per_s = config.map_or(1.0, |config| config.store().loads_per_s);
    (new.count() as f64 * 1_000.0 / loads_per_s.max(0.001)) as u64
}
