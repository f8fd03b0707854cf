//! What answers say of their upstreams, beyond the request that they answer.

use base::prelude::*;
use direct::UpstreamIncarnation;
use serde_json::json;

use crate::state::Node;
use crate::{ResponseHead, upstream_rate};

/// Takes over what an answer says of the upstream that gave it. An answer of another
/// upstream at its address says nothing of it.
pub(crate) fn learn(
    node: &Node,
    start: UpstreamIncarnation<'_>,
    head: &ResponseHead,
    asked_at: Instant,
) {
    if head.wrong_upstream {
        return;
    }
    upstream_rate::learn(node, start, head, asked_at);
    if head.leaving {
        learn_leaving(node, start);
    }
    if let Some(ms) = head.retry_after_ms {
        learn_retry_after(node, start, ms);
    }
}

/// The platform may say it much later, or be away: others and the leader, who has to
/// replace what it holds, hear of it at once.
fn learn_leaving(node: &Node, start: UpstreamIncarnation<'_>) {
    let is_new = node.fleet.lock().note_leaving(start);
    if is_new {
        node.log.line(
            "upstream_leaving",
            json!({ "upstream": start.id, "told_by": node.options.entry }),
        );
        node.peers.wake.notify_one();
        node.giver.wake.notify_waiters();
    }
}

/// It counts for this entry alone, so nobody else is told.
fn learn_retry_after(node: &Node, start: UpstreamIncarnation<'_>, ms: u64) {
    let until = node.now().plus_ms(ms);
    if let Some(upstream) = node.fleet.lock().incarnation_mut(start) {
        upstream.back_off(until);
    }
    node.log.line(
        "upstream_backoff",
        json!({ "upstream": start.id, "ms": ms }),
    );
}
