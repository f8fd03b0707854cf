//! Where a request goes: to an agent, into a queue, or back.

use base::prelude::*;
use route::{
    Admission, AdmissionInput, CrashVerdict, EXCLUSIVE_RUN_RETRY_MS, RouteReason,
    RoutingInput, admit, choose_holder, has_capacity,
};
use schema::timeline::EventKind;

use super::super::shared::Ctx;
use super::super::trace::Note;
use super::super::waiting::{Place, Queued};
use super::Requests;
use super::holders::{Candidates, admit_input, crashed_all, waits_for_load};
use super::send::Route;
use super::state::{Request, State};
use super::timers::Timer;

/// Refusals by gates after which a request is given up. Each was a statement
/// that it was not run, so the bound is only against going round for ever.
const GATE_REFUSALS_MAX: u32 = 16;

/// When to come back if that can't be predicted.
const RETRY_AFTER_MS: u64 = 1_000;

/// What came of placing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Placed {
    /// It was sent.
    Sent,
    /// It waits.
    Waits,
    /// It has ended.
    Ended,
}

impl Requests {
    /// Takes a new request.
    pub(crate) fn start(&mut self, ctx: &mut Ctx<'_>, request: Request) {
        let sequence = request.id().sequence;
        self.timers
            .set(request.deadline, Timer::Deadline { sequence });
        {
            let mut book = ctx.shared.book.lock();
            book.first_try(ctx.now, &request.resolved.wanted);
        }
        self.live.insert(sequence, request);
        self.place(ctx, sequence);
    }

    /// Tries to send a request; it waits if it can't be sent now and will be in
    /// time, and is refused at once if it won't.
    pub(crate) fn place(&mut self, ctx: &mut Ctx<'_>, sequence: u64) -> Placed {
        let held = self.live.get(&sequence);
        let ahead = held.map_or(0, |request| ahead_of_new(ctx, request));
        self.place_behind(ctx, sequence, ahead)
    }

    /// The same, with the number of requests that go before it.
    fn place_behind(&mut self, ctx: &mut Ctx<'_>, sequence: u64, ahead: u32) -> Placed {
        let Some(request) = self.live.get(&sequence) else {
            return Placed::Ended;
        };
        if request.deadline <= ctx.now {
            return self.refuse(ctx, sequence, Code::DeadlineBeforeRun, None);
        }
        if request.refused > GATE_REFUSALS_MAX {
            return self.refuse(ctx, sequence, Code::Overloaded, Some(RETRY_AFTER_MS));
        }
        let fingerprint = request.resolved.fingerprint;
        let verdict = ctx.shared.suspects.lock().verdict(ctx.now, fingerprint);
        match verdict {
            CrashVerdict::Clear => self.place_as(ctx, sequence, ahead, false),
            CrashVerdict::Suspect => self.place_as(ctx, sequence, ahead, true),
            CrashVerdict::Convicted { remaining_ms } => {
                self.refuse(ctx, sequence, Code::Convicted, Some(remaining_ms))
            }
        }
    }

    fn place_as(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        ahead: u32,
        alone: bool,
    ) -> Placed {
        let Some(request) = self.live.get(&sequence) else {
            return Placed::Ended;
        };
        let mut candidates = Candidates::of(ctx.control, ctx.now, request);
        let avoided = match alone {
            true => crashed_on(ctx, request),
            false => Vec::new(),
        };
        if alone {
            candidates.without(&avoided);
            candidates.prefer_idle();
        }
        let failing = candidates.take_failing(ctx);
        if cut_off(ctx, request, &candidates) {
            return self.refuse(ctx, sequence, Code::AnswerBroken, None);
        }
        let input = admit_input(ctx, request, &candidates, &avoided, ahead);
        if alone && let Some((code, ms)) = out_of_reach(ctx, request, &input, &avoided)
        {
            return self.refuse(ctx, sequence, code, Some(ms));
        }
        match admit(&input) {
            Admission::Refuse(_) if waits_for_load(ctx, request, &input, &avoided) => {
                self.wait(ctx, sequence, input.load_wait_ms)
            }
            Admission::Refuse(refusal) => {
                self.refuse(ctx, sequence, refusal.code, refusal.retry_after_ms)
            }
            Admission::Wait { predicted_ms } => {
                ctx.later.plan |= input.holders == 0;
                self.wait(ctx, sequence, Some(predicted_ms))
            }
            Admission::Send if request.not_before > ctx.now => {
                self.wait(ctx, sequence, None)
            }
            Admission::Send => {
                match self.route(ctx, sequence, &candidates, &failing, alone) {
                    Some(route) => self.send(ctx, sequence, &route),
                    None => self.wait(ctx, sequence, None),
                }
            }
        }
    }

