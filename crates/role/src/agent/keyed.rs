//! Claims of non-idempotent calls with a key.

use super::attempts::Phase;
use super::runs::{attempt_frame, retry_after};
use super::{AgentAction, AgentRole, trace};
use base::PlatformResult;
use base::prelude::*;
use once::{Answer, ClaimAction, ClaimRequest, Claims, Outcome};
use schema::link::{self, End, frame};
use schema::timeline::EventKind;

impl AgentRole {
    fn with_claims(
        &mut self,
        now: Instant,
        out: &mut Vec<AgentAction>,
        act: impl FnOnce(&mut Claims, &mut Vec<ClaimAction>),
    ) {
        let mut actions = Vec::new();
        act(&mut self.claims, &mut actions);
        for action in actions {
            match action {
                ClaimAction::Platform(call) => {
                    out.push(AgentAction::CallPlatform(call));
                }
                ClaimAction::Settled { attempt, outcome } => {
                    self.claim_settled(now, attempt, outcome, out);
                }
                ClaimAction::Released { attempt } => {
                    trace::attempt(EventKind::ClaimReleased, attempt, 0, out);
                    self.taken_back(now, attempt, out);
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
            claims.begin(now, request, actions);
        });
    }

    pub(super) fn finish_claim(
        &mut self,
        now: Instant,
        id: AttemptId,
        answer: Option<Answer>,
        out: &mut Vec<AgentAction>,
    ) {
        self.with_claims(now, out, |claims, actions| {
            claims.finish(now, id, answer, actions);
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

    pub(super) fn claims_answered(
        &mut self,
        now: Instant,
        call: u64,
        result: PlatformResult,
        out: &mut Vec<AgentAction>,
    ) {
        self.with_claims(now, out, |claims, actions| {
            claims.answered(now, call, result, actions);
        });
    }

    pub(super) fn tick_claims(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if self.claims.due().is_some_and(|due| due <= now) {
            self.with_claims(now, out, |claims, actions| claims.tick(now, actions));
        }
    }

    fn claim_settled(
        &mut self,
        now: Instant,
        id: AttemptId,
        outcome: Outcome,
        out: &mut Vec<AgentAction>,
    ) {
        match outcome {
            Outcome::Granted => self.claim_granted(now, id, out),
            Outcome::Replay(answer) => self.replay(now, id, answer, out),
            Outcome::Refused(refusal) => self.claim_refused(now, id, refusal, out),
        }
    }

    /// The claim stands. Time has passed since the gate let the attempt in, so
    /// what may have changed is looked at again before the run.
    fn claim_granted(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        self.counters.claims_granted += 1;
        trace::attempt(EventKind::ClaimTaken, id, 0, out);
        let Some(attempt) = self.attempts.get(id) else {
            // The caller is gone or has revoked it.
            self.release_claim(now, id, out);
            return;
        };
        let late = attempt.deadline <= now;
        let checked = if late {
            Err(Refusal::not_run(Code::DeadlineBeforeRun))
        } else {
            self.check_able()
        };
        match checked {
            Ok(()) => self.start(now, id, out),
            Err(refusal) => self.take_back(now, id, refusal, false, out),
        }
    }

    fn claim_refused(
        &mut self,
        now: Instant,
        id: AttemptId,
        refusal: Refusal,
        out: &mut Vec<AgentAction>,
    ) {
        let waits = |phase| phase == Phase::Claiming;
        if !self.attempts.get(id).is_some_and(|a| waits(a.phase)) {
            return;
        }
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        self.counters.claims_refused += 1;
        self.remember(now, id, Ran::NotRun);
        let code = refusal.code.number();
        trace::attempt(EventKind::ClaimRefused, id, code, out);
        if refusal.ran == Ran::NotRun {
            self.refuse(now, attempt.entry.as_ref(), id, refusal, out);
            return;
        }
        // This attempt was not run, but an earlier one of the key was, or may
        // have been; the caller asks about the call.
        let end = End {
            retry_after_ms: retry_after(&refusal),
            ..self.end(now, id, code, refusal.ran)
        };
        self.send(attempt.entry.as_ref(), frame::Body::End(end), out);
    }

    /// The call ran before: its stored answer is the answer.
    fn replay(
        &mut self,
        now: Instant,
        id: AttemptId,
        answer: Answer,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.remove(id) else {
            return;
        };
        self.counters.replays += 1;
        self.remember(now, id, Ran::Ran);
        let entry = attempt.entry.as_ref();
        let units = u32::try_from(answer.body.len()).unwrap_or(u32::MAX);
        if units > 0 {
            let part = link::Answer {
                attempt: attempt_frame(id),
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
            ..self.end(now, id, 0, Ran::Ran)
        };
        self.send(entry, frame::Body::End(end), out);
    }
}
