//! Telling what this entry has come to believe where nothing happens at the
//! moment itself: an upstream or another entry fell silent, or this process did
//! not run for a while.

use base::prelude::*;
use direct::AvoidanceChange;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

use crate::state::Node;

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Time by which a look may be late. Beyond, the process did not run: it was
/// suspended, or starved of its processor.
const LATE_MS: u64 = 500;

/// Tells of beliefs that turn, for ever.
pub(crate) async fn tell_beliefs(node: Arc<Node>) {
    let mut looked_at = node.now();
    let mut held = None;
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = node.now();
        tell_suspension(&node, now.since(looked_at));
        looked_at = now;
        let token = node.lease.lock().token(now);
        tell_lapse(&node, held, token);
        held = token;
        let turns = node.doubts.lock().update_all(now, &node.fleet.lock());
        for turn in &turns {
            tell_turn(&node, now, turn);
        }
        for (peer, silent_ms) in node.peers.newly_lost(now) {
            node.log
                .line("peer_lost", json!({ "peer": peer, "silent_ms": silent_ms }));
        }
    }
}

/// A lease that was not renewed ends without anything happening; from then on
/// nobody orders until one of the entries takes it.
fn tell_lapse(node: &Node, before: Option<u64>, now: Option<u64>) {
    if let (Some(before), None) = (before, now) {
        node.log.line(
            "lease_ended",
            json!({ "token": before, "stopping": node.stop.is_stopping() }),
        );
    }
}

/// Tells of a doubt that a decision rests on, if it is new.
pub(crate) fn tell_doubt(node: &Node, upstream: &str) {
    let now = node.now();
    let mut doubts = node.doubts.lock();
    let fleet = node.fleet.lock();
    let upstream = fleet.get(upstream);
    let turn = upstream.and_then(|upstream| doubts.update(now, upstream));
    drop(fleet);
    drop(doubts);
    if let Some(turn) = turn {
        tell_turn(node, now, &turn);
    }
}

/// Leases and deadlines go by a clock that runs on while the process does not,
/// so what was decided before a suspension is seen to be over; this line is how
/// a reader of the log knows why.
fn tell_suspension(node: &Node, slept: Duration) {
    let late = slept.saturating_sub(LOOK_EVERY);
    let late_ms = late.as_millis() as u64;
    if late_ms < LATE_MS {
        return;
    }
    node.meters.suspended_s.inc_by(late.as_secs_f64());
    let token = node.lease.lock().token(node.now());
    node.log.line(
        "suspended",
        json!({ "ms": late_ms, "token": token,
            "in_progress": node.meters.in_progress.get() }),
    );
}

fn tell_turn(node: &Node, now: Instant, turn: &AvoidanceChange) {
    let known = node.fleet.lock().get(&turn.upstream).map(|upstream| {
        (
            upstream.activity(now).silent_ms,
            upstream.own_usage.running,
            upstream.version,
        )
    });
    let Some((silent_ms, running, version)) = known else {
        return;
    };
    let event = match turn.after {
        Some(doubt) => {
            if doubt == direct::AvoidReason::Silent {
                // Others whose requests only wait there learn of it by this alone.
                node.peers.wake.notify_one();
            }
            let doubts = node.meters.doubts.with_label_values(&[doubt.as_str()]);
            doubts.inc();
            "upstream_doubted"
        }
        None => "upstream_trusted",
    };
    node.log.line(
        event,
        json!({ "upstream": &*turn.upstream, "why": turn.after.map(direct::AvoidReason::as_str),
            "before": turn.before.map(direct::AvoidReason::as_str), "silent_ms": silent_ms,
            "running": running, "version": version }),
    );
}
