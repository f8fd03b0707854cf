//! Hands the tokens that this entry makes to those who keep them.

use quota::feed_every_ms;
use schema::peer::{TokenFeed, Tokens};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

use super::{Keeper, keeper_of, send};
use crate::state::Node;

/// Time between two looks where no workspace has a bound. A process that has just
/// started makes nothing before the first look that finds one.
const IDLE_EVERY: Duration = Duration::from_millis(50);

/// Hands tokens to those who keep them, for ever.
pub(crate) async fn feed_keepers(node: Arc<Node>) {
    let mut told = None;
    loop {
        if node.quota.pools.lock().is_empty() {
            sleep(IDLE_EVERY).await;
            continue;
        }
        let entries = node.peers.entries();
        let makes = node.quota.is_settled.load(Ordering::Relaxed);
        if told.replace((entries, makes)) != Some((entries, makes)) {
            node.log
                .line("quota_share", json!({ "entries": entries, "makes": makes }));
        }
        let now = node.now();
        node.quota.pools.lock().set_entries(now, entries, makes);
        feed_once(&node).await;
        sleep(Duration::from_millis(feed_every_ms(entries))).await;
    }
}

async fn feed_once(node: &Node) {
    for (name, (address, workspaces)) in by_keeper(node) {
        let now = node.now();
        let kept = |workspace: &str| workspaces.iter().any(|of| **of == *workspace);
        let is_gone = |keeper: &str| !node.peers.is_running(now, keeper);
        let feeds = node.quota.pools.lock().feed(now, kept, is_gone);
        let feeds = feeds.into_iter().map(|feed| TokenFeed {
            workspace: feed.workspace.to_string(),
            tokens: feed.tokens,
            owed: feed.owed.unwrap_or(0.0),
        });
        let tokens = Tokens {
            feed: node.quota.next_number(),
            feeds: feeds.collect(),
            ..Tokens::default()
        };
        node.quota.sent(now, &name);
        send(node, address, tokens).await;
    }
}

/// Workspaces that other entries keep, by entry.
fn by_keeper(node: &Node) -> BTreeMap<String, (SocketAddr, Vec<Arc<str>>)> {
    let pools = node.quota.pools.lock();
    let workspaces: Vec<Arc<str>> = pools.workspaces().cloned().collect();
    drop(pools);
    let mut keepers: BTreeMap<String, (SocketAddr, Vec<Arc<str>>)> = BTreeMap::new();
    for workspace in workspaces {
        if let Keeper::Other(name, address) = keeper_of(node, &workspace) {
            let kept = keepers.entry(name);
            kept.or_insert((address, Vec::new())).1.push(workspace);
        }
    }
    keepers
}
