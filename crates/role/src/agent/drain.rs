//! Graceful shutdown: accept no new work, finish running attempts, then flush
//! claims and deregister.

use super::{AgentAction, AgentRole, timeline};
use base::Instant;
use schema::timeline::EventKind;

/// Longest wait for the last writes of the claims, once no attempt runs.
const FLUSH_MAX_MS: u64 = 10_000;

/// Longest wait for the removal of the registration.
const DEREGISTRATION_MAX_MS: u64 = 2_000;

/// Stage of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Drain {
    /// Waiting for attempts in progress to finish.
    FinishingAttempts,
    /// Waiting for the last writes of the claims.
    FlushingClaims { until: Instant },
    /// Waiting for the removal of the registration.
    Deregistering { until: Instant },
    /// The driver was told to exit.
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

    /// Moves the shutdown through every stage that is complete.
    ///
    /// Attempts are waited for until their deadlines. The other waits have a
    /// fixed limit because the platform may be unreachable; leaving those steps
    /// undone is safe.
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
