//! Attempts that are over, or must never begin.
//!
//! `Revoke` asks whether an attempt ran. The answer `not_run` is a promise about
//! the future too, so it is kept as a tombstone that a late `Run` meets. And it
//! is only given about an attempt of which this agent would know if it had run.

use base::{AttemptId, Instant, Ran};
use std::collections::{BTreeMap, VecDeque};

/// Attempts remembered; at some tens of bytes each a few megabytes.
const REMEMBERED_MAX: usize = 65_536;

/// Attempts that are over, or must never begin.
#[derive(Debug, Default)]
pub(super) struct Past {
    known: BTreeMap<AttemptId, Ran>,
    order: VecDeque<(Instant, AttemptId)>,
    /// Until then an attempt that is not known may be one that was forgotten
    /// early, for want of room.
    unsure_until: Instant,
}

impl Past {
    /// Remembers how an attempt ended, or that it must not begin.
    pub(super) fn remember(
        &mut self,
        now: Instant,
        life_ms: u64,
        attempt: AttemptId,
        ran: Ran,
    ) {
        self.forget(now);
        if self.known.insert(attempt, ran).is_none() {
            self.order.push_back((now.plus_ms(life_ms), attempt));
        }
        if self.order.len() > REMEMBERED_MAX
            && let Some((until, oldest)) = self.order.pop_front()
        {
            self.known.remove(&oldest);
            self.unsure_until = self.unsure_until.max(until);
        }
    }

    /// How an attempt ended, if it is known.
    pub(super) fn get(&self, attempt: AttemptId) -> Option<Ran> {
        self.known.get(&attempt).copied()
    }

    /// Every attempt that might still be asked about is known.
    pub(super) fn is_complete(&self, now: Instant) -> bool {
        now >= self.unsure_until
    }

    /// Whether another tombstone fits without forgetting an earlier one.
    pub(super) fn has_room(&mut self, now: Instant) -> bool {
        self.forget(now);
        self.order.len() < REMEMBERED_MAX
    }

    fn forget(&mut self, now: Instant) {
        while let Some((until, attempt)) = self.order.front().copied() {
            if until > now {
                return;
            }
            self.order.pop_front();
            self.known.remove(&attempt);
        }
    }
}