    /// Chooses a holder, and takes the model's place for a suspect.
    fn route(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        candidates: &Candidates<'_>,
        failing: &Candidates<'_>,
        alone: bool,
    ) -> Option<Route> {
        let request = self.live.get(&sequence)?;
        if !alone && let Some(route) = probe(ctx, request, failing, candidates) {
            return Some(route);
        }
        let input = RoutingInput {
            prefix_hash: request.arrival.prefix_hash,
            domain: &ctx.shared.options.failure_domain,
            excluded: &request.excluded,
        };
        let chosen = choose_holder(&candidates.holders, &input, &mut self.rng)?;
        if alone && !start_alone(ctx, request) {
            return None;
        }
        let holder = &candidates.holders[chosen.index];
        let (agent, version) = candidates.agents[chosen.index];
        let detail = format!(
            "{} holders, {} of {} running there, {}",
            candidates.holders.len(),
            holder.running,
            holder.running_max,
            chosen.reason.as_str(),
        );
        agent.hint.note_sent();
        Some(Route {
            agent: agent.id.clone(),
            incarnation: agent.incarnation,
            version,
            alone,
            probe: false,
            reason: chosen.reason.number(),
            detail,
        })
    }

    /// Puts a request into its queue, unless it stands there.
    pub(super) fn wait(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        predicted_ms: Option<u64>,
    ) -> Placed {
        let Some(request) = self.live.get_mut(&sequence) else {
            return Placed::Ended;
        };
        // Whom it was refused by may have room by the time it is its turn.
        request.excluded.clear();
        if matches!(request.state, State::Waiting(_)) {
            return Placed::Waits;
        }
        let place = place_of(request);
        let wanted = request.resolved.wanted.clone();
        if let Err(code) = enqueue(ctx, request, place) {
            let retry_after = predicted_ms.unwrap_or(RETRY_AFTER_MS);
            return self.refuse(ctx, sequence, code, Some(retry_after));
        }
        request.state = State::Waiting(place);
        let detail = match predicted_ms {
            Some(ms) => format!("predicted wait {ms} ms"),
            None => "no holder has room".to_owned(),
        };
        Note::new(EventKind::RequestWaiting, detail)
            .request(request.id())
            .model(wanted.as_str())
            .put(ctx.out);
        if request.not_before > ctx.now {
            let at = request.not_before;
            self.timers.set(at, Timer::Wake { sequence });
        }
        Placed::Waits
    }

    /// A waiting request lost its place to a more urgent one.
    pub(crate) fn evicted(&mut self, ctx: &mut Ctx<'_>, request: RequestId) {
        let held = self.live.get(&request.sequence);
        if held.is_some_and(|held| matches!(held.state, State::Waiting(_))) {
            let retry_after = Some(RETRY_AFTER_MS);
            self.refuse(ctx, request.sequence, Code::QueueFull, retry_after);
        }
    }

    /// Tries to send a request that stands at the head of its queue.
    pub(crate) fn try_waiting(
        &mut self,
        ctx: &mut Ctx<'_>,
        request: RequestId,
        ahead: u32,
    ) -> Placed {
        let held = self.live.get(&request.sequence);
        if held.is_some_and(|held| matches!(held.state, State::Waiting(_))) {
            return self.place_behind(ctx, request.sequence, ahead);
        }
        Placed::Ended
    }
}

/// Adds a request to its queue, within its caller's share.
///
/// Without the share one caller's burst would fill the queue, and every other
/// caller would be refused. More urgent work that takes a place from less urgent
/// work is exempt: the queue does not grow by it.
fn enqueue(ctx: &mut Ctx<'_>, request: &Request, place: Place) -> Result<(), Code> {
    let config = ctx.control.config();
    let max = config.map_or(0, |held| held.limits().waiting_max);
    let caller = &request.caller;
    let within = ctx.shared.callers.lock().try_enqueue(caller, max);
    let queued = {
        let mut waiting = ctx.shared.waiting.lock();
        if !within && waiting.len() < max as usize {
            return Err(Code::CallerLimit);
        }
        waiting.add(&request.resolved.wanted, place, ctx.now, max as usize)
    };
    match queued {
        Queued::Full if within => ctx.shared.callers.lock().dequeue(caller),
        Queued::Instead(other) => ctx.later.evicted.push(other),
        Queued::Full | Queued::Yes => {}
    }
    if queued == Queued::Full {
        return Err(Code::QueueFull);
    }
    if !within {
        ctx.shared.callers.lock().enqueue_displacing(caller);
    }
    Ok(())
}

