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
use super::{AgentAction, AgentRole, trace};
use base::prelude::*;
use schema::link::Run;
use schema::timeline::EventKind;

/// Longest time for which a run is held.
///
/// An entry gives up a run alone that was silent for 20 s; the refusal has to
/// come well before.
pub(super) const HOLD_MAX_MS: u64 = 10_000;

impl AgentRole {
    /// Whether a run that needs the upstream to itself is likely to get it.
    pub(super) fn check_alone(&self, now: Instant, run: &Run) -> Result<(), Refusal> {
        if self.attempts.in_flight() == 0 {
            return Ok(());
        }
        let wait_ms = self.predicted_empty_ms(now);
        if wait_ms < HOLD_MAX_MS.min(run.remaining_ms) {
            return Ok(());
        }
        Err(self.gate_full())
    }

    /// Time until the youngest of what is in progress has ended.
    fn predicted_empty_ms(&self, now: Instant) -> u64 {
        let service_ms = self.upstream.service_ms();
        let began = self.attempts.youngest();
        let ran_ms = began.map_or(0, |began| now.ms_since(began));
        self.predicted_wait_ms() + service_ms.saturating_sub(ran_ms)
    }

    /// Holds an attempt until nothing else is in progress.
    pub(super) fn hold(
        &mut self,
        now: Instant,
        id: AttemptId,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let until = attempt.deadline.min(now.plus_ms(HOLD_MAX_MS));
        attempt.phase = Phase::Held { until };
        trace::attempt(EventKind::RequestWaiting, id, 0, out);
    }

    /// Starts what is held once nothing else is in progress, and refuses it
    /// when it can't be run here any more.
    pub(super) fn advance_held(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        let Some(id) = self.attempts.held() else {
            return;
        };
        match self.check_held_attempt(now, id) {
            Ok(false) => {}
            Ok(true) => self.begin(now, id, out),
            Err(refusal) => {
                let Some(attempt) = self.attempts.remove(id) else {
                    return;
                };
                self.remember(now, id, Ran::NotRun);
                self.refuse(now, attempt.entry.as_ref(), id, refusal, out);
            }
        }
    }

    /// Whether a held attempt may start now. What the gate saw when it came may
    /// have changed since.
    fn check_held_attempt(&self, now: Instant, id: AttemptId) -> Result<bool, Refusal> {
        let Some(attempt) = self.attempts.get(id) else {
            return Ok(false);
        };
        if self.drain.is_some() && !self.record.is_fenced() {
            return Err(Refusal::not_run(Code::Leaving));
        }
        self.check_able()?;
        if let Some(run) = &attempt.run {
            self.check_held(run)?;
        }
        if attempt.deadline <= now {
            return Err(Refusal::not_run(Code::DeadlineBeforeRun));
        }
        if self.attempts.in_flight() == 0 {
            return Ok(true);
        }
        match attempt.phase {
            Phase::Held { until } if until <= now => Err(self.gate_full()),
            _ => Ok(false),
        }
    }
}
