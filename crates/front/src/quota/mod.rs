//! Whether a request's workspace, or an upstream, has something left, and the tokens
//! that entries hand one another for it.
//!
//! The decisions are those of the `quota` crate; this is their way over the network.
//! [`charge`] takes a request's tokens, [`feed_keepers`] hands over what this entry
//! makes, and [`hear`] answers the others.

mod charge;
mod feed;
mod hear;

use prost::Message;
use schema::peer::{PeerNews, Tokens};
use std::net::SocketAddr;

use crate::state::Node;

pub(crate) use charge::{charge, take};
pub(crate) use feed::feed_keepers;
pub(crate) use hear::hear;

/// Whose tokens they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Workspaces', by their quotas.
    Workspaces,
    /// Upstreams', by the rates that they ask for.
    Upstreams,
}

impl Scope {
    /// The word used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Workspaces => "workspaces",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Who keeps a pool of tokens.
#[derive(Debug, Clone)]
enum Keeper {
    This,
    Other(String, SocketAddr),
}

/// Who keeps a pool of tokens, by whom this entry hears.
fn keeper_of(node: &Node, scope: Scope, pool: &str) -> Keeper {
    let now = node.now();
    let own = keeps(node).then_some(node.options.entry.as_str());
    let away = node.quotas(scope).away(now);
    let is_away = |name: &str| away.iter().any(|away| away == name);
    let other = node.peers.keeper(now, pool, own, is_away);
    other.map_or(Keeper::This, |(name, address)| Keeper::Other(name, address))
}

/// Whether others may hand this entry their tokens.
pub(crate) fn keeps(node: &Node) -> bool {
    !node.stop.is_stopping() && node.setup().is_some()
}

/// Sends tokens, or what concerns them, to an entry.
async fn send(node: &Node, scope: Scope, address: SocketAddr, tokens: Tokens) {
    let message = message(node, scope, tokens).encode_to_vec();
    if let Some(socket) = node.peers.socket.get() {
        // A lost one is sent again, or taken for spent.
        let _ = socket.send_to(&message, address).await;
    }
}

/// The message that carries them.
fn message(node: &Node, scope: Scope, tokens: Tokens) -> PeerNews {
    let (tokens, upstream_tokens) = match scope {
        Scope::Workspaces => (Some(tokens), None),
        Scope::Upstreams => (None, Some(tokens)),
    };
    PeerNews {
        entry: node.options.entry.clone(),
        start: node.start,
        tokens,
        upstream_tokens,
        ..PeerNews::default()
    }
}
