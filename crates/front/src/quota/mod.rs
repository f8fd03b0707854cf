//! Quota tokens of workspaces and rate tokens of upstreams, and their exchange
//! between entries.
//!
//! Each workspace with a quota and each upstream with a rate has a pool of
//! tokens. Every entry refills its share of them and sends it to the pool's
//! keeper, the one entry from which the others take tokens.
//!
//! The `quota` crate makes the decisions; this module sends and receives the
//! messages. [`charge`] takes a request's tokens, [`feed_keepers`] sends the
//! tokens that this entry refills to their keepers, and [`receive`] handles the
//! other entries' messages.

mod charge;
mod feed;
mod receive;

use prost::Message;
use schema::peer::{PeerNews, Tokens};
use std::net::SocketAddr;

use crate::state::Node;

pub(crate) use charge::{charge, take};
pub(crate) use feed::feed_keepers;
pub(crate) use receive::receive;

/// What a set of token pools is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Quotas of workspaces.
    Workspaces,
    /// Rates that upstreams advertise.
    Upstreams,
}

impl Scope {
    /// Returns the name used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Workspaces => "workspaces",
            Self::Upstreams => "upstreams",
        }
    }
}

/// The entry that keeps a pool's tokens.
#[derive(Debug, Clone)]
enum Keeper {
    This,
    Other(String, SocketAddr),
}

/// Returns the entry that keeps a pool's tokens, chosen among the entries that
/// this one has contact to.
fn keeper_of(node: &Node, scope: Scope, pool: &str) -> Keeper {
    let now = node.now();
    let this_entry = can_keep_tokens(node).then_some(node.options.entry.as_str());
    let unresponsive = node.quotas(scope).unresponsive(now);
    let is_unresponsive =
        |name: &str| unresponsive.iter().any(|unresponsive| unresponsive == name);
    let other = node
        .peers
        .token_keeper(now, pool, this_entry, is_unresponsive);
    other.map_or(Keeper::This, |(name, address)| Keeper::Other(name, address))
}

/// Returns whether other entries may send their tokens to this entry.
pub(crate) fn can_keep_tokens(node: &Node) -> bool {
    !node.shutdown.is_stopping() && node.config().is_some()
}

/// Sends a message about tokens to an entry.
async fn send(node: &Node, scope: Scope, address: SocketAddr, tokens: Tokens) {
    let message = build_message(node, scope, tokens).encode_to_vec();
    if let Some(socket) = node.peers.socket.get() {
        node.metrics
            .count_sent("tokens", &node.peers.scopes([address]), message.len());
        // Lost tokens are sent again or count as used.
        let _ = socket.send_to(&message, address).await;
    }
}

/// Returns the message that carries the tokens.
fn build_message(node: &Node, scope: Scope, tokens: Tokens) -> PeerNews {
    let (tokens, upstream_tokens) = match scope {
        Scope::Workspaces => (Some(tokens), None),
        Scope::Upstreams => (None, Some(tokens)),
    };
    PeerNews {
        entry: node.options.entry.clone(),
        start: node.started_unix_ms,
        tokens,
        upstream_tokens,
        ..PeerNews::default()
    }
}
