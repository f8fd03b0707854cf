//! Passes periodic messages of other failure domains on to the entries of this one.

use base::Instant;
use direct::{RELAY_FORMAT, Relays};
use prost::Message;
use schema::peer::{PeerNews, RelayConfirmation, RelayStep};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;

use crate::state::Node;
use crate::state::peers::Peers;

/// A message to an entry that passes it on.
#[derive(Debug)]
pub(super) struct RelayedMessage {
    /// Name of the relay.
    pub(super) relay: String,
    /// Its address.
    pub(super) address: SocketAddr,
    /// The others of its failure domain, to which it passes the message on.
    others: Vec<SocketAddr>,
}

/// Divides the receivers of a periodic message into those that get it directly and those
/// that a relay of their failure domain passes it on to.
pub(super) fn assign_relays(
    node: &Node,
    now: Instant,
    receivers: Vec<SocketAddr>,
) -> (Vec<SocketAddr>, Vec<RelayedMessage>) {
    let (round, candidates) = node.peers.relay_candidates(now);
    let mut domains: BTreeMap<&str, Vec<(SocketAddr, &str)>> = BTreeMap::new();
    let mut direct = Vec::new();
    for receiver in receivers {
        match candidates.get(&receiver) {
            Some((name, domain)) if *domain != node.options.failure_domain => {
                domains.entry(domain).or_default().push((receiver, name));
            }
            _ => direct.push(receiver),
        }
    }
    let relays = node.peers.relays.lock();
    let mut relayed = Vec::new();
    for members in domains.into_values() {
        let names = members.iter().map(|(_, name)| *name);
        let own_name = &node.options.entry;
        let relay = relays.select(now, own_name, round, names, members.len());
        let relay = members.iter().find(|(_, name)| Some(*name) == relay);
        let Some((address, relay)) = relay else {
            direct.extend(members.iter().map(|(member, _)| *member));
            continue;
        };
        let others = members.iter().map(|(member, _)| *member);
        relayed.push(RelayedMessage {
            relay: (*relay).to_owned(),
            address: *address,
            others: others.filter(|member| member != address).collect(),
        });
    }
    (direct, relayed)
}

/// A message to be sent directly unless its relay confirms it.
#[derive(Debug)]
pub(crate) struct Fallback {
    message: Arc<[u8]>,
    receivers: Vec<SocketAddr>,
}

/// Sends a message to relays.
pub(super) async fn send(
    node: &Node,
    socket: &UdpSocket,
    sequence: u64,
    message: &[u8],
    relayed: &[RelayedMessage],
) {
    if relayed.is_empty() {
        return;
    }
    let direct: Arc<[u8]> = message.into();
    let request = PeerNews {
        relay: RelayStep::Requested.into(),
        ..PeerNews::default()
    };
    let request = append(message, &request);
    for to in relayed {
        let fallback = Fallback {
            message: Arc::clone(&direct),
            receivers: to.others.clone(),
        };
        let others = to.others.len();
        node.peers
            .relays
            .lock()
            .sent(sequence, &to.relay, others, fallback);
        // Without a confirmation, the message is sent directly.
        let _ = socket.send_to(&request, to.address).await;
    }
}

/// Sends the messages directly that relays have not confirmed.
pub(super) async fn send_unconfirmed(node: &Node, socket: &UdpSocket) {
    let unconfirmed = node.peers.relays.lock().take_unconfirmed(node.now());
    for fallback in unconfirmed {
        for receiver in &fallback.receivers {
            // The next message makes up for a lost one.
            let _ = socket.send_to(&fallback.message, *receiver).await;
        }
        let sent = node.peers.scopes(fallback.receivers);
        node.metrics
            .count_sent("relay_fallback", &sent, fallback.message.len());
    }
}

/// Handles a confirmation. Returns false for any other message.
pub(super) fn receive_confirmation(node: &Node, message: &PeerNews) -> bool {
    let Some(confirmation) = &message.relay_confirmation else {
        return false;
    };
    let mut relays = node.peers.relays.lock();
    let entries = confirmation.entries as usize;
    relays.confirmed(confirmation.sequence, &message.entry, entries);
    true
}

/// Returns the address of a message's sender, given the address that it came from. `None`
/// if the entry that passed it on named no address.
pub(super) fn sender_address(
    message: &PeerNews,
    from: SocketAddr,
) -> Option<SocketAddr> {
    if message.relay() == RelayStep::Done {
        message.relayed_from.parse().ok()
    } else {
        Some(from)
    }
}

/// Passes a message on, as its sender asks, and confirms to how many it was sent.
///
/// It doesn't wait for a full link, which would delay the messages that this entry
/// receives. The sender then sends the message itself.
pub(super) fn pass_on(
    node: &Node,
    socket: &UdpSocket,
    from: SocketAddr,
    (sequence, bytes): (u64, &[u8]),
) {
    let mut receivers = node.peers.relay_receivers(node.now());
    let done = PeerNews {
        relay: RelayStep::Done.into(),
        relayed_from: from.to_string(),
        ..PeerNews::default()
    };
    let message = append(bytes, &done);
    receivers.retain(|receiver| socket.try_send_to(&message, *receiver).is_ok());
    let confirmation = PeerNews {
        entry: node.options.entry.clone(),
        relay_confirmation: Some(RelayConfirmation {
            sequence,
            entries: u32::try_from(receivers.len()).unwrap_or(u32::MAX),
        }),
        ..PeerNews::default()
    };
    let confirmation = confirmation.encode_to_vec();
    // Without a confirmation, the sender sends the message itself.
    let _ = socket.try_send_to(&confirmation, from);
    let metrics = &node.metrics;
    let sent = node.peers.scopes(receivers);
    metrics.count_sent("relay", &sent, message.len());
    let sent = node.peers.scopes([from]);
    metrics.count_sent("relay_confirmation", &sent, confirmation.len());
}

/// Appends fields to an encoded message. A decoder takes the last value of a field.
fn append(message: &[u8], fields: &PeerNews) -> Vec<u8> {
    let mut bytes = message.to_vec();
    bytes.extend(fields.encode_to_vec());
    bytes
}

/// Relays of this entry's messages.
pub(crate) type PeerRelays = Relays<Fallback>;

impl Peers {
    /// Returns the number of the round, and the names and failure domains of the entries
    /// that pass messages on, by address.
    fn relay_candidates(
        &self,
        now: Instant,
    ) -> (u64, BTreeMap<SocketAddr, (String, String)>) {
        let table = self.table.lock();
        let live = table
            .live_peers(now)
            .filter(|(_, peer)| peer.format >= RELAY_FORMAT && !peer.shutting_down);
        let candidates = live
            .map(|(name, peer)| (peer.address, (name.clone(), peer.domain.clone())));
        (table.periodic_rounds, candidates.collect())
    }

    /// Returns the addresses of the other entries of this failure domain to which
    /// messages are passed on. The coordinator gets each message directly, as it needs
    /// more than the others.
    fn relay_receivers(&self, now: Instant) -> Vec<SocketAddr> {
        let coordinator = self.coordinator_address(now);
        let table = self.table.lock();
        let live = table.live_peers(now).map(|(_, peer)| peer);
        let receivers = live.filter(|peer| {
            peer.format >= RELAY_FORMAT
                && peer.domain == self.own_domain
                && Some(peer.address) != coordinator
        });
        receivers.map(|peer| peer.address).collect()
    }
}
