//! Telling an upstream that crashed from one that lost an answer.

use base::prelude::*;
use std::sync::Arc;
use std::time::Duration;

use crate::node::Node;

/// Time after a broken connection at which the upstream is looked at: one that
/// crashes takes a moment to be gone.
const LOOK_AFTER: Duration = Duration::from_millis(30);

/// An upstream broke the connection of a request off. If it can't be reached
/// either, it has crashed, and the request is suspected of it.
///
/// A lost answer or a cut stream ends its connection just the same. Taken for
/// crashes, two of them would keep an innocent request, and all that look like
/// it, from every upstream for a minute.
pub(crate) fn look_for_crash(node: &Arc<Node>, fingerprint: u64, upstream: &Arc<str>) {
    let (node, upstream) = (Arc::clone(node), Arc::clone(upstream));
    tokio::spawn(async move {
        tokio::time::sleep(LOOK_AFTER).await;
        let address = node
            .fleet
            .lock()
            .get(&upstream)
            .map(|known| known.news.address);
        if let Some(address) = address
            && let Ok(line) = node.pool.take(&upstream, address, true).await
        {
            node.pool.keep(&upstream, line, None);
            return;
        }
        node.log.line(
            "upstream_crashed",
            serde_json::json!({ "upstream": &*upstream,
                "fingerprint": format!("{fingerprint:016x}") }),
        );
        let agent = AgentId::new(&upstream);
        let mut suspects = node.suspects.lock();
        suspects.on_crash(node.now(), &[fingerprint], &agent, 0, false);
    });
}
