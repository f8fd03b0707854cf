//! Accepts fewer new connections while the process lacks processor time.

use direct::INTAKE_INTERVAL_MS;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

use crate::state::Node;

/// Observes the delay of timers, forever.
pub(crate) async fn limit_intake(node: Arc<Node>) {
    loop {
        let began = node.now();
        tokio::time::sleep(Duration::from_millis(INTAKE_INTERVAL_MS)).await;
        let slept_ms = node.now().ms_since(began);
        observe_delay(&node, slept_ms.saturating_sub(INTAKE_INTERVAL_MS));
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
