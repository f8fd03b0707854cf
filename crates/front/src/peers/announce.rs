//! Sends messages to other entries.

use base::prelude::*;
use direct::{
    MessageDetail, confirmation_timeout_ms, digest_settle_ms, peer_message_interval_ms,
    urgent_message_interval_ms,
};
use prost::Message;
use schema::peer::{PeerNews, Watched};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

use super::contents::{Audience, Changes, Contents, Trigger};
use super::message::build_message;
use super::message_parts::part_sizes;
use super::relay::{self, RelayedMessage};
use crate::platform_watch::Collection;
use crate::shared_watch::outgoing_parts;
use crate::state::Node;
use crate::state::peers::{Peers, UNREACHABLE_AFTER_MS};

/// Sends this entry's state to other entries periodically, forever.
pub(crate) async fn announce_periodically(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        let interval_ms = peer_message_interval_ms(node.peers.address_count());
        let timeout_ms = confirmation_timeout_ms(node.peers.address_count());
        let interval = Duration::from_millis(interval_ms);
        let timeout = Duration::from_millis(timeout_ms);
        tokio::time::sleep(interval.saturating_sub(timeout)).await;
        node.peers.table.lock().periodic_rounds += 1;
        announce_to_all(&node, &socket, Trigger::Periodic).await;
        tokio::time::sleep(timeout).await;
        relay::send_unconfirmed(&node, &socket).await;
    }
}

/// Sends messages right away when something changed: to all entries when
/// upstreams hold something else, an upstream fell silent or a lease renewal is
/// to be written, and only to the coordinator when an adapter is wanted. With
/// many entries, a message to all of them is a cost for all of them.
///
/// Each of the three notifications is retained during the pause, so that a
/// change in that time is sent after it rather than with the next periodic
/// message.
pub(crate) async fn announce_changes(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = node.wanted_adapters.unannounced.notified() => {
                let coordinator = node.peers.coordinator_address(node.now());
                let addresses = coordinator.into_iter();
                let contents = Contents::part_of_round(Audience::Coordinator, MessageDetail::Changes);
                send_message(&node, &socket, addresses, &contents, Trigger::Change).await;
            }
            () = node.coordinator.holdings_changed.notified() => {
                announce_to_all(&node, &socket, Trigger::Change).await;
            }
            () = node.peers.announce_now.notified() => {
                announce_to_all(&node, &socket, Trigger::Change).await;
            }
        }
        let interval_ms = urgent_message_interval_ms(node.peers.address_count());
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Passes on what this entry's watches observed to its failure domain whenever
/// this entry is a leader, forever.
///
/// These messages don't wait for other urgent ones, whose pause grows with the
/// number of all entries: followers watch by themselves when they receive
/// nothing for a little longer than the interval of the leader's watches.
pub(crate) async fn announce_watches(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        let collection = node.shared_watches.observed().await;
        let mut parts = outgoing_parts(&node, collection).into_iter();
        let Some(first) = parts.next() else { continue };
        let addresses = node
            .peers
            .addresses_in_domain(node.now(), &node.options.failure_domain);
        let changes = Changes {
            watched: Some((collection, first)),
            ..Changes::default()
        };
        let trigger = Trigger::PlatformWatch(collection);
        announce_to(&node, &socket, addresses.clone(), trigger, &changes).await;
        for part in parts {
            let message = watched_part(&node, collection, part);
            send_to_all(&node, &socket, &addresses, &message, trigger).await;
        }
    }
}

/// Builds the message with a part after the first of what a watch observed.
fn watched_part(node: &Node, collection: Collection, part: Watched) -> PeerNews {
    let (setup, upstreams) = match collection {
        Collection::Config => (Some(part), None),
        Collection::Upstreams => (None, Some(part)),
    };
    PeerNews {
        entry: node.options.entry.clone(),
        start: node.started_unix_ms,
        domain: node.options.failure_domain.clone(),
        setup,
        upstreams,
        ..PeerNews::default()
    }
}

/// Sends a message to all addresses.
async fn send_to_all(
    node: &Node,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    message: &PeerNews,
    trigger: Trigger,
) {
    let bytes = message.encode_to_vec();
    for address in addresses {
        // A lost message is made up for by the next one.
        let _ = socket.send_to(&bytes, *address).await;
    }
    let sent = node.peers.scopes(addresses.iter().copied());
    node.metrics
        .count_sent(trigger.as_str(), &sent, bytes.len());
    for (part, bytes) in part_sizes(message) {
        node.metrics.count_peer_part(part, sent.total(), bytes);
    }
}