/// Whether an answer was begun by a version that nobody holds or will hold.
fn cut_off(ctx: &Ctx<'_>, request: &Request, candidates: &Candidates<'_>) -> bool {
    let (Some(version), Some(model)) =
        (request.version, request.resolved.wanted.model())
    else {
        return false;
    };
    let config = ctx.control.config();
    let spec = config.and_then(|held| held.model(model.as_str()));
    candidates.holders.is_empty() && spec.map(|held| held.version) != Some(version)
}

fn place_of(request: &Request) -> Place {
    Place {
        priority: std::cmp::Reverse(request.resolved.priority),
        deadline: request.deadline,
        request: request.id(),
    }
}

fn ahead_of_new(ctx: &Ctx<'_>, request: &Request) -> u32 {
    let waiting = ctx.shared.waiting.lock();
    waiting.ahead(&request.resolved.wanted, &place_of(request))
}

/// The way to a failing upstream, if the request is the one to probe it.
fn probe(
    ctx: &Ctx<'_>,
    request: &Request,
    failing: &Candidates<'_>,
    others: &Candidates<'_>,
) -> Option<Route> {
    // With all holders failing they are among the others.
    let all = [failing, others];
    let held = all
        .iter()
        .flat_map(|held| held.holders.iter().zip(&held.agents));
    let mut health = ctx.shared.health.lock();
    if !health.any_failing() {
        return None;
    }
    let mut fit = held.filter(|(holder, (agent, _))| {
        has_capacity(holder) && !request.excluded.contains(&agent.id)
    });
    let (_, (agent, version)) = fit.find(|(_, (agent, _))| {
        let prober = ctx.control.probes(ctx.now, &agent.id);
        let idempotent = request.resolved.idempotent;
        health.is_failing(&agent.id)
            && health.try_probe(ctx.now, &agent.id, prober, idempotent)
    })?;
    agent.hint.note_sent();
    Some(Route {
        agent: agent.id.clone(),
        incarnation: agent.incarnation,
        version: *version,
        alone: false,
        probe: true,
        reason: RouteReason::OnlyHolder.number(),
        detail: "to see whether it works again".to_owned(),
    })
}

/// Agents whose upstreams crashed with a request in flight.
fn crashed_on(ctx: &Ctx<'_>, request: &Request) -> Vec<AgentId> {
    let suspects = ctx.shared.suspects.lock();
    suspects
        .crashed_agents(request.resolved.fingerprint)
        .collect()
}

/// Why a suspect can't be run before its deadline, with when to come back.
///
/// Only an upstream that it has not crashed may run it, and only in this
/// entry's turn. One that has neither in time would stand in the queue until
/// its deadline, and its caller would learn nothing by it.
fn out_of_reach(
    ctx: &Ctx<'_>,
    request: &Request,
    input: &AdmissionInput,
    crashed: &[AgentId],
) -> Option<(Code, u64)> {
    if input.holders == 0 && crashed_all(ctx, request, crashed) {
        let suspects = ctx.shared.suspects.lock();
        let fingerprint = request.resolved.fingerprint;
        let ms = suspects.remaining_ms(ctx.now, fingerprint);
        return Some((Code::ModelUnavailable, ms));
    }
    request.resolved.wanted.model()?;
    let turn_ms = ctx.control.alone_turn_in_ms(ctx.now);
    let late = turn_ms.saturating_add(input.answer_time_ms) > input.remaining_ms;
    late.then_some((Code::Overloaded, turn_ms.max(EXCLUSIVE_RUN_RETRY_MS)))
}

fn start_alone(ctx: &mut Ctx<'_>, request: &Request) -> bool {
    let Some(model) = request.resolved.wanted.model() else {
        return true;
    };
    if ctx.control.alone_turn_in_ms(ctx.now) > 0 {
        return false;
    }
    let me = &ctx.shared.options.id;
    let fingerprint = request.resolved.fingerprint;
    let mut suspects = ctx.shared.suspects.lock();
    let started = suspects.try_start_exclusive_run(model, fingerprint, me);
    ctx.later.gossip |= started;
    started
}
