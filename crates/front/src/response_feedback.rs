//! What responses reveal about their upstreams beyond the request at hand: rate
//! limits, departures and requested pauses.

use base::prelude::*;
use direct::UpstreamIncarnation;
use serde_json::json;

use crate::state::Node;
use crate::{ResponseHead, upstream_rate};

/// Applies what the head of a response says about the upstream that sent it. A
/// response from a different upstream at the same address is ignored.
pub(crate) fn record(
    node: &Node,
    incarnation: UpstreamIncarnation<'_>,
    head: &ResponseHead,
    sent_at: Instant,
) {
    if head.wrong_upstream {
        return;
    }
    upstream_rate::record_advertised(node, incarnation, head, sent_at);
    if head.leaving {
        record_leaving(node, incarnation);
    }
    if let Some(ms) = head.retry_after_ms {
        record_retry_after(node, incarnation, ms);
    }
}

/// Records that a response announced that its upstream is leaving, and notifies
/// the other entries and the coordinator at once. The coordinator has to
/// replace the models that the upstream holds, and the platform may report the
/// departure much later or be unavailable.
fn record_leaving(node: &Node, incarnation: UpstreamIncarnation<'_>) {
    let is_new = node.fleet.lock().note_leaving(incarnation);
    if is_new {
        node.log.line(
            "upstream_leaving",
            json!({ "upstream": incarnation.id, "told_by": node.options.entry }),
        );
        node.peers.announce_now.notify_one();
        node.coordinator.wake.notify_waiters();
    }
}

/// Records that an upstream asked this entry to send no requests for a time.
/// This concerns only this entry, so it isn't announced to others.
fn record_retry_after(node: &Node, incarnation: UpstreamIncarnation<'_>, ms: u64) {
    let until = node.now().plus_ms(ms);
    if let Some(upstream) = node.fleet.lock().incarnation_mut(incarnation) {
        upstream.back_off(until);
    }
    node.log.line(
        "upstream_backoff",
        json!({ "upstream": incarnation.id, "ms": ms }),
    );
}
