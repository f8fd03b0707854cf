//! Sends messages to other entries.

use base::ObjectVersion;
use base::prelude::*;
use direct::{
    Fleet, ResidentModel, WatchRole, holdings_message_count, peer_message_interval_ms,
    suspects_per_message, upstreams_per_message, urgent_message_interval_ms,
};
use prost::Message;
use schema::peer::{
    AdapterWant, ComingModel, HeldModel, Holding, LeavingUpstream, ModelDemand,
    PeerNews, UpstreamUse,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use super::message_parts::part_sizes;
use crate::platform_watch::Collection;
use crate::quota::can_keep_tokens;
use crate::shared_watch::{outgoing_batches, outgoing_claim, role};
use crate::state::Node;
use crate::state::peers::{Peers, UNREACHABLE_AFTER_MS};
use crate::upstream_rate;

/// Sends this entry's state to other entries periodically, forever.
pub(crate) async fn announce_periodically(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        let interval_ms = peer_message_interval_ms(node.peers.address_count());
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        node.peers.table.lock().periodic_rounds += 1;
        announce_to_all(&node, &socket, Trigger::Periodic).await;
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
                send_message(
                    &node,
                    &socket,
                    addresses,
                    Audience::Coordinator,
                    Trigger::Change,
                )
                .await;
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
        if role(&node, collection) == WatchRole::Leader {
            let addresses = node
                .peers
                .addresses_in_domain(node.now(), &node.options.failure_domain);
            let trigger = Trigger::PlatformWatch(collection);
            announce_to(&node, &socket, addresses, trigger).await;
        }
    }
}

/// Sends a message to all entries that are due for one.
async fn announce_to_all(node: &Node, socket: &UdpSocket, trigger: Trigger) {
    let addresses = node.peers.addresses_due(node.now());
    announce_to(node, socket, addresses, trigger).await;
}

/// Sends a message to peers, with the parts that only the coordinator needs
/// just to the coordinator.
async fn announce_to(
    node: &Node,
    socket: &UdpSocket,
    addresses: Vec<SocketAddr>,
    trigger: Trigger,
) {
    let coordinator = node.peers.coordinator_address(node.now());
    let (coordinators, others): (Vec<_>, Vec<_>) = addresses
        .into_iter()
        .partition(|address| Some(*address) == coordinator);
    send_message(node, socket, others.into_iter(), Audience::Entry, trigger).await;
    send_message(
        node,
        socket,
        coordinators.into_iter(),
        Audience::Coordinator,
        trigger,
    )
    .await;
}

/// The recipients of a message. What only the coordinator needs makes up most
/// of a message if there are many models, and would be useless to every other
/// entry.
#[derive(Debug, Clone, Copy)]
pub(super) enum Audience {
    Entry,
    Coordinator,
}

/// Why a message is sent. All holdings of upstreams are repeated, part by part,
/// only in periodic messages: they make up most of a message, and changes are
/// sent many times per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trigger {
    /// A periodic message, with a part of the upstreams' holdings.
    Periodic,
    /// Something changed, possibly the upstreams' holdings.
    Change,
    /// The platform reported changes of a collection, for the followers of this
    /// entry's watches.
    PlatformWatch(Collection),
}

impl Trigger {
    /// Value of the trigger in metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Periodic => "periodic",
            Self::Change => "change",
            Self::PlatformWatch(_) => "platform_watch",
        }
    }
}

/// Builds one message and sends it to all addresses.
pub(super) async fn send_message(
    node: &Node,
    socket: &UdpSocket,
    addresses: impl Iterator<Item = SocketAddr>,
    audience: Audience,
    trigger: Trigger,
) {
    let mut addresses = addresses.peekable();
    if addresses.peek().is_none() {
        return;
    }
    let message = build_message(node, audience, trigger);
    let part_sizes = part_sizes(&message);
    let message = message.encode_to_vec();
    let mut sent = 0;
    for address in addresses {
        // A datagram to a peer that is gone is lost; the next message is sent
        // anyway.
        let _ = socket.send_to(&message, address).await;
        sent += 1;
    }
    let reason = trigger.as_str();
    node.metrics
        .count_peer_messages("sent", reason, sent, message.len());
    for (part, bytes) in part_sizes {
        node.metrics.count_peer_part(part, sent, bytes);
    }
}

