//! Detects and logs changes of state that no event triggers: an upstream or
//! another entry fell silent, the lease expired, or this process didn't run for
//! a while.

use base::prelude::*;
use direct::AvoidanceChange;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

use crate::state::Node;

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Delay of a check beyond which the process counts as not having run: it was
/// suspended or got no CPU time.
const SUSPENSION_THRESHOLD_MS: u64 = 500;

/// Checks for changes of state, forever.
pub(crate) async fn monitor_state(node: Arc<Node>) {
    let mut checked_at = node.now();
    let mut held_token = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = node.now();
        record_suspension(&node, now.since(checked_at));
        checked_at = now;
        let token = node.lease.lock().token(now);
        log_lease_expiry(&node, held_token, token);
        held_token = token;
        let changes = node.avoidance.lock().update_all(now, &node.fleet.lock());
        for change in &changes {
            log_avoidance_change(&node, now, change);
        }
        for (peer, silent_ms) in node.peers.newly_lost(now) {
            node.log
                .line("peer_lost", json!({ "peer": peer, "silent_ms": silent_ms }));
        }
    }
}

/// Logs that this entry's lease has ended. A lease that isn't renewed expires
/// without any other event. From then on no entry sends orders until one of
/// them acquires the lease.
fn log_lease_expiry(node: &Node, before: Option<u64>, now: Option<u64>) {
    if let (Some(before), None) = (before, now) {
        node.log.line(
            "lease_ended",
            json!({ "token": before, "stopping": node.shutdown.is_stopping() }),
        );
    }
}

/// Logs whether and why an upstream is avoided, if that has changed. Decisions
/// based on it call this at once, as the reason may be gone at the next check.
pub(crate) fn log_avoidance_if_changed(node: &Node, upstream: &str) {
    let now = node.now();
    let mut avoidance = node.avoidance.lock();
    let fleet = node.fleet.lock();
    let upstream = fleet.get(upstream);
    let change = upstream.and_then(|upstream| avoidance.update(now, upstream));
    drop(fleet);
    drop(avoidance);
    if let Some(change) = change {
        log_avoidance_change(node, now, &change);
    }
}

/// Logs and counts a time for which the process did not run. Leases and
/// deadlines are measured by a clock that keeps running meanwhile, so after a
/// suspension they are correctly seen as expired; this line tells a reader of
/// the log why.
fn record_suspension(node: &Node, slept: Duration) {
    let late = slept.saturating_sub(CHECK_INTERVAL);
    let late_ms = late.as_millis() as u64;
    if late_ms < SUSPENSION_THRESHOLD_MS {
        return;
    }
    node.metrics.suspended_s.inc_by(late.as_secs_f64());
    let token = node.lease.lock().token(node.now());
    node.log.line(
        "suspended",
        json!({ "ms": late_ms, "token": token,
            "in_progress": node.metrics.in_progress.get() }),
    );
}

/// Logs a change of the reason to avoid an upstream, and counts a new reason.
fn log_avoidance_change(node: &Node, now: Instant, change: &AvoidanceChange) {
    let known = node.fleet.lock().get(&change.upstream).map(|upstream| {
        (
            upstream.activity(now).silent_ms,
            upstream.own_usage.running,
            upstream.version,
        )
    });
    let Some((silent_ms, running, version)) = known else {
        return;
    };
    let event = match change.after {
        Some(reason) => {
            if reason == direct::AvoidReason::Silent {
                // Other entries whose requests are still waiting at the
                // upstream can learn only from a message that it is silent.
                node.peers.announce_now.notify_one();
            }
            let counter = node.metrics.avoided.with_label_values(&[reason.as_str()]);
            counter.inc();
            "upstream_doubted"
        }
        None => "upstream_trusted",
    };
    node.log.line(
        event,
        json!({ "upstream": &*change.upstream, "why": change.after.map(direct::AvoidReason::as_str),
            "before": change.before.map(direct::AvoidReason::as_str), "silent_ms": silent_ms,
            "running": running, "version": version }),
    );
}
