//! Runs that must have the upstream to themselves.
//!
//! A request that was in flight at a crash is retried as an exclusive run, so
//! that another crash shows whether it was the cause. The batch of a busy
//! upstream is rarely empty by chance: if such a run were only refused, it
//! would move from agent to agent until its deadline. Admission control
//! therefore accepts it, refuses all other work, and starts it once the running
//! attempts have ended.
//!
//! Slots stay empty while it waits. For that reason only one run waits at a
//! time, for at most [`EXCLUSIVE_WAIT_MAX_MS`], and only if it is likely to
//! start within that limit and its own remaining time.

use super::attempts::Phase;
use super::{AgentAction, AgentRole, timeline};
use base::prelude::*;
use schema::link::Run;
use schema::timeline::EventKind;

/// Longest time for which an exclusive run waits.
///
/// An entry gives up an exclusive run after 20 s of silence, so the refusal
/// must arrive well before that.
pub(super) const EXCLUSIVE_WAIT_MAX_MS: u64 = 10_000;

impl AgentRole {
    /// Refuses an exclusive run that is unlikely to get the upstream to itself
    /// in time.
    pub(super) fn check_exclusive(
        &self,
        now: Instant,
        run: &Run,
    ) -> Result<(), RequestError> {
        if self.attempts.in_flight() == 0 {
            return Ok(());
        }
        let wait_ms = self.predicted_idle_ms(now);
        if wait_ms < EXCLUSIVE_WAIT_MAX_MS.min(run.remaining_ms) {
            return Ok(());
        }
        Err(self.gate_full_error())
    }

    /// Predicted time until the upstream is idle: until the attempt that
    /// started last has ended.
    fn predicted_idle_ms(&self, now: Instant) -> u64 {
        let service_ms = self.upstream.service_ms();
        let began_at = self.attempts.latest_began_at();
        let ran_ms = began_at.map_or(0, |began_at| now.ms_since(began_at));
        self.predicted_wait_ms() + service_ms.saturating_sub(ran_ms)
    }

    /// Makes an attempt wait until nothing else is in progress.
    pub(super) fn wait_for_idle(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let until = attempt.deadline.min(now.plus_ms(EXCLUSIVE_WAIT_MAX_MS));
        attempt.phase = Phase::WaitingForIdle { until };
        timeline::attempt_event(EventKind::RequestWaiting, id, 0, out);
    }

    /// Starts the waiting exclusive run once nothing else is in progress, or
    /// refuses it if it can no longer run here.
    pub(super) fn advance_waiting_exclusive(
        &mut self,
        now: Instant,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(id) = self.attempts.waiting_exclusive() else {
            return;
        };
        match self.check_waiting_exclusive(now, id) {
            Ok(false) => {}
            Ok(true) => self.claim_and_start(now, id, out),
            Err(error) => {
                let Some(attempt) = self.attempts.remove(id) else {
                    return;
                };
                self.record_ended(now, id, RunStatus::NotRun);
                self.send_refusal(now, attempt.entry.as_ref(), id, error, out);
            }
        }
    }

    /// Whether the waiting exclusive run may start now. Conditions that held
    /// when it was admitted are checked again, as they may have changed.
    fn check_waiting_exclusive(
        &self,
        now: Instant,
        id: AttemptId,
    ) -> Result<bool, RequestError> {
        let Some(attempt) = self.attempts.get(id) else {
            return Ok(false);
        };
        if self.drain.is_some() && !self.record.is_fenced() {
            return Err(RequestError::not_run(ErrorCode::Leaving));
        }
        self.check_can_run()?;
        if let Some(run) = &attempt.run {
            self.check_resource_available(run)?;
        }
        if attempt.deadline <= now {
            return Err(RequestError::not_run(ErrorCode::DeadlineBeforeRun));
        }
        if self.attempts.in_flight() == 0 {
            return Ok(true);
        }
        match attempt.phase {
            Phase::WaitingForIdle { until } if until <= now => {
                Err(self.gate_full_error())
            }
            _ => Ok(false),
        }
    }
}
