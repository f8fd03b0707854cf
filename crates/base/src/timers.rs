//! Timers of a state machine that has no clock.

use crate::Instant;
use std::collections::BTreeMap;

/// Things due later, in order of time and then of setting.
///
/// A machine keeps its timers here, tells its driver the earliest with
/// [`TimerQueue::next_deadline`], and takes what is due when the driver says that time has
/// come. A timer is never cancelled: its receiver looks whether it still
/// matters, which costs less than finding it again.
#[derive(Debug)]
pub struct TimerQueue<T> {
    pending: BTreeMap<(Instant, u64), T>,
    next: u64,
}

impl<T> TimerQueue<T> {
    /// No timers.
    pub const fn new() -> Self {
        Self {
            pending: BTreeMap::new(),
            next: 0,
        }
    }

    /// Adds a timer.
    pub fn schedule(&mut self, at: Instant, timer: T) {
        self.pending.insert((at, self.next), timer);
        self.next += 1;
    }

    /// When the earliest timer is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.pending.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes the earliest timer that is due at `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        if self.next_deadline()? > now {
            return None;
        }
        self.pending.pop_first().map(|(_, timer)| timer)
    }

    /// Number of timers pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}
