//! Sends the tokens that this entry refills to their keepers.

use quota::feed_interval_ms;
use schema::peer::{TokenFeed, Tokens};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

use super::{Keeper, Scope, keeper_of, send};
use crate::state::Node;

/// Sends the tokens that this entry refills to their keepers, forever.
pub(crate) async fn feed_keepers(node: Arc<Node>, scope: Scope) {
    let mut logged = None;
    let quotas = node.quotas(scope);
    loop {
        if quotas.pools.lock().is_empty() {
            // Tokens are only refilled from the first feed on.
            quotas.limits_set.notified().await;
            continue;
        }
        let entries = node.peers.entry_count();
        let refills_tokens = node.workspace_quotas.is_settled.load(Ordering::Relaxed);
        if logged.replace((entries, refills_tokens)) != Some((entries, refills_tokens))
        {
            node.log.line(
                "quota_share",
                json!({ "of": scope.as_str(), "entries": entries, "makes": refills_tokens }),
            );
        }
        let now = node.now();
        quotas
            .pools
            .lock()
            .set_entries(now, entries, refills_tokens);
        send_feeds(&node, scope).await;
        sleep(Duration::from_millis(feed_interval_ms(entries))).await;
    }
}

/// Sends one message to each keeper with the tokens of the pools that it keeps.
async fn send_feeds(node: &Node, scope: Scope) {
    let quotas = node.quotas(scope);
    for (name, (address, pools)) in pools_by_keeper(node, scope) {
        let now = node.now();
        let kept = |pool: &str| pools.iter().any(|name| **name == *pool);
        let is_gone = |keeper: &str| !node.peers.is_live_incarnation(now, keeper);
        let feeds = quotas.pools.lock().feed(now, kept, is_gone);
        let feeds = feeds.into_iter().map(|feed| TokenFeed {
            workspace: feed.workspace.to_string(),
            tokens: feed.tokens,
            owed: feed.previous_keeper_level.unwrap_or(0.0),
        });
        let tokens = Tokens {
            feed: quotas.next_number(),
            feeds: feeds.collect(),
            ..Tokens::default()
        };
        quotas.note_sent(now, &name);
        send(node, scope, address, tokens).await;
    }
}

/// Returns the pools that other entries keep, grouped by entry.
fn pools_by_keeper(
    node: &Node,
    scope: Scope,
) -> BTreeMap<String, (SocketAddr, Vec<Arc<str>>)> {
    let pools = node.quotas(scope).pools.lock();
    let names: Vec<Arc<str>> = pools.workspaces().cloned().collect();
    drop(pools);
    let mut keepers: BTreeMap<String, (SocketAddr, Vec<Arc<str>>)> = BTreeMap::new();
    for pool in names {
        if let Keeper::Other(name, address) = keeper_of(node, scope, &pool) {
            let kept = keepers.entry(name);
            kept.or_insert((address, Vec::new())).1.push(pool);
        }
    }
    keepers
}
