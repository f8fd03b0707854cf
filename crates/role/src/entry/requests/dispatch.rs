//! Dispatches requests: each is sent to an agent, queued or refused.

use base::prelude::*;
use route::{
    Admission, AdmissionInput, CrashVerdict, EXCLUSIVE_RUN_RETRY_MS, RouteReason,
    RoutingInput, admit, choose_holder, has_capacity,
};
use schema::timeline::EventKind;

use super::super::shared::Ctx;
use super::super::timeline::TimelineEvent;
use super::super::wait_queue::{EnqueueResult, QueuePosition};
use super::Requests;
use super::candidates::{
    Candidates, admission_input, crashed_all, keeps_waiting_for_load,
};
use super::send::Route;
use super::state::{Request, State};
use super::timers::Timer;

/// Number of refusals by agents' admission control after which a request fails. Each
/// states that the request did not run, so the limit only keeps it from being sent from
/// agent to agent forever.
const ADMISSION_REFUSALS_MAX: u32 = 16;

/// Retry delay sent to the caller if none can be predicted.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Result of dispatching a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Dispatched {
    /// It was sent to an agent.
    Sent,
    /// It is in a wait queue.
    Waiting,
    /// It has ended.
    Ended,
}

impl Requests {
    /// Adds a new request and dispatches it.
    pub(crate) fn start(&mut self, ctx: &mut Ctx<'_>, request: Request) {
        let sequence = request.id().sequence;
        self.timers
            .schedule(request.deadline, Timer::Deadline { sequence });
        {
            let mut workload = ctx.shared.workload.lock();
            workload.record_first_attempt(ctx.now, &request.resolved.resource);
        }
        self.requests.insert(sequence, request);
        self.dispatch(ctx, sequence);
    }

    /// Sends a request if possible. Otherwise it is queued if it is predicted to meet its
    /// deadline, and refused at once if not.
    pub(crate) fn dispatch(&mut self, ctx: &mut Ctx<'_>, sequence: u64) -> Dispatched {
        let request = self.requests.get(&sequence);
        let ahead = request.map_or(0, |request| requests_ahead(ctx, request));
        self.dispatch_behind(ctx, sequence, ahead)
    }

    /// Like [`Self::dispatch`], with the number of queued requests ahead of it.
    fn dispatch_behind(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        ahead: u32,
    ) -> Dispatched {
        let Some(request) = self.requests.get(&sequence) else {
            return Dispatched::Ended;
        };
        if request.deadline <= ctx.now {
            return self.fail(ctx, sequence, ErrorCode::DeadlineBeforeRun, None);
        }
        if request.admission_refusals > ADMISSION_REFUSALS_MAX {
            return self.fail(
                ctx,
                sequence,
                ErrorCode::Overloaded,
                Some(DEFAULT_RETRY_AFTER_MS),
            );
        }
        let fingerprint = request.resolved.fingerprint;
        let verdict = ctx.shared.suspects.lock().verdict(ctx.now, fingerprint);
        match verdict {
            CrashVerdict::Clear => self.dispatch_with(ctx, sequence, ahead, false),
            CrashVerdict::Suspect => self.dispatch_with(ctx, sequence, ahead, true),
            CrashVerdict::Convicted { remaining_ms } => self.fail(
                ctx,
                sequence,
                ErrorCode::RequestCrashedUpstreams,
                Some(remaining_ms),
            ),
        }
    }

    /// Like [`Self::dispatch_behind`], once the request's crash verdict is known; a
    /// suspect request is dispatched as an exclusive run.
    fn dispatch_with(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        ahead: u32,
        exclusive: bool,
    ) -> Dispatched {
        let Some(request) = self.requests.get(&sequence) else {
            return Dispatched::Ended;
        };
        let mut candidates = Candidates::of(ctx.control, ctx.now, request);
        let crashed_agents = match exclusive {
            true => crashed_agents_of(ctx, request),
            false => Vec::new(),
        };
        if exclusive {
            candidates.exclude(&crashed_agents);
            candidates.prefer_idle();
        }
        let failing = candidates.take_failing(ctx);
        if cannot_resume(ctx, request, &candidates) {
            return self.fail(ctx, sequence, ErrorCode::AnswerBroken, None);
        }
        let input = admission_input(ctx, request, &candidates, &crashed_agents, ahead);
        if exclusive
            && let Some((code, ms)) =
                exclusive_run_refusal(ctx, request, &input, &crashed_agents)
        {
            return self.fail(ctx, sequence, code, Some(ms));
        }
        match admit(&input) {
            Admission::Refuse(_)
                if keeps_waiting_for_load(ctx, request, &input, &crashed_agents) =>
            {
                self.wait_in_queue(ctx, sequence, input.load_wait_ms)
            }
            Admission::Refuse(error) => {
                self.fail(ctx, sequence, error.code, error.retry_after_ms)
            }
            Admission::Wait { predicted_ms } => {
                ctx.follow_ups.plan |= input.holders == 0;
                self.wait_in_queue(ctx, sequence, Some(predicted_ms))
            }
            Admission::Send if request.not_before > ctx.now => {
                self.wait_in_queue(ctx, sequence, None)
            }
            Admission::Send => {
                match self.choose_route(ctx, sequence, &candidates, &failing, exclusive)
                {
                    Some(route) => self.send(ctx, sequence, &route),
                    None => self.wait_in_queue(ctx, sequence, None),
                }
            }
        }
    }

