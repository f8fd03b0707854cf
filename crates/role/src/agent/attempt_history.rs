//! History of attempts that have ended or must never start.
//!
//! A `Revoke` asks whether an attempt ran. The answer `not_run` also promises
//! that it never will, so it is stored as a tombstone that refuses a late
//! `Run`. It is given only for an attempt about which this agent would know if
//! it had run.

use base::{AttemptId, Instant, RunStatus};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of remembered attempts; at some tens of bytes each, a few
/// megabytes.
const HISTORY_MAX_ATTEMPTS: usize = 65_536;

/// Attempts that have ended or must never start, each kept for a limited time.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    outcomes: BTreeMap<AttemptId, RunStatus>,
    by_expiry: VecDeque<(Instant, AttemptId)>,
    /// Until this time an unknown attempt may be one that was evicted early to
    /// make room.
    incomplete_until: Instant,
}

impl AttemptHistory {
    /// Stores how an attempt ended, or that it must not start.
    pub(super) fn insert(
        &mut self,
        now: Instant,
        retention_ms: u64,
        attempt: AttemptId,
        ran: RunStatus,
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
    pub(super) fn get(&self, attempt: AttemptId) -> Option<RunStatus> {
        self.outcomes.get(&attempt).copied()
    }

    /// Whether every attempt that an entry might still ask about is known.
    pub(super) fn is_complete(&self, now: Instant) -> bool {
        now >= self.incomplete_until
    }

    /// Whether another tombstone fits without evicting an earlier one.
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
