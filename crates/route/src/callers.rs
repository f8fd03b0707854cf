//! What one caller may take of an entry.

use base::prelude::*;
use std::collections::BTreeMap;

/// Multiple of the free part of the waiting queue that one caller may hold.
const SHARE_OF_FREE: u32 = 2;

#[derive(Debug, Default)]
struct Use {
    in_progress: u32,
    waiting: u32,
}

/// Requests in progress and waiting, by caller, at one entry.
///
/// The callers come from the configuration and one with nothing in progress is
/// forgotten, so the memory is bounded by the requests in progress.
#[derive(Debug, Default)]
pub struct CallerLimits {
    callers: BTreeMap<CallerId, Use>,
    waiting: u32,
}

impl CallerLimits {
    /// No requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request in progress; false when the caller has `max` already.
    pub fn try_start_request(&mut self, caller: &CallerId, max: u32) -> bool {
        let in_progress = self.in_progress(caller);
        if in_progress >= max {
            return false;
        }
        let used = self.callers.entry(caller.clone()).or_default();
        used.in_progress += 1;
        true
    }

    /// Ends a request in progress.
    pub fn finish_request(&mut self, caller: &CallerId) {
        if let Some(used) = self.callers.get_mut(caller) {
            used.in_progress = used.in_progress.saturating_sub(1);
        }
        self.forget_idle(caller);
    }

    /// Requests of the caller in progress.
    pub fn in_progress(&self, caller: &CallerId) -> u32 {
        self.callers.get(caller).map_or(0, |used| used.in_progress)
    }

    /// Waiting requests that any one caller may hold now, when the entry holds
    /// at most `waiting_max` over all callers.
    ///
    /// One caller's burst could fill the queue and have everybody else refused.
    /// A bound by the free part shrinks as the queue fills: alone, a caller gets
    /// two thirds of the queue, `n` busy callers get `2 / (2n + 1)` each, and a
    /// caller that has nothing waiting always finds some room, because the
    /// others stop short of the end.
    pub fn waiting_limit(&self, waiting_max: u32) -> u32 {
        let free = waiting_max.saturating_sub(self.waiting);
        free.saturating_mul(SHARE_OF_FREE)
    }

    /// Counts a waiting request; false when the caller has its share or the
    /// queue is full.
    pub fn try_enqueue(&mut self, caller: &CallerId, waiting_max: u32) -> bool {
        let waiting = self.callers.get(caller).map_or(0, |used| used.waiting);
        if waiting >= self.waiting_limit(waiting_max) {
            return false;
        }
        self.callers.entry(caller.clone()).or_default().waiting += 1;
        self.waiting += 1;
        true
    }

    /// Counts a waiting request that takes the place of a less urgent one, which
    /// has yet to be refused; the caller's share does not count for it.
    pub fn enqueue_displacing(&mut self, caller: &CallerId) {
        self.callers.entry(caller.clone()).or_default().waiting += 1;
        self.waiting += 1;
    }

    /// Ends the wait of a request that [`CallerLimits::try_enqueue`] counted.
    pub fn dequeue(&mut self, caller: &CallerId) {
        let Some(used) = self.callers.get_mut(caller) else {
            return;
        };
        if used.waiting > 0 {
            used.waiting -= 1;
            self.waiting -= 1;
        }
        self.forget_idle(caller);
    }

    /// Waiting requests of all callers.
    pub const fn waiting(&self) -> u32 {
        self.waiting
    }

    fn forget_idle(&mut self, caller: &CallerId) {
        let idle = self
            .callers
            .get(caller)
            .is_some_and(|used| used.in_progress == 0 && used.waiting == 0);
        if idle {
            self.callers.remove(caller);
        }
    }
}
