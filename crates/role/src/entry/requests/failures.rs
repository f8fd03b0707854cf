//! Handles failed attempts, missing answers and lost agents.

use base::prelude::*;
use schema::link::{Cancel, End, Revoke, Revoked, frame};
use schema::timeline::EventKind;

use super::super::EntryAction;
use super::super::control::GoneReason;
use super::super::counters::Counts;
use super::super::shared::Ctx;
use super::super::timeline::TimelineEvent;
use super::Requests;
use super::answers::decode_attempt_id;
use super::send::encode_attempt_id;
use super::state::{Attempt, State};
use crate::Peer;

/// Retry delay sent to the caller if the retry budget was exhausted.
const BUDGET_RETRY_MS: u64 = 2_000;

/// Retry delay sent to the caller after a deadline. The slot is freed at once, and a
/// request that the agent does not stop may have ended by then.
const DEADLINE_RETRY_MS: u64 = 1_000;

/// Number of failures after which a request fails, whatever is left of the retry
/// budget.
const FAILURES_MAX: u32 = 4;

/// Whether a retry is charged to the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryCharge {
    /// The attempt failed at its upstream.
    Charged,
    /// The upstream crashed, or the attempt was a probe that failed.
    ///
    /// A crash may be due to another request, and its retries must not use up the
    /// budget; they are limited anyway, as suspect requests run one at a time. A probe
    /// is sent to a failing upstream on behalf of all entries, and there is one at a
    /// time.
    Exempt,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Failure {
    pub(super) code: ErrorCode,
    /// Whether it ran, if its agent reported that.
    pub(super) ran: Option<RunStatus>,
    pub(super) charge: RetryCharge,
}

impl Requests {
    /// Handles `End` with an error code.
    pub(super) fn attempt_ended_with_error(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        frame: &End,
    ) {
        let code =
            ErrorCode::from_number(frame.code).unwrap_or(ErrorCode::UpstreamFault);
        // A crash does not count for the circuit breaker: the upstream is down, and its
        // agent reports it as such.
        let failing =
            matches!(code, ErrorCode::UpstreamLost | ErrorCode::UpstreamFault);
        let mut probe = false;
        if failing && !frame.upstream_crashed {
            probe = self.record_upstream_outcome(ctx, sequence, false);
        }
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let answered = request.attempt().is_some_and(|attempt| attempt.answered);
        let ran = match RunStatus::from_number(frame.ran) {
            // An attempt with answer parts did run, whatever its end reports.
            RunStatus::NotRun if answered => RunStatus::Ran,
            ran => ran,
        };
        if ran == RunStatus::NotRun {
            self.attempt_not_run(ctx, sequence, code, u64::from(frame.retry_after_ms));
            return;
        }
        if !fails_on_any_upstream(code) {
            let charge = match frame.upstream_crashed || probe {
                true => RetryCharge::Exempt,
                false => RetryCharge::Charged,
            };
            let ran = Some(ran);
            self.attempt_failed(ctx, sequence, Failure { code, ran, charge });
            return;
        }
        let retry_after = u64::from(frame.retry_after_ms);
        self.end_attempt(ctx, sequence, Some(ran));
        self.fail(
            ctx,
            sequence,
            code,
            (retry_after > 0).then_some(retry_after),
        );
    }

    /// Handles a gap in the units of an answer.
    pub(crate) fn answer_gap_found(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        attempt: AttemptId,
    ) {
        let Some(sequence) = self.request_of_attempt(agent, attempt) else {
            return;
        };
        self.cancel_attempt(ctx, sequence);
        let incomplete = Failure {
            code: ErrorCode::AnswerBroken,
            ran: Some(RunStatus::Ran),
            charge: RetryCharge::Charged,
        };
        self.attempt_failed(ctx, sequence, incomplete);
    }

    /// Ends an attempt that failed after it may have run. The request is dispatched
    /// again if that is safe and the limits allow it, and fails otherwise.
    pub(super) fn attempt_failed(
        &mut self,
        ctx: &mut Ctx<'_>,
        sequence: u64,
        failure: Failure,
    ) {
        let Failure { code, ran, charge } = failure;
        let Some(attempt) = self.end_attempt(ctx, sequence, ran) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        request.failures += 1;
        request.last_failure_code = Some(code);
        request.excluded_agents.push(attempt.agent);
        // A request that is not idempotent and may have run must not run again. The
        // caller is told at once that the outcome is unknown, and decides what to do.
        if !request.resolved.idempotent {
            self.fail(ctx, sequence, ErrorCode::OutcomeUnknown, None);
            return;
        }
        if !request.can_resume() {
            self.fail(ctx, sequence, ErrorCode::AnswerBroken, None);
            return;
        }
        if request.failures > FAILURES_MAX {
            self.fail(ctx, sequence, code, Some(BUDGET_RETRY_MS));
            return;
        }
        if charge == RetryCharge::Charged && !take_retry(ctx, request) {
            Counts::increment(&ctx.shared.counts.retries_denied);
            self.fail(ctx, sequence, code, Some(BUDGET_RETRY_MS));
            return;
        }
        self.dispatch_elsewhere(ctx, sequence);
    }