impl Peers {
    /// Returns the number of addresses at which entries may run.
    pub(super) fn address_count(&self) -> usize {
        self.table.lock().addresses.len()
    }

    /// Returns the addresses to send this message to.
    fn addresses_due(&self, now: Instant) -> Vec<SocketAddr> {
        let mut table = self.table.lock();
        let include_unreachable = table.message_rounds.start();
        let live: BTreeSet<SocketAddr> = table
            .peers
            .values()
            .filter(|peer| now.ms_since(peer.heard_at) < UNREACHABLE_AFTER_MS)
            .map(|peer| peer.address)
            .collect();
        let addresses = table.addresses.iter().copied();
        addresses
            .filter(|address| *address != self.own_address)
            .filter(|address| include_unreachable || live.contains(address))
            .collect()
    }
}

fn build_message(node: &Node, audience: Audience, trigger: Trigger) -> PeerNews {
    let now = node.now();
    let (sequence, round, periodic_round) = {
        let mut table = node.peers.table.lock();
        table.sequence += 1;
        (
            table.sequence,
            table.message_rounds.number(),
            table.periodic_rounds,
        )
    };
    let (coordinator_token, lease_renewal) = {
        let lease = node.lease.lock();
        let renewal = lease.held_renewal(now).unwrap_or(0);
        (lease.token(now).unwrap_or(0), renewal)
    };
    let fleet = node.fleet.lock();
    let uses = uses(&fleet, now);
    let peers = node.peers.address_count();
    // Entries that start together count their messages alike.
    let turn = sequence.wrapping_add(xxh3_64(node.options.entry.as_bytes()));
    let limit = upstreams_per_message(peers);
    let leaving = leaving(&fleet, now, turn, limit);
    let rates = upstream_rate::to_announce(&fleet, now, turn, limit);
    drop(fleet);
    let watched = |collection| {
        let is_due = trigger == Trigger::PlatformWatch(collection);
        is_due.then(|| outgoing_batches(node, collection)).flatten()
    };
    let (demands, wants) = match audience {
        Audience::Coordinator => (demands(node, now), wants(node, now)),
        Audience::Entry => (Vec::new(), Vec::new()),
    };
    let (service_shares, shares_number) = match trigger {
        Trigger::Periodic => node.fair_shares.report(now, periodic_round),
        Trigger::Change | Trigger::PlatformWatch(_) => (Vec::new(), 0),
    };
    PeerNews {
        entry: node.options.entry.clone(),
        start: node.started_unix_ms,
        sequence,
        setup_version: node.config().map_or(0, |config| config.version),
        uses,
        demands,
        wants,
        leaving,
        giver_token: coordinator_token,
        holdings: holdings(node, trigger, periodic_round, coordinator_token),
        suspects: node.suspects.lock().export_batch(
            now,
            round,
            suspects_per_message(peers),
        ),
        lease_ask: node.lease_relay.renewal_request(now),
        lease_told: node.lease_relay.renewal_confirmation(now),
        domain: node.options.failure_domain.clone(),
        watches: node.shared_watches.are_working() && !node.shutdown.is_stopping(),
        setup: watched(Collection::Config),
        upstreams: watched(Collection::Upstreams),
        tokens: None,
        keeps_tokens: can_keep_tokens(node),
        lease_renewal,
        stopping: node.shutdown.is_stopping(),
        rates,
        upstream_tokens: None,
        setup_claim: outgoing_claim(node, Collection::Config),
        upstreams_claim: outgoing_claim(node, Collection::Upstreams),
        state_ask: None,
        state_part: None,
        stream_origins: Vec::new(),
        origin_asks: Vec::new(),
        origins_unknown: Vec::new(),
        suspect_parts: node.suspect_parts.lock().export_batch(
            now,
            round,
            suspects_per_message(peers),
        ),
        service_shares,
        shares_number,
    }
}

