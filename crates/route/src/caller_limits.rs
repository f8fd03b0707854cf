//! Limits on the requests of one caller at an entry.

use base::prelude::*;
use std::collections::BTreeMap;

/// Waiting requests that one caller may have, as a multiple of the free capacity of
/// the queue.
const FREE_MULTIPLE: u32 = 2;

#[derive(Debug, Default)]
struct Usage {
    in_progress: u32,
    waiting: u32,
}

/// Requests in progress and waiting at one entry, per caller.
///
/// Callers come from the configuration, and one without requests is removed. Memory
/// is therefore bounded by the number of requests in progress.
#[derive(Debug, Default)]
pub struct CallerLimits {
    callers: BTreeMap<CallerId, Usage>,
    waiting: u32,
}

impl CallerLimits {
    /// Creates limits without any requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request in progress; returns false if the caller already has `max`.
    pub fn try_start_request(&mut self, caller: &CallerId, max: u32) -> bool {
        let in_progress = self.in_progress(caller);
        if in_progress >= max {
            return false;
        }
        let usage = self.callers.entry(caller.clone()).or_default();
        usage.in_progress += 1;
        true
    }

    /// Ends a request in progress.
    pub fn finish_request(&mut self, caller: &CallerId) {
        if let Some(usage) = self.callers.get_mut(caller) {
            usage.in_progress = usage.in_progress.saturating_sub(1);
        }
        self.remove_if_idle(caller);
    }

    /// Number of the caller's requests in progress.
    pub fn in_progress(&self, caller: &CallerId) -> u32 {
        self.callers
            .get(caller)
            .map_or(0, |usage| usage.in_progress)
    }

    /// Number of waiting requests that any one caller may have now, if the entry's
    /// queue holds at most `waiting_max`.
    ///
    /// A fixed limit would let the burst of one caller fill the queue, so that all
    /// others are refused. This one shrinks as the queue fills: a single caller
    /// gets two thirds of the queue, `n` busy callers get `2 / (2n + 1)` each, and
    /// a caller without waiting requests always finds free capacity.
    pub fn waiting_limit(&self, waiting_max: u32) -> u32 {
        let free = waiting_max.saturating_sub(self.waiting);
        free.saturating_mul(FREE_MULTIPLE)
    }

    /// Counts a waiting request; returns false if the caller has reached its limit
    /// or the queue is full.
    pub fn try_enqueue(&mut self, caller: &CallerId, waiting_max: u32) -> bool {
        let waiting = self.callers.get(caller).map_or(0, |usage| usage.waiting);
        if waiting >= self.waiting_limit(waiting_max) {
            return false;
        }
        self.callers.entry(caller.clone()).or_default().waiting += 1;
        self.waiting += 1;
        true
    }

    /// Counts a waiting request that replaces a less urgent one, which is yet to be
    /// refused. The caller's limit does not apply.
    pub fn enqueue_displacing(&mut self, caller: &CallerId) {
        self.callers.entry(caller.clone()).or_default().waiting += 1;
        self.waiting += 1;
    }

    /// Ends the wait of a request counted by [`CallerLimits::try_enqueue`] or
    /// [`CallerLimits::enqueue_displacing`].
    pub fn dequeue(&mut self, caller: &CallerId) {
        let Some(usage) = self.callers.get_mut(caller) else {
            return;
        };
        if usage.waiting > 0 {
            usage.waiting -= 1;
            self.waiting -= 1;
        }
        self.remove_if_idle(caller);
    }

    /// Number of waiting requests of all callers.
    pub const fn waiting(&self) -> u32 {
        self.waiting
    }

    fn remove_if_idle(&mut self, caller: &CallerId) {
        let idle = self
            .callers
            .get(caller)
            .is_some_and(|usage| usage.in_progress == 0 && usage.waiting == 0);
        if idle {
            self.callers.remove(caller);
        }
    }
}
