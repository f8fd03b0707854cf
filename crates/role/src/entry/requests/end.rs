//! The end of a request.

use base::prelude::*;
use schema::timeline::EventKind;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::shared::Ctx;
use super::super::trace::Note;
use super::super::wanted::Wanted;
use super::Requests;
use super::outcome::note_outcome;
use super::place::Placed;
use super::state::{Attempt, Request, State};

impl Requests {
    /// Refuses a request, saying of it what its attempts show.
    ///
    /// An attempt in flight is settled by what was seen of it.
    pub(super) fn refuse(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        code: Code,
        retry_after_ms: Option<u64>,
    ) -> Placed {
        let Some(request) = self.take(ctx, sequence) else {
            return Placed::Ended;
        };
        let ran = request.trail.ran();
        let refusal = Refusal {
            code: said_of(&request, code, ran),
            ran,
            retry_after_ms,
        };
        ctx.shared.counts.refused(refusal.code);
        ctx.shared.tally.lock().refused(&request);
        let detail = format!(
            "{} after {} ms, {} sent, {} refused by gates, {} units given: {code}",
            ran.as_str(),
            ctx.now.ms_since(request.arrived_at),
            request.sent,
            request.refused,
            request.delivered,
        );
        Note::new(EventKind::RequestFailed, detail)
            .request(request.id())
            .model(request.resolved.wanted.as_str())
            .code(refusal.code)
            .put(ctx.out);
        ctx.out.push(EntryAction::Refuse {
            request: request.id(),
            refusal,
        });
        Placed::Ended
    }

    /// Gives the caller the end of a whole answer.
    pub(super) fn finish(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        status: u32,
        content_type: String,
        replayed: bool,
    ) {
        let Some(request) = self.take(ctx, sequence) else {
            return;
        };
        Counts::add(&ctx.shared.counts.finished);
        ctx.shared.tally.lock().finished(ctx.now, &request);
        let replayed = if replayed { ", of an earlier run" } else { "" };
        let detail = format!(
            "{} units after {} ms{replayed}",
            request.delivered,
            ctx.now.ms_since(request.arrived_at),
        );
        Note::new(EventKind::RequestFinished, detail)
            .request(request.id())
            .model(request.resolved.wanted.as_str())
            .put(ctx.out);
        ctx.out.push(EntryAction::Finish {
            request: request.id(),
            status: http_status(status),
            content_type,
            total_units: request.delivered,
        });
    }

    /// Takes a request out of the shard and gives back what it held.
    pub(super) fn take(&mut self, ctx: &mut Ctx<'_>, sequence: u64) -> Option<Request> {
        self.settle(ctx, sequence, None);
        let request = self.live.remove(&sequence)?;
        if let State::Waiting(place) = request.state {
            ctx.shared.waiting.lock().remove(place);
            ctx.shared.callers.lock().dequeue(&request.caller);
        }
        ctx.shared.callers.lock().finish_request(&request.caller);
        Some(request)
    }

    /// Ends the attempt in flight, if any: its frames are late from now on.
    ///
    /// `shown` is what its agent said of it in the end. Without such a word an
    /// attempt counts as run if its start was announced, else as unknown.
    pub(super) fn settle(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        shown: Option<Ran>,
    ) -> Option<Attempt> {
        let request = self.live.get_mut(&sequence)?;
        let held = std::mem::replace(&mut request.state, State::New);
        let attempt = match held {
            State::Running(attempt) => attempt,
            other => {
                request.state = other;
                return None;
            }
        };
        self.attempts.remove(&attempt.id.sequence);
        if attempt.probe {
            // It ended without a word of its upstream: the next may try.
            note_outcome(ctx, &attempt.agent, false, true);
        }
        let seen = match attempt.started {
            true => Ran::Ran,
            false => Ran::Unknown,
        };
        // An attempt that answered did run, whatever is said of it.
        let shown = shown.filter(|_| !attempt.answered);
        request.trail.add(shown.unwrap_or(seen));
        if attempt.alone
            && let Wanted::Model(model) = &request.resolved.wanted
        {
            let fingerprint = request.resolved.fingerprint;
            let mut suspects = ctx.shared.suspects.lock();
            suspects.end_alone_run(model, fingerprint);
            ctx.later.wake.insert(request.resolved.wanted.clone());
            ctx.later.gossip = true;
        }
        ctx.later.room.insert(attempt.agent.clone());
        Some(attempt)
    }
}

/// The code that fits what is known: codes that speak of a request that was
/// not run are not said of one that may have run.
///
/// Two of them don't speak of that. A convict ran. A key in progress is another
/// call's, whose answer the caller gets by coming back: told that the outcome is
/// unknown instead, it would not come back for it.
fn said_of(request: &Request, code: Code, ran: Ran) -> Code {
    let stands = matches!(code, Code::Convicted | Code::KeyInProgress);
    if ran == Ran::NotRun || code.number() / 1_000 != 2 || stands {
        return code;
    }
    if !request.resolved.idempotent {
        return Code::OutcomeUnknown;
    }
    if request.delivered > 0 && code != Code::DeadlineBeforeRun {
        return Code::AnswerBroken;
    }
    match code {
        Code::DeadlineBeforeRun => Code::DeadlineWhileRunning,
        _ => request.last_code.unwrap_or(Code::UpstreamLost),
    }
}

fn http_status(status: u32) -> u16 {
    const OK: u16 = 200;
    match u16::try_from(status) {
        Ok(status) if status >= 100 => status,
        _ => OK,
    }
}