    /// Chooses the agent. For an exclusive run it also reserves the model's single such
    /// run.
    fn choose_route(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        candidates: &Candidates<'_>,
        failing: &Candidates<'_>,
        exclusive: bool,
    ) -> Option<Route> {
        let request = self.requests.get(&sequence)?;
        if !exclusive
            && let Some(route) = probe_route(ctx, request, failing, candidates)
        {
            return Some(route);
        }
        let input = RoutingInput {
            prefix_hash: request.incoming.prefix_hash,
            domain: &ctx.shared.options.failure_domain,
            excluded: &request.excluded_agents,
        };
        let chosen = choose_holder(&candidates.holders, &input, &mut self.rng)?;
        if exclusive && !try_start_exclusive(ctx, request) {
            return None;
        }
        let holder = &candidates.holders[chosen.index];
        let (agent, version) = candidates.agents[chosen.index];
        let detail = format!(
            "{} holders, {} of {} slots in use at the chosen one, {}",
            candidates.holders.len(),
            holder.running,
            holder.running_max,
            chosen.reason.as_str(),
        );
        agent.load.record_sent();
        Some(Route {
            agent: agent.id.clone(),
            incarnation: agent.incarnation,
            version,
            exclusive,
            probe: false,
            reason: chosen.reason.number(),
            detail,
        })
    }

    /// Adds a request to its wait queue, unless it is there already.
    pub(super) fn wait_in_queue(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        predicted_ms: Option<u64>,
    ) -> Dispatched {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return Dispatched::Ended;
        };
        // Agents that refused it may have capacity when its turn comes.
        request.excluded_agents.clear();
        if matches!(request.state, State::Waiting(_)) {
            return Dispatched::Waiting;
        }
        let position = queue_position(request);
        let resource = request.resolved.resource.clone();
        if let Err(code) = enqueue(ctx, request, position) {
            let retry_after = predicted_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
            return self.fail(ctx, sequence, code, Some(retry_after));
        }
        request.state = State::Waiting(position);
        let detail = match predicted_ms {
            Some(ms) => format!("predicted wait {ms} ms"),
            None => "no holder has capacity".to_owned(),
        };
        TimelineEvent::new(EventKind::RequestWaiting, detail)
            .request(request.id())
            .model(resource.as_str())
            .record(ctx.out);
        if request.not_before > ctx.now {
            let at = request.not_before;
            self.timers.schedule(at, Timer::Retry { sequence });
        }
        Dispatched::Waiting
    }

    /// Refuses a request that was evicted from its queue by a more urgent one.
    pub(crate) fn evicted(&mut self, ctx: &mut Ctx<'_>, request: RequestId) {
        let current = self.requests.get(&request.sequence);
        if current.is_some_and(|current| matches!(current.state, State::Waiting(_))) {
            let retry_after = Some(DEFAULT_RETRY_AFTER_MS);
            self.fail(ctx, request.sequence, ErrorCode::QueueFull, retry_after);
        }
    }

    /// Dispatches a waiting request again; `ahead` requests of its queue remain ahead.
    pub(crate) fn dispatch_waiting(
        &mut self,
        ctx: &mut Ctx<'_>,
        request: RequestId,
        ahead: u32,
    ) -> Dispatched {
        let current = self.requests.get(&request.sequence);
        if current.is_some_and(|current| matches!(current.state, State::Waiting(_))) {
            return self.dispatch_behind(ctx, request.sequence, ahead);
        }
        Dispatched::Ended
    }
}

/// Adds a request to its queue, subject to its caller's limit of waiting requests.
///
/// Without this limit a burst of one caller would fill the queue, and the requests of
/// all others would be refused. A request that evicts a less urgent one is exempt, as
/// the queue does not grow by it.
fn enqueue(
    ctx: &mut Ctx<'_>,
    request: &Request,
    position: QueuePosition,
) -> Result<(), ErrorCode> {
    let config = ctx.control.config();
    let max = config.map_or(0, |config| config.limits().waiting_max);
    let caller = &request.caller;
    let within_limit = ctx.shared.callers.lock().try_enqueue(caller, max);
    let queued = {
        let mut wait_queue = ctx.shared.wait_queue.lock();
        if !within_limit && wait_queue.len() < max as usize {
            return Err(ErrorCode::CallerLimit);
        }
        wait_queue.enqueue(&request.resolved.resource, position, ctx.now, max as usize)
    };
    match queued {
        EnqueueResult::Full if within_limit => {
            ctx.shared.callers.lock().dequeue(caller);
        }
        EnqueueResult::Evicted(other) => ctx.follow_ups.evicted.push(other),
        EnqueueResult::Full | EnqueueResult::Added => {}
    }
    if queued == EnqueueResult::Full {
        return Err(ErrorCode::QueueFull);
    }
    if !within_limit {
        ctx.shared.callers.lock().enqueue_displacing(caller);
    }
    Ok(())
}

