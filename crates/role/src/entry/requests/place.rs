//! Where a request goes: to an agent, into a queue, or back.

use base::prelude::*;
use route::{Admit, ChooseInput, Verdict, admit, choose};
use schema::timeline::EventKind;

use super::super::shared::Ctx;
use super::super::trace::Note;
use super::super::waiting::{Place, Queued};
use super::Requests;
use super::holders::{Candidates, admit_input};
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
            Verdict::Free => self.place_as(ctx, sequence, false),
            Verdict::Suspect => self.place_as(ctx, sequence, true),
            Verdict::Convicted { remaining_ms } => {
                self.refuse(ctx, sequence, Code::Convicted, Some(remaining_ms))
            }
        }
    }

    fn place_as(&mut self, ctx: &mut Ctx<'_>, sequence: u64, alone: bool) -> Placed {
        let Some(request) = self.live.get(&sequence) else {
            return Placed::Ended;
        };
        let mut candidates = Candidates::of(ctx.control, ctx.now, request);
        if alone {
            let suspects = ctx.shared.suspects.lock();
            let fingerprint = request.resolved.fingerprint;
            let crashed: Vec<AgentId> = suspects.crashed_on(fingerprint).collect();
            drop(suspects);
            candidates.without(&crashed);
            candidates.prefer_idle();
        }
        if cut_off(ctx, request, &candidates) {
            return self.refuse(ctx, sequence, Code::AnswerBroken, None);
        }
        let ahead = match &request.state {
            State::Waiting(place) => {
                let waiting = ctx.shared.waiting.lock();
                waiting.ahead(&request.resolved.wanted, place)
            }
            _ => ahead_of_new(ctx, request),
        };
        let input = admit_input(ctx, request, &candidates, ahead);
        match admit(&input) {
            Admit::Refuse(refusal) => {
                self.refuse(ctx, sequence, refusal.code, refusal.retry_after_ms)
            }
            Admit::Wait { predicted_ms } => {
                ctx.later.plan |= input.holders == 0;
                self.wait(ctx, sequence, Some(predicted_ms))
            }
            Admit::Send if request.not_before > ctx.now => {
                self.wait(ctx, sequence, None)
            }
            Admit::Send => match self.route(ctx, sequence, &candidates, alone) {
                Some(route) => self.send(ctx, sequence, &route),
                None => self.wait(ctx, sequence, None),
            },
        }
    }

    /// Chooses a holder, and takes the model's place for a suspect.
    fn route(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        candidates: &Candidates<'_>,
        alone: bool,
    ) -> Option<Route> {
        let request = self.live.get(&sequence)?;
        let input = ChooseInput {
            prefix_hash: request.arrival.prefix_hash,
            domain: &ctx.shared.options.domain,
            excluded: &request.excluded,
        };
        let chosen = choose(&candidates.holders, &input, &mut self.rng)?;
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
        let config = ctx.control.config();
        let max = config.map_or(0, |held| held.limits().waiting_max as usize);
        let queued = ctx.shared.waiting.lock().add(&wanted, place, ctx.now, max);
        match queued {
            Queued::Full => {
                let retry_after = predicted_ms.unwrap_or(RETRY_AFTER_MS);
                return self.refuse(ctx, sequence, Code::QueueFull, Some(retry_after));
            }
            Queued::Instead(other) => ctx.later.evicted.push(other),
            Queued::Yes => {}
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
    ) -> Placed {
        let held = self.live.get(&request.sequence);
        if held.is_some_and(|held| matches!(held.state, State::Waiting(_))) {
            return self.place(ctx, request.sequence);
        }
        Placed::Ended
    }
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

fn start_alone(ctx: &mut Ctx<'_>, request: &Request) -> bool {
    let Some(model) = request.resolved.wanted.model() else {
        return true;
    };
    if !ctx.control.alone_turn(ctx.now) {
        return false;
    }
    let me = &ctx.shared.options.id;
    let fingerprint = request.resolved.fingerprint;
    let mut suspects = ctx.shared.suspects.lock();
    let started = suspects.try_start_alone(model, fingerprint, me);
    ctx.later.gossip |= started;
    started
}