    /// Handles the loss or restart of an agent, or the loss of the link to it.
    pub(crate) fn agent_gone(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        reason: GoneReason,
    ) {
        let known_agent = ctx.control.directory.get(agent);
        let incarnation = known_agent.map(|known| known.incarnation);
        let lost = self.requests.iter().filter(|(_, request)| {
            request.attempt().is_some_and(|attempt| {
                // An attempt sent to the agent's current incarnation is not affected by
                // the restart.
                let same_incarnation = Some(attempt.incarnation) == incarnation;
                let spared = reason == GoneReason::Restarted && same_incarnation;
                // Another thread may have sent an attempt after the event.
                attempt.agent == *agent && attempt.sent_at <= ctx.now && !spared
            })
        });
        let lost: Vec<u64> = lost.map(|(sequence, _)| *sequence).collect();
        for sequence in lost {
            self.attempt_gone(ctx, sequence, reason);
        }
    }

    /// Handles an attempt whose agent is gone. A lost agent may still answer, so it is
    /// queried first if the request is not idempotent and its start was not reported.
    fn attempt_gone(&mut self, ctx: &mut Ctx<'_>, sequence: u64, reason: GoneReason) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let query_first = reason == GoneReason::Lost && !request.resolved.idempotent;
        if query_first && request.attempt().is_some_and(|attempt| !attempt.started) {
            self.revoke_attempt(ctx, sequence);
            return;
        }
        self.give_up_attempt(ctx, sequence);
    }

    /// Handles an attempt that was silent for too long: queries the agent if that is
    /// useful, else gives the attempt up.
    pub(super) fn answer_missing(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        // If the request is not idempotent, the agent is queried once, as its answer
        // decides whether the request may be sent again. An idempotent one is retried
        // at once.
        let query = !request.resolved.idempotent && attempt.revoked_at.is_none();
        if query {
            self.revoke_attempt(ctx, sequence);
            return;
        }
        if attempt.started {
            self.record_upstream_outcome(ctx, sequence, false);
        }
        self.give_up_attempt(ctx, sequence);
    }

    /// Ends the attempt in flight as lost, and stops it at the agent if there is a link
    /// to it.
    fn give_up_attempt(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        self.cancel_attempt(ctx, sequence);
        let lost = Failure {
            code: ErrorCode::UpstreamLost,
            ran: None,
            charge: RetryCharge::Charged,
        };
        self.attempt_failed(ctx, sequence, lost);
    }

    /// Tells the agent to stop the attempt in flight, or not to start it.
    ///
    /// A delayed `Run` frame could start an attempt that nobody waits for any more; the
    /// tombstone left by `Revoke` prevents that. A request that is not idempotent and
    /// has started is left running, so that its answer is stored for the caller's
    /// retry.
    fn cancel_attempt(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        if !attempt.started && attempt.revoked_at.is_none() {
            send_revoke(ctx, attempt);
        }
        if request.resolved.idempotent {
            send_cancel(ctx, attempt);
        }
    }

    /// Queries the agent whether the attempt ran, and forbids it to start.
    fn revoke_attempt(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let id = request.id();
        let Some(attempt) = request.attempt_mut() else {
            return;
        };
        if attempt.revoked_at.is_some() {
            return;
        }
        attempt.revoked_at = Some(ctx.now);
        send_revoke(ctx, attempt);
        let (agent, attempt) = (attempt.agent.clone(), attempt.id);
        Counts::increment(&ctx.shared.counts.revoked);
        TimelineEvent::new(
            EventKind::RequestRevoked,
            format!("queried {agent} whether it ran"),
        )
        .request(id)
        .peer(&agent)
        .record(ctx.out);
        self.schedule_revoke_timeout(ctx.now, attempt);
    }

