//! Attempts that are over, or must never begin.
//!
//! `Revoke` asks whether an attempt ran. The answer `not_run` is a promise about
//! the future too, so it is kept as a tombstone that a late `Run` meets. And it
//! is only given about an attempt of which this agent would know if it had run.

use base::{AttemptId, Instant, Ran};
use std::collections::{BTreeMap, VecDeque};

/// Attempts remembered; at some tens of bytes each a few megabytes.
const HISTORY_MAX_ATTEMPTS: usize = 65_536;

/// Attempts that are over, or must never begin.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    outcomes: BTreeMap<AttemptId, Ran>,
    by_expiry: VecDeque<(Instant, AttemptId)>,
    /// Until then an attempt that is not known may be one that was forgotten
    /// early, for want of room.
    incomplete_until: Instant,
}

impl AttemptHistory {
    /// Remembers how an attempt ended, or that it must not begin.
    pub(super) fn insert(
        &mut self,
        now: Instant,
        retention_ms: u64,
        attempt: AttemptId,
        ran: Ran,
    ) {
        self.drop_expired(now);
        if self.outcomes.insert(attempt, ran).is_none() {
            self.by_expiry
                .push_back((now.plus_ms(retention_ms), attempt));
        }
        if self.by_expiry.len() > HISTORY_MAX_ATTEMPTS
            && let Some((until, oldest)) = self.by_expiry.pop_front()
        {
            self.outcomes.remove(&oldest);
            self.incomplete_until = self.incomplete_until.max(until);
        }
    }

    /// How an attempt ended, if it is known.
    pub(super) fn get(&self, attempt: AttemptId) -> Option<Ran> {
        self.outcomes.get(&attempt).copied()
    }

    /// Every attempt that might still be asked about is known.
    pub(super) fn is_complete(&self, now: Instant) -> bool {
        now >= self.incomplete_until
    }

    /// Whether another tombstone fits without forgetting an earlier one.
    pub(super) fn has_room(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        self.by_expiry.len() < HISTORY_MAX_ATTEMPTS
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some((until, attempt)) = self.by_expiry.front().copied() {
            if until > now {
                return;
            }
            self.by_expiry.pop_front();
            self.outcomes.remove(&attempt);
        }
    }
}