/// Returns some of the upstreams that are leaving or whose records have vanished, in
/// turn by the number of the message.
fn leaving(
    fleet: &Fleet,
    now: Instant,
    message: u64,
    limit: usize,
) -> Vec<LeavingUpstream> {
    let leaving = fleet.leaving_to_announce(now, message, limit).into_iter();
    let leaving = leaving.map(|(upstream, version, vanished)| LeavingUpstream {
        upstream: upstream.record.id.to_string(),
        version: ObjectVersion(version).revision(),
        generation: ObjectVersion(version).generation(),
        vanished,
        born_ms: upstream.record.started_unix_ms.unwrap_or(0),
    });
    leaving.collect()
}

/// Returns this entry's usage of upstreams, and what it hears from them.
fn uses(fleet: &Fleet, now: Instant) -> Vec<UpstreamUse> {
    let used = fleet
        .all()
        .filter(|upstream| upstream.own_usage.running > 0);
    let uses = used.map(|upstream| {
        let activity = upstream.activity(now);
        UpstreamUse {
            upstream: upstream.record.id.to_string(),
            running: upstream.own_usage.running,
            reading_tokens: upstream.own_usage.prefill.by_priority().to_vec(),
            kept_tokens: upstream.own_usage.kv_tokens,
            born_ms: upstream.record.started_unix_ms.unwrap_or(0),
            begun: activity.answering,
            silent_ms: activity.silent_ms,
        }
    });
    uses.collect()
}

/// Returns the demand for models that this entry measured.
fn demands(node: &Node, now: Instant) -> Vec<ModelDemand> {
    let demand = node.demand.lock();
    let demands = demand.iter().flat_map(|(service, demand)| {
        demand
            .estimates(now)
            .map(move |(model, estimate)| ModelDemand {
                service: service.to_string(),
                model: model.to_string(),
                newest_us_per_s: (estimate.recent_ms_per_s * 1_000.0) as u64,
                lasting_us_per_s: (estimate.sustained_ms_per_s * 1_000.0) as u64,
                waiting: estimate.waiting,
                oldest_wait_ms: estimate.oldest_wait_ms,
            })
    });
    demands.collect()
}

/// Returns the adapters that requests at this entry wait for.
fn wants(node: &Node, now: Instant) -> Vec<AdapterWant> {
    let wants = node.wanted_adapters.current(now).into_iter();
    let wants = wants.map(|wanted| AdapterWant {
        service: wanted.service.to_string(),
        model: wanted.model.to_string(),
        adapter: wanted.adapter.to_string(),
    });
    wants.collect()
}

/// Returns the holdings that changed recently, and in periodic messages a part
/// of the others.
fn holdings(
    node: &Node,
    trigger: Trigger,
    periodic_round: u64,
    coordinator_token: u64,
) -> Vec<Holding> {
    if coordinator_token == 0 {
        return Vec::new();
    }
    let rounds = holdings_message_count(node.peers.address_count());
    let due_part = periodic_round as usize % rounds;
    let announced = node.coordinator.holdings_to_announce(node.now(), |index| {
        trigger == Trigger::Periodic && index % rounds == due_part
    });
    let now = node.now();
    let announced = announced.into_iter().map(|upstream| Holding {
        upstream: upstream.id.to_string(),
        born_ms: upstream.started_unix_ms.unwrap_or(0),
        models: upstream.residents.iter().map(held_model).collect(),
        coming: upstream
            .loading
            .iter()
            .map(|model| coming_model(now, model))
            .collect(),
    });
    announced.collect()
}

fn coming_model(now: Instant, model: &(Arc<str>, Instant)) -> ComingModel {
    ComingModel {
        model: model.0.to_string(),
        ready_in_ms: model.1.ms_since(now),
    }
}

fn held_model(resident: &ResidentModel) -> HeldModel {
    HeldModel {
        model: resident.model.to_string(),
        version: resident.version,
        adapters: resident.adapters.iter().map(ToString::to_string).collect(),
    }
}
