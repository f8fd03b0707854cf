//! Metrics and log lines of what callers take: when memory for request bodies becomes
//! short, and when all places of connections are taken.

use serde_json::json;

use crate::state::Node;

/// Updates the metrics, and logs when memory becomes short or is regained. There is one
/// line for a shortage, however many bodies it concerns: callers could otherwise write the
/// log full.
pub(crate) fn report_memory(node: &Node) {
    let pressure = node.body_memory.pressure();
    let gauge = |bytes| i64::try_from(bytes).unwrap_or(i64::MAX);
    let metrics = &node.metrics;
    metrics.body_memory_bytes.set(gauge(pressure.used_bytes));
    metrics
        .body_memory_max_bytes
        .set(gauge(pressure.capacity_bytes));
    let Some(pressure) = node.body_memory.pressure_change() else {
        return;
    };
    let event = match pressure.is_short {
        true => "body_memory_short",
        false => "body_memory_regained",
    };
    node.log.line(
        event,
        json!({ "used_bytes": pressure.used_bytes, "max_bytes": pressure.capacity_bytes,
            "refused": pressure.refused, "evicted": pressure.evicted,
            "in_progress": metrics.in_progress.get() }),
    );
}

/// Logs when all places of callers' connections are taken, and when half of them are free
/// again, with what that led to since the start.
pub(crate) fn report_connections(node: &Node) {
    let Some(places) = node.caller_table.use_change() else {
        return;
    };
    let event = match places.is_full {
        true => "connections_full",
        false => "connections_regained",
    };
    node.log.line(
        event,
        json!({ "open": places.open, "max": places.max, "evicted": places.evicted,
            "refused": places.refused, "in_progress": node.metrics.in_progress.get() }),
    );
}
