//! Ends requests and attempts.

use base::prelude::*;
use schema::timeline::EventKind;

use super::super::EntryAction;
use super::super::counters::Counts;
use super::super::resolve::Resource;
use super::super::shared::Ctx;
use super::super::timeline::TimelineEvent;
use super::Requests;
use super::dispatch::Dispatched;
use super::keyed_runs;
use super::state::{Attempt, Request, State};
use super::upstream_outcome::record_outcome;

impl Requests {
    /// Ends a request with an error, which reports whether the request ran, as far as
    /// is known from its attempts, including the one in flight, which is ended.
    pub(super) fn fail(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        code: ErrorCode,
        retry_after_ms: Option<u64>,
    ) -> Dispatched {
        let Some(request) = self.remove(ctx, sequence) else {
            return Dispatched::Ended;
        };
        let ran = request.history.ran();
        let error = RequestError {
            code: final_error_code(&request, code, ran),
            ran,
            retry_after_ms,
        };
        ctx.shared.counts.record_refused(error.code);
        ctx.shared.outcomes.lock().record_refused(&request);
        let detail = format!(
            "{} after {} ms, {} attempts, {} refused by agents, {} units delivered: {code}",
            ran.as_str(),
            ctx.now.ms_since(request.arrived_at),
            request.attempts_sent,
            request.admission_refusals,
            request.delivered,
        );
        TimelineEvent::new(EventKind::RequestFailed, detail)
            .request(request.id())
            .model(request.resolved.resource.as_str())
            .code(error.code)
            .record(ctx.out);
        ctx.out.push(EntryAction::Fail {
            request: request.id(),
            error,
        });
        Dispatched::Ended
    }

    /// Ends a request with a complete answer.
    pub(super) fn finish(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        status: u32,
        content_type: String,
        replayed: bool,
    ) {
        let Some(request) = self.remove(ctx, sequence) else {
            return;
        };
        Counts::increment(&ctx.shared.counts.finished);
        ctx.shared
            .outcomes
            .lock()
            .record_finished(ctx.now, &request);
        let replayed = if replayed {
            ", replayed from an earlier run"
        } else {
            ""
        };
        let detail = format!(
            "{} units after {} ms{replayed}",
            request.delivered,
            ctx.now.ms_since(request.arrived_at),
        );
        TimelineEvent::new(EventKind::RequestFinished, detail)
            .request(request.id())
            .model(request.resolved.resource.as_str())
            .record(ctx.out);
        ctx.out.push(EntryAction::Finish {
            request: request.id(),
            status: http_status(status),
            content_type,
            total_units: request.delivered,
        });
    }

    /// Removes a request from the shard, its queue and its caller's count.
    pub(super) fn remove(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
    ) -> Option<Request> {
        self.end_attempt(ctx, sequence, None);
        let request = self.requests.remove(&sequence)?;
        if let State::Waiting(position) = request.state {
            ctx.shared.wait_queue.lock().remove(position);
            ctx.shared.callers.lock().dequeue(&request.caller);
        }
        ctx.shared.callers.lock().finish_request(&request.caller);
        Some(request)
    }

    /// Ends the attempt in flight, if any; later frames about it are dropped.
    ///
    /// `reported` is what the agent finally reported. Without a report, the attempt
    /// counts as run if its start was reported, else as unknown.
    pub(super) fn end_attempt(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        reported: Option<RunStatus>,
    ) -> Option<Attempt> {
        let request = self.requests.get_mut(&sequence)?;
        let state = std::mem::replace(&mut request.state, State::New);
        let attempt = match state {
            State::Running(attempt) => attempt,
            other => {
                request.state = other;
                return None;
            }
        };
        self.attempts.remove(&attempt.id.sequence);
        if attempt.probe {
            // The probe ended without an outcome; the breaker may grant another one.
            record_outcome(ctx, &attempt.agent, false, true);
        }
        let observed = match attempt.started {
            true => RunStatus::Ran,
            false => RunStatus::Unknown,
        };
        // An attempt with answer parts did run, whatever the agent reports.
        let reported = reported.filter(|_| !attempt.answered);
        let ran = reported.unwrap_or(observed);
        request.history.add(ran);
        keyed_runs::log_ended(ctx, request, &attempt, reported, ran);
        if attempt.exclusive
            && let Resource::Model(model) = &request.resolved.resource
        {
            let fingerprint = request.resolved.fingerprint;
            let mut suspects = ctx.shared.suspects.lock();
            suspects.end_exclusive_run(model, fingerprint);
            ctx.follow_ups
                .wake
                .insert(request.resolved.resource.clone());
            ctx.follow_ups.gossip = true;
        }
        ctx.follow_ups
            .agents_with_capacity
            .insert(attempt.agent.clone());
        Some(attempt)
    }
}

/// Replaces codes that imply that a request did not run (the 2000s) if it may have run.
///
/// Two of these codes are kept. A convicted request did run. A key in progress belongs
/// to another request, whose answer the caller gets by retrying; it would not retry if
/// it were told that the outcome is unknown.
fn final_error_code(request: &Request, code: ErrorCode, ran: RunStatus) -> ErrorCode {
    let keeps_code = matches!(
        code,
        ErrorCode::RequestCrashedUpstreams | ErrorCode::KeyInProgress
    );
    if ran == RunStatus::NotRun || code.number() / 1_000 != 2 || keeps_code {
        return code;
    }
    if !request.resolved.idempotent {
        return ErrorCode::OutcomeUnknown;
    }
    if request.delivered > 0 && code != ErrorCode::DeadlineBeforeRun {
        return ErrorCode::AnswerBroken;
    }
    match code {
        ErrorCode::DeadlineBeforeRun => ErrorCode::DeadlineWhileRunning,
        _ => request.last_failure_code.unwrap_or(ErrorCode::UpstreamLost),
    }
}

fn http_status(status: u32) -> u16 {
    const OK: u16 = 200;
    match u16::try_from(status) {
        Ok(status) if status >= 100 => status,
        _ => OK,
    }
}
