//! The graceful shutdown, from the termination signal to the end of the
//! process.
//!
//! 1. Announced: the entry reports that it is not ready, but the load balancer
//!    has not checked yet and callers still arrive. Responses ask them to use
//!    another entry.
//! 2. Closing: kept-alive connections are closed after their current response.
//!    New connections are still accepted, for one request each, because the
//!    load balancer keeps sending callers here while few entries of a failure
//!    domain are ready.
//! 3. Not accepting, as soon as no connection is open: no more connections are
//!    accepted, and those accepted last are served.
//! 4. Ended.
//!
//! Streams that still run near the end are handed over to callers that can resume them
//! (see `stream_shutdown`). The others run until the exit.
//!
//! Exiting as soon as no request was *in progress* cut off requests: one that
//! was half received, one that arrived between the check and the exit, and a
//! response that was not sent yet. So the shutdown waits for connections, which
//! exist from before their first byte until after their last, and it checks
//! only when no new one can arrive.

use base::prelude::*;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::orders::hand_over_lease;
use crate::state::Node;

/// Time after the termination signal for which connections still take requests.
/// The load balancer needs two checks, a second apart, to send callers
/// elsewhere.
const DRAIN_DELAY: Duration = Duration::from_millis(2_200);

/// How long before it would be killed the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Time to hand the lease over once nothing else is left to do. It takes a few
/// calls to the platform.
const LEASE_HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the tasks of connections that are cut off by the exit. They
/// end as soon as they are scheduled.
const CUT_OFF_WAIT: Duration = Duration::from_millis(50);

/// Time for the last log lines to be written.
const LOG_FLUSH_WAIT: Duration = Duration::from_millis(50);

/// Shuts down gracefully: callers are sent elsewhere, accepted requests are
/// finished, and no response is cut off while there is time for it.
pub(crate) async fn shut_down(node: &Arc<Node>, accept_task: JoinHandle<()>) {
    let signalled_at = node.now();
    let grace = Duration::from_millis(node.options.deployment.shutdown_ms);
    let end_at = signalled_at + grace.saturating_sub(EXIT_MARGIN);
    node.shutdown.begin(signalled_at, end_at);
    // Other entries count this one as ready until they are told.
    node.peers.announce_now.notify_one();
    log_step(node, "stopping");
    let lease_node = Arc::clone(node);
    let handover = tokio::spawn(async move { hand_over_lease(&lease_node).await });
    tokio::time::sleep(DRAIN_DELAY).await;

    node.shutdown.close_connections.cancel();
    log_step(node, "closing");
    node.caller_connections.close();
    let final_response_at = node.shutdown.final_response_at().unwrap_or(end_at);
    wait_for_connections(node, final_response_at).await;

    node.shutdown.stop_accepting.cancel();
    // The task ends by itself, and its result doesn't matter.
    let _ = accept_task.await;
    wait_for_connections(node, final_response_at).await;

    node.shutdown.respond_now.cancel();
    wait_for_connections(node, end_at).await;
    node.shutdown.hand_over_now.cancel();
    // If the handover fails, the successor waits as for a coordinator that
    // fell silent.
    let _ = timeout(
        LEASE_HANDOVER_TIMEOUT.min(end_at.since(node.now())),
        handover,
    )
    .await;
    let remaining = remaining_work(node);
    node.shutdown.finished.cancel();
    // The tasks of the connections end now and log the requests that they cut off.
    wait_for_connections(node, node.now() + CUT_OFF_WAIT).await;
    node.log.line("stopped", remaining);
    node.log.flush();
    tokio::time::sleep(LOG_FLUSH_WAIT).await;
}

/// Waits until no caller's connection is open, or until the given time.
async fn wait_for_connections(node: &Node, until: Instant) {
    // The next step is the same in both cases.
    let _ = timeout(until.since(node.now()), node.caller_connections.wait()).await;
}

/// Logs a step of the shutdown and what is still in progress.
fn log_step(node: &Node, step: &str) {
    node.log.line(step, remaining_work(node));
}

/// Returns what is still in progress, for the log, and by how much the process is late
/// to exit.
fn remaining_work(node: &Node) -> Value {
    let late_ms = node.shutdown.late_ms(node.now());
    json!({ "in_progress": node.metrics.in_progress.get(),
        "connections": node.caller_connections.len(), "late_ms": late_ms })
}
