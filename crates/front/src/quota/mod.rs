//! Whether a request's workspace has something left, and the tokens that entries hand
//! one another for it.
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

pub(crate) use charge::charge;
pub(crate) use feed::feed_keepers;
pub(crate) use hear::hear;

/// Who keeps a workspace's tokens.
#[derive(Debug, Clone)]
enum Keeper {
    This,
    Other(String, SocketAddr),
}

/// Who keeps a workspace's tokens, by whom this entry hears.
fn keeper_of(node: &Node, workspace: &str) -> Keeper {
    let now = node.now();
    let own = keeps(node).then_some(node.options.entry.as_str());
    let away = node.quota.away(now);
    let is_away = |name: &str| away.iter().any(|away| away == name);
    let other = node.peers.keeper(now, workspace, own, is_away);
    other.map_or(Keeper::This, |(name, address)| Keeper::Other(name, address))
}

/// Whether others may hand this entry their tokens.
pub(crate) fn keeps(node: &Node) -> bool {
    !node.stop.is_stopping() && node.setup().is_some()
}

/// Sends tokens, or what concerns them, to an entry.
async fn send(node: &Node, address: SocketAddr, tokens: Tokens) {
    let message = message(node, tokens).encode_to_vec();
    if let Some(socket) = node.peers.socket.get() {
        // A lost one is sent again, or taken for spent.
        let _ = socket.send_to(&message, address).await;
    }
}

/// The message that carries them.
fn message(node: &Node, tokens: Tokens) -> PeerNews {
    PeerNews {
        entry: node.options.entry.clone(),
        start: node.start,
        tokens: Some(tokens),
        ..PeerNews::default()
    }
}