    /// Handles `Revoked`, in which the agent reports whether an attempt ran.
    pub(crate) fn revoke_answered(
        &mut self,
        ctx: &mut Ctx<'_>,
        agent: &AgentId,
        frame: &Revoked,
    ) {
        let attempt = decode_attempt_id(frame.attempt.as_ref());
        let Some(sequence) = self.request_of_attempt(agent, attempt) else {
            Counts::increment(&ctx.shared.counts.stray_frames);
            return;
        };
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let started = request.attempt().is_some_and(|attempt| attempt.started);
        match RunStatus::from_number(frame.ran) {
            RunStatus::NotRun if !started => {
                self.attempt_not_run(ctx, sequence, ErrorCode::Revoked, 0);
            }
            RunStatus::Unknown => {
                let unknown = Failure {
                    code: ErrorCode::OutcomeUnknown,
                    ran: Some(RunStatus::Unknown),
                    charge: RetryCharge::Charged,
                };
                self.attempt_failed(ctx, sequence, unknown);
            }
            RunStatus::Ran | RunStatus::NotRun => {
                // It ran, so its answer may still arrive. It is awaited as for any
                // started attempt.
                if let Some(attempt) = request.attempt_mut() {
                    attempt.started = true;
                    attempt.last_frame_at = ctx.now;
                }
            }
        }
    }

    /// Ends a request whose caller disconnected.
    pub(crate) fn caller_disconnected(
        &mut self,
        ctx: &mut Ctx<'_>,
        request: RequestId,
    ) {
        let sequence = request.sequence;
        let Some(current) = self.requests.get(&sequence) else {
            return;
        };
        if current.id() != request {
            return;
        }
        self.cancel_attempt(ctx, sequence);
        if let Some(removed) = self.remove(ctx, sequence) {
            Counts::increment(&ctx.shared.counts.cancelled);
            let detail =
                format!("the caller disconnected after {} units", removed.delivered);
            TimelineEvent::new(EventKind::RequestCancelled, detail)
                .request(request)
                .model(removed.resolved.resource.as_str())
                .record(ctx.out);
        }
    }

    /// Ends a request whose deadline passed.
    pub(super) fn deadline_passed(&mut self, ctx: &mut Ctx<'_>, sequence: u64) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let code = match &request.state {
            State::Running(_) => ErrorCode::DeadlineWhileRunning,
            _ => ErrorCode::DeadlineBeforeRun,
        };
        // For a request that is not idempotent, a retry is useful only with an
        // idempotency key, by which the stored answer is found.
        let can_retry =
            request.resolved.idempotent || request.incoming.idempotency_key.is_some();
        let retry_after = can_retry.then_some(DEADLINE_RETRY_MS);
        self.cancel_attempt(ctx, sequence);
        self.fail(ctx, sequence, code, retry_after);
    }
}

fn take_retry(ctx: &Ctx<'_>, request: &super::Request) -> bool {
    let mut workload = ctx.shared.workload.lock();
    workload.try_take_retry(ctx.now, &request.resolved.resource)
}

fn send_revoke(ctx: &mut Ctx<'_>, attempt: &Attempt) {
    let body = frame::Body::Revoke(Revoke {
        attempt: Some(encode_attempt_id(attempt.id)),
        agent_incarnation: attempt.incarnation.0,
    });
    send(ctx, attempt, body);
}

fn send_cancel(ctx: &mut Ctx<'_>, attempt: &Attempt) {
    let body = frame::Body::Cancel(Cancel {
        attempt: Some(encode_attempt_id(attempt.id)),
    });
    send(ctx, attempt, body);
}

fn send(ctx: &mut Ctx<'_>, attempt: &Attempt, body: frame::Body) {
    let peer = Peer::Agent(attempt.agent.clone());
    if ctx.control.links.contains_key(&peer) {
        ctx.out.push(EntryAction::SendFrame { peer, body });
    }
}

/// Whether the attempt would end with the same code at any other upstream.
const fn fails_on_any_upstream(code: ErrorCode) -> bool {
    matches!(
        code,
        ErrorCode::BadRequest
            | ErrorCode::UnknownModel
            | ErrorCode::UnknownService
            | ErrorCode::UnknownPath
            | ErrorCode::BodyTooLarge
            | ErrorCode::KeyReused
            | ErrorCode::KeyInProgress
            | ErrorCode::KeyMissing
            | ErrorCode::BadDeadline
            | ErrorCode::DeadlineWhileRunning
            | ErrorCode::DeadlineBeforeRun
            | ErrorCode::PlatformAway
            | ErrorCode::Conflict
            | ErrorCode::WriteUnanswered
            | ErrorCode::OutcomeUnknown
    )
}
