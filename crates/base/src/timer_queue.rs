//! Timers for state machines that read no clock.

use crate::Instant;
use std::collections::BTreeMap;

/// Pending timers, ordered by due time and then by insertion.
///
/// A state machine reports the earliest due time to its driver with
/// [`TimerQueue::next_deadline`] and removes due timers with
/// [`TimerQueue::pop_due`] once that time has come. Timers are never cancelled:
/// whoever handles one checks whether it still applies, which is cheaper than
/// searching the queue.
#[derive(Debug)]
pub struct TimerQueue<T> {
    pending: BTreeMap<(Instant, u64), T>,
    next_sequence: u64,
}

impl<T> TimerQueue<T> {
    /// Creates an empty queue.
    pub const fn new() -> Self {
        Self {
            pending: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Adds a timer that is due at `at`.
    pub fn schedule(&mut self, at: Instant, timer: T) {
        self.pending.insert((at, self.next_sequence), timer);
        self.next_sequence += 1;
    }

    /// Returns the time at which the earliest timer is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.pending.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        if self.next_deadline()? > now {
            return None;
        }
        self.pending.pop_first().map(|(_, timer)| timer)
    }

    /// Returns the number of pending timers.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}
