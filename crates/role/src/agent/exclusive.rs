//! Runs that must have the upstream to themselves.
//!
//! A request that was in flight at a crash runs alone, so that the next crash
//! shows whether it was the cause. On a busy upstream the batch is never empty
//! by chance: were such a run only refused, it would go from agent to agent
//! until its deadline. So the gate holds it, takes nothing else, and starts it
//! when what runs has ended.
//!
//! The price is the places that stand empty meanwhile. Therefore one run is
//! held at a time, for [`HOLD_MAX_MS`] at most, and only if it is likely to
//! start within that and its own time.

use super::attempts::Phase;
use super::{AgentAction, AgentRole, timeline};
use base::prelude::*;
use schema::link::Run;
use schema::timeline::EventKind;

/// Longest time for which a run is held.
///
/// An entry gives up a run alone that was silent for 20 s; the refusal has to
/// come well before.
pub(super) const EXCLUSIVE_WAIT_MAX_MS: u64 = 10_000;

impl AgentRole {
    /// Whether a run that needs the upstream to itself is likely to get it.
    pub(super) fn check_exclusive(
        &self,
        now: Instant,
        run: &Run,
    ) -> Result<(), Refusal> {
        if self.attempts.in_flight() == 0 {
            return Ok(());
        }
        let wait_ms = self.predicted_idle_ms(now);
        if wait_ms < EXCLUSIVE_WAIT_MAX_MS.min(run.remaining_ms) {
            return Ok(());
        }
        Err(self.gate_full_refusal())
    }

    /// Time until the youngest of what is in progress has ended.
    fn predicted_idle_ms(&self, now: Instant) -> u64 {
        let service_ms = self.upstream.service_ms();
        let began_at = self.attempts.latest_began_at();
        let ran_ms = began_at.map_or(0, |began_at| now.ms_since(began_at));
        self.predicted_wait_ms() + service_ms.saturating_sub(ran_ms)
    }

    /// Holds an attempt until nothing else is in progress.
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

    /// Starts what is held once nothing else is in progress, and refuses it
    /// when it can't be run here any more.
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
            Err(refusal) => {
                let Some(attempt) = self.attempts.remove(id) else {
                    return;
                };
                self.record_ended(now, id, Ran::NotRun);
                self.send_refusal(now, attempt.entry.as_ref(), id, refusal, out);
            }
        }
    }

    /// Whether a held attempt may start now. What the gate saw when it came may
    /// have changed since.
    fn check_waiting_exclusive(
        &self,
        now: Instant,
        id: AttemptId,
    ) -> Result<bool, Refusal> {
        let Some(attempt) = self.attempts.get(id) else {
            return Ok(false);
        };
        if self.drain.is_some() && !self.record.is_fenced() {
            return Err(Refusal::not_run(Code::Leaving));
        }
        self.check_can_run()?;
        if let Some(run) = &attempt.run {
            self.check_resource_available(run)?;
        }
        if attempt.deadline <= now {
            return Err(Refusal::not_run(Code::DeadlineBeforeRun));
        }
        if self.attempts.in_flight() == 0 {
            return Ok(true);
        }
        match attempt.phase {
            Phase::WaitingForIdle { until } if until <= now => {
                Err(self.gate_full_refusal())
            }
            _ => Ok(false),
        }
    }
}
