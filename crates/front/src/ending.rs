//! The way from the signal to stop to the end of the process.
//!
//! 1. Announced: not ready, but the balancer has not asked yet, and callers still
//!    come. Answers ask them to go elsewhere.
//! 2. Closing: kept connections close after what they are answering. New ones are
//!    taken all the same, for one request each: while few entries of a failure
//!    domain are ready, the balancer goes on sending them here.
//! 3. Unlistened, as soon as no connection is open: none is taken any more, and
//!    those taken last are answered.
//! 4. Ended.
//!
//! A process that ended at a moment without a request *in progress* cut requests:
//! one that was half read, one that came between the look and the end, and an
//! answer that was not yet sent. So the end waits for connections, each of which
//! is there from before its first byte until after its last, and it looks only
//! where no new one can come.

use base::prelude::*;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::orders::hand_over_lease;
use crate::state::Node;

/// Time after the signal to stop in which connections still take requests: the
/// balancer needs two questions, a second apart, to send callers elsewhere.
const KEEP_TAKING: Duration = Duration::from_millis(2_200);

/// Time before the end by force at which the process ends by itself.
const SPARE: Duration = Duration::from_millis(500);

/// Time for handing the lease over when nothing else is left to do: some calls to the
/// platform.
const HAND_OVER: Duration = Duration::from_millis(300);

/// Time for the last log lines to be written.
const LINES: Duration = Duration::from_millis(50);

/// Ends in order: callers are sent elsewhere, what was taken is finished, and no
/// answer is cut while there is time for it.
pub(crate) async fn end_in_order(node: &Arc<Node>, listening: JoinHandle<()>) {
    let begun_at = node.now();
    let longest = Duration::from_millis(node.options.deployment.shutdown_ms);
    let end_at = begun_at + longest.saturating_sub(SPARE);
    node.stop.begin(begun_at, end_at);
    tell(node, "stopping");
    let leading = Arc::clone(node);
    let handed_over = tokio::spawn(async move { hand_over_lease(&leading).await });
    tokio::time::sleep(KEEP_TAKING).await;

    node.stop.close.cancel();
    tell(node, "closing");
    node.connections.close();
    let answer_by = node.stop.answer_by().unwrap_or(end_at);
    none_open(node, answer_by).await;

    node.stop.unlisten.cancel();
    // It ends by itself, and nothing depends on how.
    let _ = listening.await;
    none_open(node, answer_by).await;

    node.stop.answer_now.cancel();
    none_open(node, end_at).await;
    node.stop.hand_over.cancel();
    // Whether it was handed over in time, its successor sees.
    let _ = timeout(HAND_OVER.min(end_at.since(node.now())), handed_over).await;
    node.stop.ended.cancel();
    tell(node, "stopped");
    node.log.flush();
    tokio::time::sleep(LINES).await;
}

/// Waits until no caller's connection is open, or until then.
async fn none_open(node: &Node, until: Instant) {
    // Which of the two it was, the next step need not know.
    let _ = timeout(until.since(node.now()), node.connections.wait()).await;
}

/// Tells a step, with what has not ended yet.
fn tell(node: &Node, step: &str) {
    let left: Value = json!({ "in_progress": node.meters.in_progress.get(),
        "connections": node.connections.len() });
    node.log.line(step, left);
}
