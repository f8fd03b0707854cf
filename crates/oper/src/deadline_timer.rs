//! The timer of a process's state machine.

use base::Instant;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::Clock;

/// Stands for no deadline, as a number of microseconds.
const NEVER_US: u64 = u64::MAX;

/// Lets one task sleep until the next deadline of a state machine.
#[derive(Debug)]
pub struct DeadlineTimer {
    /// Deadline until which the task sleeps.
    armed_us: AtomicU64,
    /// Wakes the task for an earlier deadline.
    rearmed: Notify,
}

impl Default for DeadlineTimer {
    fn default() -> Self {
        Self::new()
    }
}

impl DeadlineTimer {
    /// A timer without a deadline.
    pub const fn new() -> Self {
        Self {
            armed_us: AtomicU64::new(NEVER_US),
            rearmed: Notify::const_new(),
        }
    }

    /// Wakes the task if `due` is earlier than the deadline it sleeps until.
    pub fn rearm(&self, due: Option<Instant>) {
        if as_us(due) < self.armed_us.load(Ordering::SeqCst) {
            self.rearmed.notify_one();
        }
    }

    /// Calls `on_due` whenever the time returned by `due` has come, until `exit` is
    /// cancelled.
    pub async fn run(
        &self,
        clock: &Clock,
        exit: &CancellationToken,
        due: impl Fn() -> Option<Instant>,
        on_due: impl Fn(),
    ) {
        while !exit.is_cancelled() {
            // The armed time is first set to never. A call of `rearm` between
            // reading `due` and storing it would otherwise compare its deadline
            // with the previous one and not wake the task, which would then sleep
            // past the new deadline.
            self.armed_us.store(NEVER_US, Ordering::SeqCst);
            let due_us = as_us(due());
            self.armed_us.store(due_us, Ordering::SeqCst);
            if due_us <= clock.now().as_us() {
                on_due();
                // Lets other tasks run even if the next deadline has passed as well.
                tokio::task::yield_now().await;
                continue;
            }
            tokio::select! {
                () = sleep(clock, due_us) => {}
                () = self.rearmed.notified() => {}
                () = exit.cancelled() => {}
            }
        }
    }
}

async fn sleep(clock: &Clock, due_us: u64) {
    if due_us == NEVER_US {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep_until(clock.runtime_instant(Instant::from_us(due_us))).await;
}

fn as_us(due: Option<Instant>) -> u64 {
    due.map_or(NEVER_US, Instant::as_us)
}
