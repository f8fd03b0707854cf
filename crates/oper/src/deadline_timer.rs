//! The timer of a process's machine.

use base::Instant;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::Clock;

/// No point in time, as a number of microseconds.
const NEVER_US: u64 = u64::MAX;

/// One task that sleeps until a machine is due.
#[derive(Debug)]
pub struct DeadlineTimer {
    armed_us: AtomicU64,
    earlier: Notify,
}

impl Default for DeadlineTimer {
    fn default() -> Self {
        Self::new()
    }
}

impl DeadlineTimer {
    /// A timer that is not set.
    pub const fn new() -> Self {
        Self {
            armed_us: AtomicU64::new(NEVER_US),
            earlier: Notify::const_new(),
        }
    }

    /// Wakes the task if the machine is due earlier than it sleeps.
    pub fn rearm(&self, due: Option<Instant>) {
        if as_us(due) < self.armed_us.load(Ordering::SeqCst) {
            self.earlier.notify_one();
        }
    }

    /// Calls `tick` whenever the machine is due, until `exit` is cancelled.
    pub async fn run(
        &self,
        clock: &Clock,
        exit: &CancellationToken,
        due: impl Fn() -> Option<Instant>,
        tick: impl Fn(),
    ) {
        while !exit.is_cancelled() {
            // The time armed is first put to never. An event that comes between
            // reading `due` and arming it would otherwise compare with the time
            // before, wake nobody, and its timer would be late by a whole sleep.
            self.armed_us.store(NEVER_US, Ordering::SeqCst);
            let due_us = as_us(due());
            self.armed_us.store(due_us, Ordering::SeqCst);
            if due_us <= clock.now().as_us() {
                tick();
                // One turn for other tasks, whatever the machine says next.
                tokio::task::yield_now().await;
                continue;
            }
            tokio::select! {
                () = sleep(clock, due_us) => {}
                () = self.earlier.notified() => {}
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
