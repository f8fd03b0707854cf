//! Telling an upstream that crashed from one that lost an answer.

use base::prelude::*;
use direct::UpstreamIncarnation;
use std::sync::Arc;
use std::time::Duration;

use crate::reach::place;
use crate::state::Node;

/// Time after a broken connection at which the upstream is looked at: one that
/// crashes takes a moment to be gone.
const LOOK_AFTER: Duration = Duration::from_millis(30);

/// An upstream broke the connection of a request off. If it can't be reached
/// either, it has crashed, and the request is suspected of it.
///
/// A lost answer or a cut stream ends its connection just the same. Taken for
/// crashes, two of them would keep an innocent request, and all that look like
/// it, from every upstream for a minute.
pub(crate) fn look_for_crash(
    node: &Arc<Node>,
    fingerprint: u64,
    start: UpstreamIncarnation<'_>,
) {
    let (node, born_ms) = (Arc::clone(node), start.started_unix_ms);
    let upstream: Arc<str> = start.id.into();
    tokio::spawn(async move {
        tokio::time::sleep(LOOK_AFTER).await;
        if let Some(place) = place(&node, &upstream)
            && let Ok(line) = node.pool.take(&upstream, place, true).await
        {
            node.pool.keep(&upstream, line, None);
            return;
        }
        node.log.line(
            "upstream_crashed",
            serde_json::json!({ "upstream": &*upstream,
                "fingerprint": format!("{fingerprint:016x}") }),
        );
        let agent = witness(&upstream, born_ms);
        let mut suspects = node.suspects.lock();
        let incarnation = born_ms.unwrap_or(0);
        suspects.record_crash(node.now(), &[fingerprint], &agent, incarnation, false);
    });
}

/// What a crash is counted by. Crashes of two upstreams convict a request, and two
/// starts under one name are two: counted as one, the request would go on to crash
/// each start of the same upstream.
fn witness(upstream: &str, born_ms: Option<u64>) -> AgentId {
    match born_ms {
        Some(born_ms) => AgentId::new(&format!("{upstream}@{born_ms}")),
        None => AgentId::new(upstream),
    }
}
