//! Logs at intervals what this entry costs: calls to the platform and messages
//! between entries.

use serde_json::{Map, Value, json};
use std::sync::Arc;
use std::time::Duration;

use crate::state::Node;

/// Interval of the log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the totals since the start of the process at intervals, forever.
pub(crate) async fn report_usage(node: Arc<Node>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        log_usage(&node);
    }
}

/// Logs the totals since the start of the process.
pub(crate) fn log_usage(node: &Node) {
    let metrics = &node.metrics;
    let up_s = node.now().since(node.started_at).as_secs_f64();
    let calls = totals(&metrics.platform_calls, 1);
    let messages = totals(&metrics.peer_messages, 2);
    let bytes = totals(&metrics.peer_bytes, 2);
    let parts = totals(&metrics.peer_part_bytes, 1);
    let transfers = totals(&metrics.transfer_bytes, 2);
    node.log.line(
        "usage",
        json!({ "up_s": up_s, "platform_calls": calls,
            "platform_requests": node.platform.requests_sent(),
            "peer_messages": messages, "peer_bytes": bytes, "peer_part_bytes": parts,
            "transfer_bytes": transfers,
            "peers": node.peers.entry_count() - 1 }),
    );
}

/// Returns the totals of a counter by its first labels.
fn totals(counter: &prometheus::IntCounterVec, labels: usize) -> Value {
    use prometheus::core::Collector;
    let mut totals = Map::new();
    for family in counter.collect() {
        for metric in family.get_metric() {
            let names = metric.get_label().iter().take(labels);
            let names: Vec<&str> = names.map(|label| label.value()).collect();
            let total = metric.get_counter().get_value() as u64;
            let entry = totals.entry(names.join(" ")).or_insert(Value::from(0));
            *entry = Value::from(entry.as_u64().unwrap_or(0) + total);
        }
    }
    Value::Object(totals)
}
