//! Timeouts of callers' connections.
//!
//! They follow the configuration in force. The HTTP library takes its timeouts when a
//! connection begins: after a change, callers would reuse connections by the new limit
//! that the entry closes by the old one, for as long as these connections are used.

use std::time::Duration;
use tokio::time::{Instant, sleep_until};

use crate::framing::{PhaseStart, RequestFraming, RequestPhase};
use crate::state::Node;

/// Waits until a connection has been idle for too long, or the head of a request has
/// taken too long. Returns the phase in which it was.
pub(crate) async fn timed_out(node: &Node, framing: &RequestFraming) -> RequestPhase {
    loop {
        let config_adopted = node.config_adopted.notified();
        let timeouts = CallerTimeouts::in_force(node);
        let start = framing.phase_start();
        let deadline = timeouts.deadline(start);
        if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            return start.phase;
        }
        // A head that begins meanwhile has its own timeout from then on.
        let check_at = Instant::now() + timeouts.head;
        let check_at = deadline.map_or(check_at, |deadline| deadline.min(check_at));
        tokio::select! {
            () = sleep_until(check_at) => {}
            () = config_adopted => {}
        }
    }
}

/// The timeouts of a configuration.
#[derive(Debug, Clone, Copy)]
struct CallerTimeouts {
    idle: Duration,
    head: Duration,
}

impl CallerTimeouts {
    fn in_force(node: &Node) -> Self {
        let limits = node.limits();
        let head = Duration::from_millis(limits.head_timeout_ms);
        Self {
            idle: Duration::from_millis(limits.idle_timeout_ms).max(head),
            head,
        }
    }

    /// Returns when a connection in this phase is closed; `None` while a response is
    /// being sent.
    fn deadline(self, start: PhaseStart) -> Option<Instant> {
        match start.phase {
            RequestPhase::AwaitingFirst | RequestPhase::Idle => {
                Some(start.since + self.idle)
            }
            RequestPhase::ReadingHead => Some(start.since + self.head),
            RequestPhase::Responding => None,
        }
    }
}
