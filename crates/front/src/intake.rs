//! Accepts fewer new connections while the process lacks processor time.

use base::prelude::*;
use direct::INTAKE_INTERVAL_MS;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

use crate::caller_pressure::{report_connections, report_memory};
use crate::state::Node;

/// Minimum interval between two log lines about refused connections.
const REFUSED_LOG_INTERVAL_MS: u64 = 1_000;

/// Observes the delay of timers and what callers take, forever.
pub(crate) async fn limit_intake(node: Arc<Node>) {
    let mut refused = RefusedConnections::default();
    loop {
        let began = node.now();
        tokio::time::sleep(Duration::from_millis(INTAKE_INTERVAL_MS)).await;
        let slept_ms = node.now().ms_since(began);
        let delay_ms = slept_ms.saturating_sub(INTAKE_INTERVAL_MS);
        observe_delay(&node, delay_ms);
        refused.log(&node, delay_ms);
        report_memory(&node);
        report_connections(&node);
    }
}

/// Connections that were refused, as far as the log says.
#[derive(Debug, Default)]
struct RefusedConnections {
    logged: u64,
    logged_at: Option<Instant>,
}

impl RefusedConnections {
    /// Logs the connections refused since the last line, with the requests in progress:
    /// only those tell whether the entry was busy.
    fn log(&mut self, node: &Node, delay_ms: u64) {
        let now = node.now();
        let refused = node.metrics.connections_refused.get();
        let is_due = self
            .logged_at
            .is_none_or(|at| now.ms_since(at) >= REFUSED_LOG_INTERVAL_MS);
        if refused == self.logged || !is_due {
            return;
        }
        node.log.line(
            "connections_refused",
            json!({ "count": refused - self.logged, "delay_ms": delay_ms,
                "in_progress": node.metrics.in_progress.get() }),
        );
        self.logged = refused;
        self.logged_at = Some(now);
    }
}

fn observe_delay(node: &Node, delay_ms: u64) {
    let in_progress = u64::try_from(node.metrics.in_progress.get()).unwrap_or(0);
    let changed = node.intake_limit.lock().observe(delay_ms, in_progress);
    let Some(share) = changed else {
        return;
    };
    let event = if share < 1.0 {
        "intake_limited"
    } else {
        "intake_unlimited"
    };
    node.log.line(
        event,
        json!({ "delay_ms": delay_ms, "in_progress": in_progress,
            "refused": node.metrics.connections_refused.get() }),
    );
}