/// Whether a partly delivered answer needs a model version that no agent holds and that
/// is no longer configured.
fn cannot_resume(
    ctx: &Ctx<'_>,
    request: &Request,
    candidates: &Candidates<'_>,
) -> bool {
    let (Some(version), Some(model)) =
        (request.version, request.resolved.resource.model())
    else {
        return false;
    };
    let config = ctx.control.config();
    let spec = config.and_then(|config| config.model(model.as_str()));
    candidates.holders.is_empty() && spec.map(|spec| spec.version) != Some(version)
}

fn queue_position(request: &Request) -> QueuePosition {
    QueuePosition {
        priority: std::cmp::Reverse(request.resolved.priority),
        deadline: request.deadline,
        request: request.id(),
    }
}

fn requests_ahead(ctx: &Ctx<'_>, request: &Request) -> u32 {
    let wait_queue = ctx.shared.wait_queue.lock();
    wait_queue.count_ahead(&request.resolved.resource, &queue_position(request))
}

/// Route to a failing upstream, if the request is to probe it.
fn probe_route(
    ctx: &Ctx<'_>,
    request: &Request,
    failing: &Candidates<'_>,
    others: &Candidates<'_>,
) -> Option<Route> {
    // If all holders are failing, they are among `others`.
    let groups = [failing, others];
    let candidates = groups
        .iter()
        .flat_map(|group| group.holders.iter().zip(&group.agents));
    let mut breakers = ctx.shared.breakers.lock();
    if !breakers.any_failing() {
        return None;
    }
    let mut available = candidates.filter(|(holder, (agent, _))| {
        has_capacity(holder) && !request.excluded_agents.contains(&agent.id)
    });
    let (_, (agent, version)) = available.find(|(_, (agent, _))| {
        let is_prober = ctx.control.is_prober(ctx.now, &agent.id);
        let idempotent = request.resolved.idempotent;
        breakers.is_failing(&agent.id)
            && breakers.try_probe(ctx.now, &agent.id, is_prober, idempotent)
    })?;
    agent.load.record_sent();
    Some(Route {
        agent: agent.id.clone(),
        incarnation: agent.incarnation,
        version: *version,
        exclusive: false,
        probe: true,
        reason: RouteReason::OnlyHolder.number(),
        detail: "to check whether it has recovered".to_owned(),
    })
}

/// Agents whose upstreams crashed with the request in flight.
fn crashed_agents_of(ctx: &Ctx<'_>, request: &Request) -> Vec<AgentId> {
    let suspects = ctx.shared.suspects.lock();
    suspects
        .crashed_agents(request.resolved.fingerprint)
        .collect()
}

/// Error code and retry delay if a suspect request can't run before its deadline.
///
/// It may run only on an upstream that it has not crashed, and only in this entry's
/// turn. If it gets neither in time, it would only wait in the queue until its deadline,
/// so it is refused now.
fn exclusive_run_refusal(
    ctx: &Ctx<'_>,
    request: &Request,
    input: &AdmissionInput,
    crashed: &[AgentId],
) -> Option<(ErrorCode, u64)> {
    if input.holders == 0 && crashed_all(ctx, request, crashed) {
        let suspects = ctx.shared.suspects.lock();
        let fingerprint = request.resolved.fingerprint;
        let ms = suspects.remaining_ms(ctx.now, fingerprint);
        return Some((ErrorCode::ModelUnavailable, ms));
    }
    request.resolved.resource.model()?;
    let turn_ms = ctx.control.exclusive_turn_wait_ms(ctx.now);
    let too_late = turn_ms.saturating_add(input.answer_time_ms) > input.remaining_ms;
    too_late.then_some((ErrorCode::Overloaded, turn_ms.max(EXCLUSIVE_RUN_RETRY_MS)))
}

/// Reserves the model's exclusive run for a suspect request; returns whether it may
/// start now.
fn try_start_exclusive(ctx: &mut Ctx<'_>, request: &Request) -> bool {
    let Some(model) = request.resolved.resource.model() else {
        return true;
    };
    if ctx.control.exclusive_turn_wait_ms(ctx.now) > 0 {
        return false;
    }
    let own_id = &ctx.shared.options.id;
    let fingerprint = request.resolved.fingerprint;
    let mut suspects = ctx.shared.suspects.lock();
    let started = suspects.try_start_exclusive_run(model, fingerprint, own_id);
    ctx.follow_ups.gossip |= started;
    started
}
