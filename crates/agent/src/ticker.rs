//! The machine's timer.

use base::Instant;
use role::agent::AgentEvent;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::node::Node;

/// When the machine wants its next tick.
#[derive(Debug)]
pub(crate) struct Ticker {
    due: watch::Sender<Option<Instant>>,
}

impl Ticker {
    /// No tick is wanted.
    pub(crate) fn new() -> Self {
        Self {
            due: watch::Sender::new(None),
        }
    }

    /// Sets when the next tick is wanted.
    pub(crate) fn set(&self, due: Option<Instant>) {
        self.due.send_if_modified(|held| {
            let changed = *held != due;
            *held = due;
            changed
        });
    }

    /// Ticks until the process ends.
    pub(crate) async fn run(&self, node: &Arc<Node>) {
        let mut wanted = self.due.subscribe();
        loop {
            let due = *wanted.borrow_and_update();
            let tick = async {
                match due {
                    Some(due) => sleep_until(node.clock().at(due)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = node.exit().cancelled() => return,
                changed = wanted.changed() => if changed.is_err() { return },
                () = tick => node.tell(AgentEvent::Tick),
            }
        }
    }
}
