//! Logs when memory for request bodies becomes short, and when it no longer is.

use inbound::MemoryPressure;
use serde_json::json;

use crate::state::Node;

/// What the log says of the memory.
#[derive(Debug, Default)]
pub(crate) struct PressureLog {
    is_short: bool,
    /// Bodies refused and given way when the memory last became short or was regained.
    refused: u64,
    evicted: u64,
}

impl PressureLog {
    /// Updates the metrics, and logs a change. There is one line for a shortage, however
    /// many bodies it concerns: callers could otherwise write the log full.
    pub(crate) fn update(&mut self, node: &Node) {
        let pressure = node.body_memory.pressure();
        let gauge = |bytes| i64::try_from(bytes).unwrap_or(i64::MAX);
        let metrics = &node.metrics;
        metrics.body_memory_bytes.set(gauge(pressure.used_bytes));
        metrics
            .body_memory_max_bytes
            .set(gauge(pressure.capacity_bytes));
        if pressure.is_short != self.is_short {
            self.log_change(node, &pressure);
        }
    }

    fn log_change(&mut self, node: &Node, pressure: &MemoryPressure) {
        let event = match pressure.is_short {
            true => "body_memory_short",
            false => "body_memory_regained",
        };
        node.log.line(
            event,
            json!({ "used_bytes": pressure.used_bytes, "max_bytes": pressure.capacity_bytes,
                "refused": pressure.refused - self.refused,
                "evicted": pressure.evicted - self.evicted,
                "in_progress": node.metrics.in_progress.get() }),
        );
        self.is_short = pressure.is_short;
        self.refused = pressure.refused;
        self.evicted = pressure.evicted;
    }
}
