//! First messages between an entry that starts and the others of its failure domain.
//!
//! An entry that starts sends requests to upstreams as soon as it knows their records,
//! some milliseconds later. That an upstream is leaving may only be known to the other
//! entries, whose next periodic message takes up to 1.35 s. So the new process sends
//! them a message first, and they answer at once if they know of such an upstream.

use direct::MessageDetail;
use std::net::SocketAddr;

use super::announce::send_message;
use super::contents::{Audience, Contents, Trigger};
use crate::state::Node;

/// Sends a message to the other entries of this failure domain.
pub(super) async fn introduce(
    node: &Node,
    domain_addresses: impl Iterator<Item = SocketAddr>,
) {
    let own_address = node.options.peer_address;
    let others = domain_addresses.filter(|address| *address != own_address);
    send(node, others).await;
}

/// Answers the first message of a new process of an entry. The answers of one failure
/// domain suffice.
pub(super) async fn answer(node: &Node, domain: &str, address: SocketAddr) {
    let knows_more = node.fleet.lock().knows_unlisted_leaving();
    if knows_more && domain == node.options.failure_domain {
        send(node, std::iter::once(address)).await;
    }
}

async fn send(node: &Node, addresses: impl Iterator<Item = SocketAddr>) {
    if let Some(socket) = node.peers.socket.get() {
        let detail = MessageDetail::OlderFormat;
        let contents = Contents::part_of_round(Audience::Entry, detail);
        send_message(node, socket, addresses, &contents, Trigger::Change).await;
    }
}
