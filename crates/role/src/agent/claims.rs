//! Claims of idempotency keys by non-idempotent requests. A claim is stored in
//! the platform; of all requests with the same key, only the one that holds it
//! runs.

use super::attempt_lifecycle::{encode_attempt_id, encode_retry_after_ms};
use super::attempts::Phase;
use super::{AgentAction, AgentRole, timeline};
use base::PlatformResult;
use base::prelude::*;
use once::{ClaimAction, ClaimOutcome, ClaimRequest, Claims, StoredResponse};
use schema::link::{self, End, frame};
use schema::timeline::EventKind;

impl AgentRole {
    /// Calls the claims' state machine (crate `once`) and carries out the
    /// actions that it returns.
    pub(super) fn with_claims(
        &mut self,
        now: Instant,
        out: &mut Vec<AgentAction>,
        work: impl FnOnce(&mut Claims, &mut Vec<ClaimAction>),
    ) {
        let mut actions = Vec::new();
        work(&mut self.claims, &mut actions);
        for action in actions {
            match action {
                ClaimAction::CallPlatform(call) => {
                    out.push(AgentAction::CallPlatform(call));
                }
                ClaimAction::Settled { attempt, outcome } => {
                    self.on_claim_settled(now, attempt, outcome, out);
                }
                ClaimAction::Finished { attempt } => {
                    self.send_delayed_end(attempt, out);
                }
                ClaimAction::Released { attempt } => {
                    timeline::attempt_event(EventKind::ClaimReleased, attempt, 0, out);
                    self.finish_withdrawal(now, attempt, out);
                }
            }
        }
    }

    pub(super) fn begin_claim(
        &mut self,
        now: Instant,
        request: ClaimRequest,
        out: &mut Vec<AgentAction>,
    ) {
        self.with_claims(now, out, |claims, actions| {
            claims.request_claim(now, request, actions);
        });
    }

    pub(super) fn finish_claim(
        &mut self,
        now: Instant,
        id: AttemptId,
        answer: Option<StoredResponse>,
        wait_until: Instant,
        out: &mut Vec<AgentAction>,
    ) {
        self.with_claims(now, out, |claims, actions| {
            claims.finish(now, id, answer, wait_until, actions);
        });
    }

    pub(super) fn release_claim(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        self.with_claims(now, out, |claims, actions| {
            claims.release(now, id, actions);
        });
    }

    pub(super) fn on_claims_answer(
        &mut self,
        now: Instant,
        call: u64,
        result: PlatformResult,
        out: &mut Vec<AgentAction>,
    ) {
        self.with_claims(now, out, |claims, actions| {
            claims.platform_answered(now, call, result, actions);
        });
    }

    pub(super) fn tick_claims(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if self.claims.next_deadline().is_some_and(|due| due <= now) {
            self.with_claims(now, out, |claims, actions| claims.tick(now, actions));
        }
    }

    fn on_claim_settled(
        &mut self,
        now: Instant,
        id: AttemptId,
        outcome: ClaimOutcome,
        out: &mut Vec<AgentAction>,
    ) {
        match outcome {
            ClaimOutcome::Granted => self.on_claim_granted(now, id, out),
            ClaimOutcome::Replay(answer) => {
                self.send_stored_answer(now, id, answer, out);
            }
            ClaimOutcome::Refused(error) => {
                self.on_claim_refused(now, id, error, out);
            }
        }
    }

    /// Starts an attempt whose claim was granted. Time has passed since
    /// admission, so the conditions that may have changed are checked again
    /// first.
    fn on_claim_granted(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        self.counters.claims_granted += 1;
        timeline::attempt_event(EventKind::ClaimTaken, id, 0, out);
        let Some(attempt) = self.attempts.get(id) else {
            // The caller disconnected or the entry revoked the attempt.
            self.release_claim(now, id, out);
            return;
        };
        let deadline_passed = attempt.deadline <= now;
        let checked = if deadline_passed {
            Err(RequestError::not_run(ErrorCode::DeadlineBeforeRun))
        } else {
            self.check_can_run()
        };
        match checked {
            Ok(()) => self.hand_over(now, id, out),
            Err(error) => self.withdraw_attempt(now, id, error, false, out),
        }
    }

    fn on_claim_refused(
        &mut self,
        now: Instant,
        id: AttemptId,
        error: RequestError,
        out: &mut Vec<AgentAction>,
    ) {
        let is_claiming = |phase| phase == Phase::Claiming;
        if !self.attempts.get(id).is_some_and(|a| is_claiming(a.phase)) {
            return;
        }
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        self.counters.claims_refused += 1;
        self.record_ended(now, id, RunStatus::NotRun);
        let code = error.code.number();
        timeline::attempt_event(EventKind::ClaimRefused, id, code, out);
        if error.ran == RunStatus::NotRun {
            self.send_refusal(now, attempt.entry.as_ref(), id, error, out);
            return;
        }
        // This attempt was not run, but an earlier one with the same key was or
        // may have been, which `End` reports and `Refused` could not.
        let end = End {
            retry_after_ms: encode_retry_after_ms(&error),
            ..self.end_frame(now, id, code, error.ran)
        };
        self.send(attempt.entry.as_ref(), frame::Body::End(end), out);
    }

    /// Sends the stored answer of an earlier request with the same key.
    fn send_stored_answer(
        &mut self,
        now: Instant,
        id: AttemptId,
        answer: StoredResponse,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        self.counters.replays += 1;
        self.record_ended(now, id, RunStatus::Ran);
        let entry = attempt.entry.as_ref();
        let units = u32::try_from(answer.body.len()).unwrap_or(u32::MAX);
        if units > 0 {
            let part = link::Answer {
                attempt: encode_attempt_id(id),
                offset: 0,
                units,
                payload: answer.body,
            };
            self.send(entry, frame::Body::Answer(part), out);
        }
        let end = End {
            total_units: u64::from(units),
            status: u32::from(answer.status),
            content_type: answer.content_type,
            replayed: true,
            ..self.end_frame(now, id, 0, RunStatus::Ran)
        };
        self.send(entry, frame::Body::End(end), out);
    }
}
