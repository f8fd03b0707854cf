//! Stopping: no new work, finish what runs, leave nothing behind.

use super::{AgentAction, AgentRole, timeline};
use base::Instant;
use schema::timeline::EventKind;

/// Longest wait for the claims' last writes once no attempt runs.
const FLUSH_MAX_MS: u64 = 10_000;

/// Longest wait for the removal of the registration.
const DEREGISTRATION_MAX_MS: u64 = 2_000;

/// How far the stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Drain {
    /// Attempts in progress are finished.
    FinishingAttempts,
    /// The claims' last writes are waited for.
    FlushingClaims { until: Instant },
    /// The registration is being removed.
    Deregistering { until: Instant },
    /// All is done.
    Complete,
}

impl AgentRole {
    pub(super) fn begin_drain(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if self.drain.is_some() {
            return;
        }
        self.drain = Some(Drain::FinishingAttempts);
        self.registration.mark_leaving();
        self.registration.advance(now, &mut self.client, out);
        timeline::process_event(EventKind::ProcessDraining, String::new(), out);
    }

    pub(super) fn drain_due(&self) -> Option<Instant> {
        match self.drain? {
            Drain::FlushingClaims { until } | Drain::Deregistering { until } => {
                Some(until)
            }
            Drain::FinishingAttempts | Drain::Complete => None,
        }
    }

    /// Takes the stop as far as it can go.
    ///
    /// Each wait but the first is bounded: the platform may be away, and what
    /// is left undone then is only untidy. The first is bounded by the
    /// attempts' deadlines.
    pub(super) fn advance_drain(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if self.drain == Some(Drain::FinishingAttempts) && self.attempts.is_empty() {
            let until = now.plus_ms(FLUSH_MAX_MS);
            self.drain = Some(Drain::FlushingClaims { until });
        }
        if let Some(Drain::FlushingClaims { until }) = self.drain
            && (self.claims.is_flushed() || until <= now)
        {
            let until = now.plus_ms(DEREGISTRATION_MAX_MS);
            self.drain = Some(Drain::Deregistering { until });
            self.send_goodbyes(out);
            self.registration.remove();
            self.registration.advance(now, &mut self.client, out);
        }
        if let Some(Drain::Deregistering { until }) = self.drain
            && (self.registration.is_settled() || until <= now)
        {
            self.drain = Some(Drain::Complete);
            timeline::process_event(EventKind::ProcessStopped, String::new(), out);
            out.push(AgentAction::Exit);
        }
    }
}
