//! The machine's timer.

use role::entry::{EntryEvent, EntryRole};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

use crate::node::Node;

/// No point in time, as a number of microseconds.
const NEVER_US: u64 = u64::MAX;

/// One task that sleeps until the machine is due.
#[derive(Debug)]
pub(crate) struct Ticker {
    armed_us: AtomicU64,
    earlier: Notify,
}

impl Ticker {
    /// A timer that is not set.
    pub(crate) const fn new() -> Self {
        Self {
            armed_us: AtomicU64::new(NEVER_US),
            earlier: Notify::const_new(),
        }
    }

    /// Wakes the task if the machine is due earlier than it sleeps.
    pub(crate) fn rearm(&self, role: &EntryRole) {
        let due_us = due_us(role);
        if due_us < self.armed_us.load(Ordering::SeqCst) {
            self.earlier.notify_one();
        }
    }

    /// Sends `Tick` whenever the machine is due, until the process ends.
    pub(crate) async fn run(&self, node: &Arc<Node>) {
        while !node.exit().is_cancelled() {
            // The time armed is first put to never. An event that comes between
            // reading `due` and arming it would otherwise compare with the time
            // before, wake nobody, and its timer would be late by a whole sleep.
            self.armed_us.store(NEVER_US, Ordering::SeqCst);
            let due_us = due_us(node.role());
            self.armed_us.store(due_us, Ordering::SeqCst);
            if due_us <= node.clock().now().as_us() {
                node.tell(EntryEvent::Tick);
                // One turn for other tasks, whatever the machine says next.
                tokio::task::yield_now().await;
                continue;
            }
            self.sleep(node, due_us).await;
        }
    }

    async fn sleep(&self, node: &Node, due_us: u64) {
        let at = base::Instant::from_us(due_us);
        let timer = async {
            match due_us {
                NEVER_US => std::future::pending().await,
                _ => tokio::time::sleep_until(node.clock().at(at)).await,
            }
        };
        tokio::select! {
            () = timer => {}
            () = self.earlier.notified() => {}
            () = node.exit().cancelled() => {}
        }
    }
}

fn due_us(role: &EntryRole) -> u64 {
    role.due().map_or(NEVER_US, base::Instant::as_us)
}
