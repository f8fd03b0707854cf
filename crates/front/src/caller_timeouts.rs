//! Timeouts of callers' connections.
//!
//! They follow the configuration in force. The HTTP library takes its timeouts when a
//! connection begins: after a change, callers would reuse connections by the new limit
//! that the entry closes by the old one, for as long as these connections are used.

use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

use crate::framing::{PhaseStart, RequestFraming, RequestPhase};
use crate::state::Node;

/// Shortest timeout. With none, a head that arrives in two packets is cut off.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Time within which the runtime looks at all sockets. One turn of it is too short: in
/// that, not every socket that is ready is read.
const SOCKETS_READ_AFTER: Duration = Duration::from_millis(20);

/// Time over which connections are closed whose time is up together. If all were closed in
/// one turn of the runtime, requests that arrive in that turn would be cut off.
const CLOSES_SPREAD_MS: u64 = 250;

/// Waits until a connection has been idle for too long, or the head of a request has
/// taken too long. Returns the phase in which it was.
pub(crate) async fn timed_out(node: &Node, framing: &RequestFraming) -> RequestPhase {
    let mut confirming = None;
    loop {
        let config_adopted = node.config_adopted.notified();
        let timeouts = CallerTimeouts::in_force(node);
        let start = framing.phase_start();
        let deadline = timeouts.deadline(start);
        if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
            if confirming == Some(start.since) {
                return start.phase;
            }
            confirming = Some(start.since);
            let_arrived_requests_be_read(node).await;
            continue;
        }
        tokio::select! {
            () = sleep_to(deadline) => {}
            () = framing.phase_changed(start) => {}
            () = config_adopted => {}
        }
    }
}

/// Returns how long a body may bring nothing, by the limits in force.
pub(crate) fn body_idle_timeout(node: &Node) -> Duration {
    CallerTimeouts::in_force(node).idle
}

/// Waits until the runtime has read what the operating system holds ready.
///
/// After the process was suspended, or its thread was busy, timers fire before the sockets
/// are looked at. A connection on which a request has arrived would be closed as idle.
pub(crate) async fn let_arrived_requests_be_read(node: &Node) {
    let spread_ms = node.random() % CLOSES_SPREAD_MS;
    sleep(SOCKETS_READ_AFTER + Duration::from_millis(spread_ms)).await;
}

/// Sleeps until a deadline, forever if there is none.
async fn sleep_to(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
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
        let head = Duration::from_millis(limits.head_timeout_ms).max(MIN_TIMEOUT);
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