/// Sends a message to all entries that are due for one.
async fn announce_to_all(node: &Node, socket: &UdpSocket, trigger: Trigger) {
    let addresses = node.peers.addresses_due(node.now());
    if trigger == Trigger::Periodic {
        update_digests(node);
        let fleet = node.fleet.lock();
        node.peers.incarnations.lock().update(node.now(), &fleet);
    }
    let changes = Changes::take(node, trigger);
    announce_to(node, socket, addresses, trigger, &changes).await;
}

/// Sends a message to peers, with the parts that only the coordinator needs
/// just to the coordinator.
async fn announce_to(
    node: &Node,
    socket: &UdpSocket,
    addresses: Vec<SocketAddr>,
    trigger: Trigger,
    changes: &Changes,
) {
    let now = node.now();
    let coordinator = node.peers.coordinator_address(now);
    let is_periodic = trigger == Trigger::Periodic;
    let by_detail = node.peers.by_detail(now, addresses, is_periodic);
    for (detail, addresses) in by_detail {
        let (coordinators, others): (Vec<_>, Vec<_>) = addresses
            .into_iter()
            .partition(|address| Some(*address) == coordinator);
        for (audience, addresses) in [
            (Audience::Entry, others),
            (Audience::Coordinator, coordinators),
        ] {
            let contents = Contents {
                audience,
                detail,
                changes,
            };
            let is_relayed = is_periodic && contents.may_be_passed_on();
            let (direct, relayed) = if is_relayed {
                relay::assign_relays(node, now, addresses)
            } else {
                (addresses, Vec::new())
            };
            send_messages(node, socket, &direct, &relayed, &contents, trigger).await;
        }
    }
}

/// Computes the digests that this entry's messages hold until the next round.
fn update_digests(node: &Node) {
    let now = node.now();
    let settle_ms = digest_settle_ms(node.peers.address_count());
    let suspects = node.suspects.lock().digest(now, settle_ms);
    let parts = node.suspect_parts.lock().digest(now, settle_ms);
    node.peers.table.lock().own_digests = vec![suspects, parts];
}

/// Builds one message and sends it to all addresses.
pub(super) async fn send_message(
    node: &Node,
    socket: &UdpSocket,
    addresses: impl Iterator<Item = SocketAddr>,
    contents: &Contents<'_>,
    trigger: Trigger,
) {
    let addresses: Vec<SocketAddr> = addresses.collect();
    send_messages(node, socket, &addresses, &[], contents, trigger).await;
}

/// Builds one message and sends it to all addresses and to relays.
async fn send_messages(
    node: &Node,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    relayed: &[RelayedMessage],
    contents: &Contents<'_>,
    trigger: Trigger,
) {
    if addresses.is_empty() && relayed.is_empty() {
        return;
    }
    let message = build_message(node, contents, trigger);
    let part_sizes = part_sizes(&message);
    let sequence = message.sequence;
    let message = message.encode_to_vec();
    relay::send(node, socket, sequence, &message, relayed).await;
    for address in addresses {
        // A datagram to a peer that is gone is lost; the next message is sent
        // anyway.
        let _ = socket.send_to(&message, *address).await;
    }
    let reason = trigger.as_str();
    let relays = relayed.iter().map(|to| to.address);
    let sent = node.peers.scopes(addresses.iter().copied().chain(relays));
    node.metrics.count_sent(reason, &sent, message.len());
    for (part, bytes) in part_sizes {
        node.metrics.count_peer_part(part, sent.total(), bytes);
    }
}

impl Peers {
    /// Returns the number of addresses at which entries may run.
    pub(crate) fn address_count(&self) -> usize {
        self.table.lock().addresses.len()
    }

    /// Returns the addresses to send this message to.
    fn addresses_due(&self, now: Instant) -> Vec<SocketAddr> {
        let mut table = self.table.lock();
        let include_unreachable = table.message_rounds.start();
        let live: BTreeSet<SocketAddr> = table
            .peers
            .values()
            .filter(|peer| now.ms_since(peer.last_message_at) < UNREACHABLE_AFTER_MS)
            .map(|peer| peer.address)
            .collect();
        let addresses = table.addresses.iter().copied();
        addresses
            .filter(|address| *address != self.own_address)
            .filter(|address| include_unreachable || live.contains(address))
            .collect()
    }
}
