//! Stopping: no new work, finish what runs, leave nothing behind.

use super::{AgentAction, AgentRole, trace};
use base::Instant;
use schema::timeline::EventKind;

/// Longest wait for the claims' last writes once no attempt runs.
const FLUSH_MAX_MS: u64 = 10_000;

/// Longest wait for the removal of the registration.
const FAREWELL_MAX_MS: u64 = 2_000;

/// How far the stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Drain {
    /// Attempts in progress are finished.
    Finishing,
    /// The claims' last writes are waited for.
    Flushing { until: Instant },
    /// The registration is being removed.
    Leaving { until: Instant },
    /// All is done.
    Gone,
}

impl AgentRole {
    pub(super) fn begin_drain(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if self.drain.is_some() {
            return;
        }
        self.drain = Some(Drain::Finishing);
        self.registration.leave();
        self.registration.advance(now, &mut self.caller, out);
        trace::note(EventKind::ProcessDraining, String::new(), out);
    }

    pub(super) fn drain_due(&self) -> Option<Instant> {
        match self.drain? {
            Drain::Flushing { until } | Drain::Leaving { until } => Some(until),
            Drain::Finishing | Drain::Gone => None,
        }
    }

    /// Takes the stop as far as it can go.
    ///
    /// Each wait but the first is bounded: the platform may be away, and what
    /// is left undone then is only untidy. The first is bounded by the
    /// attempts' deadlines.
    pub(super) fn advance_drain(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if self.drain == Some(Drain::Finishing) && self.attempts.is_empty() {
            let until = now.plus_ms(FLUSH_MAX_MS);
            self.drain = Some(Drain::Flushing { until });
        }
        if let Some(Drain::Flushing { until }) = self.drain
            && (self.claims.is_flushed() || until <= now)
        {
            let until = now.plus_ms(FAREWELL_MAX_MS);
            self.drain = Some(Drain::Leaving { until });
            self.say_goodbye(out);
            self.registration.remove();
            self.registration.advance(now, &mut self.caller, out);
        }
        if let Some(Drain::Leaving { until }) = self.drain
            && (self.registration.is_settled() || until <= now)
        {
            self.drain = Some(Drain::Gone);
            trace::note(EventKind::ProcessStopped, String::new(), out);
            out.push(AgentAction::Exit);
        }
    }
}
