//! Sends messages to other entries.

use base::ObjectVersion;
use base::prelude::*;
use direct::{
    Fleet, MessageDetail, PEER_FORMAT, ResidentModel, Upstream, WatchRole,
    confirmation_timeout_ms, digest_settle_ms, holdings_message_count, is_repeat_round,
    peer_message_interval_ms, repeat_number, rotation_number, suspects_per_message,
    upstreams_per_message, urgent_message_interval_ms,
};
use prost::Message;
use schema::link::Suspect;
use schema::peer::{
    AdapterWant, ComingModel, HeldModel, Holding, LeavingUpstream, ModelDemand,
    PeerNews, RelayStep, SuspectPart, UpstreamUse,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::message_parts::part_sizes;
use super::relay::{self, RelayedMessage};
use crate::platform_watch::Collection;
use crate::quota::can_keep_tokens;
use crate::shared_watch::{outgoing_batches, outgoing_claim, role};
use crate::state::Node;
use crate::state::peers::{Peers, UNREACHABLE_AFTER_MS};
use crate::upstream_rate;

/// Time for which other entries are asked for uses in full after packed ones named an
/// upstream that is not known here. It spans a message in large fleets.
const UNKNOWN_USE_MS: u64 = 2_000;

/// Minimum number of changed suspects, and of parts, that a message may hold. Each takes
/// some 40 B.
const MIN_CHANGES: usize = 16;

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
        if role(&node, collection) == WatchRole::Leader {
            let addresses = node
                .peers
                .addresses_in_domain(node.now(), &node.options.failure_domain);
            let trigger = Trigger::PlatformWatch(collection);
            announce_to(&node, &socket, addresses, trigger, &Changes::default()).await;
        }
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

/// What a message holds.
#[derive(Debug)]
pub(super) struct Contents<'a> {
    audience: Audience,
    detail: MessageDetail,
    changes: &'a Changes,
}

impl Contents<'_> {
    /// Whether a message with these contents is of use to all entries of a failure
    /// domain.
    ///
    /// One with changes is not passed on: a later direct message may overtake it, and it
    /// would then be dropped with them.
    fn may_be_passed_on(&self) -> bool {
        matches!(self.audience, Audience::Entry)
            && matches!(self.detail, MessageDetail::Changes)
            && self.changes.is_empty()
    }
}

impl Contents<'static> {
    /// Contents of a message that not all entries get. What changed is sent with a
    /// message to all.
    pub(super) const fn part_of_round(
        audience: Audience,
        detail: MessageDetail,
    ) -> Self {
        const NONE: &Changes = &Changes::none();
        Self {
            audience,
            detail,
            changes: NONE,
        }
    }
}

/// What changed lately, for the peers that know the rest.
#[derive(Debug, Default)]
struct Changes {
    suspects: Vec<Suspect>,
    suspect_parts: Vec<SuspectPart>,
    leaving: Vec<LeavingUpstream>,
}

impl Changes {
    const fn none() -> Self {
        Self {
            suspects: Vec::new(),
            suspect_parts: Vec::new(),
            leaving: Vec::new(),
        }
    }

    const fn is_empty(&self) -> bool {
        self.suspects.is_empty()
            && self.suspect_parts.is_empty()
            && self.leaving.is_empty()
    }

    /// Takes what a message to all entries is to hold, and counts that it is sent.
    fn take(node: &Node, trigger: Trigger) -> Self {
        let now = node.now();
        let peers = node.peers.address_count();
        // Only the observer of a change sends it, so its number isn't divided by the peers.
        let suspects_max = suspects_per_message(peers).max(MIN_CHANGES);
        let leaving_max = upstreams_per_message(peers);
        let round = node.peers.table.lock().periodic_rounds;
        let offset = xxh3_64(node.options.entry.as_bytes());
        let is_repeat =
            trigger == Trigger::Periodic && is_repeat_round(round, offset, peers);
        let mut parts = node.suspect_parts.lock();
        let mut suspect_parts = parts.export_changes(now, suspects_max);
        if is_repeat {
            let turn = repeat_number(round, peers);
            suspect_parts.extend(parts.export_observed(now, turn, suspects_max));
        }
        drop(parts);
        let fleet = node.fleet.lock();
        let leaving = if is_repeat {
            leaving(&fleet, now, repeat_number(round, peers), leaving_max)
        } else {
            let all: Vec<_> = fleet.leaving_upstreams(now).collect();
            let keys: Vec<u64> = all.iter().map(leaving_key).collect();
            let mut table = node.peers.table.lock();
            let due = table.leaving_changes.take(&keys, leaving_max);
            due.into_iter()
                .map(|position| leaving_message(all[position]))
                .collect()
        };
        drop(fleet);
        Self {
            suspects: node.suspects.lock().export_changes(now, suspects_max),
            suspect_parts,
            leaving,
        }
    }
}

/// Identifies what is known about a leaving upstream.
fn leaving_key((upstream, version, vanished): &(&Upstream, u64, bool)) -> u64 {
    let started_unix_ms = upstream.record.started_unix_ms.unwrap_or(0);
    let seed =
        started_unix_ms.rotate_left(20) ^ version.rotate_left(1) ^ u64::from(*vanished);
    xxh3_64_with_seed(upstream.record.id.as_bytes(), seed)
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

fn build_message(node: &Node, contents: &Contents<'_>, trigger: Trigger) -> PeerNews {
    let now = node.now();
    let (sequence, round, periodic_round, digests, unknown_use_at) = {
        let mut table = node.peers.table.lock();
        table.sequence += 1;
        (
            table.sequence,
            table.message_rounds.number(),
            table.periodic_rounds,
            table.own_digests.clone(),
            table.unknown_use_at,
        )
    };
    let (coordinator_token, lease_renewal) = {
        let lease = node.lease.lock();
        let renewal = lease.held_renewal(now).unwrap_or(0);
        (lease.token(now).unwrap_or(0), renewal)
    };
    let fleet = node.fleet.lock();
    let mut uses = uses(&fleet, now);
    let packed_uses = (contents.detail == MessageDetail::Changes).then(|| {
        let (packed, others) = node
            .peers
            .incarnations
            .lock()
            .pack(now, std::mem::take(&mut uses));
        uses = others;
        packed
    });
    let packed_uses = packed_uses.filter(|packed| !packed.upstreams.is_empty());
    let peers = node.peers.address_count();
    // Entries that start together count their messages alike.
    let own_hash = xxh3_64(node.options.entry.as_bytes());
    let turn = sequence.wrapping_add(own_hash);
    let limit = upstreams_per_message(peers);
    let has_records = contents.detail != MessageDetail::Changes;
    let leaving = if has_records {
        leaving(&fleet, now, turn, limit)
    } else {
        contents.changes.leaving.clone()
    };
    let rates = upstream_rate::to_announce(&fleet, now, turn, limit);
    drop(fleet);
    let watched = |collection| {
        let is_due = trigger == Trigger::PlatformWatch(collection);
        is_due.then(|| outgoing_batches(node, collection)).flatten()
    };
    let (suspects, suspect_parts) = if has_records {
        let round = match contents.detail {
            MessageDetail::OlderFormat => round,
            _ => rotation_number(periodic_round, own_hash, peers),
        };
        let (mut suspects, mut suspect_parts) = records(node, now, round);
        // Records are chosen in turn, and what changed now may not be among them.
        suspects.extend(contents.changes.suspects.iter().cloned());
        suspect_parts.extend(contents.changes.suspect_parts.iter().cloned());
        (suspects, suspect_parts)
    } else {
        let changes = contents.changes;
        (changes.suspects.clone(), changes.suspect_parts.clone())
    };
    let (demands, wants) = match contents.audience {
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
        suspects,
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
        suspect_parts,
        format: PEER_FORMAT,
        digests,
        packed_uses,
        relay: RelayStep::None.into(),
        relayed_from: String::new(),
        relay_confirmation: None,
        needs_full_uses: unknown_use_at
            .is_some_and(|at| now.ms_since(at) < UNKNOWN_USE_MS),
        service_shares,
        shares_number,
    }
}

/// Returns recent suspects and parts of prompts, and some of the others in turn.
fn records(node: &Node, now: Instant, round: u64) -> (Vec<Suspect>, Vec<SuspectPart>) {
    let max = suspects_per_message(node.peers.address_count());
    let suspects = node.suspects.lock().export_batch(now, round, max);
    let suspect_parts = node.suspect_parts.lock().export_batch(now, round, max);
    (suspects, suspect_parts)
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
    leaving.map(leaving_message).collect()
}

fn leaving_message(
    (upstream, version, vanished): (&Upstream, u64, bool),
) -> LeavingUpstream {
    LeavingUpstream {
        upstream: upstream.record.id.to_string(),
        version: ObjectVersion(version).revision(),
        generation: ObjectVersion(version).generation(),
        vanished,
        born_ms: upstream.record.started_unix_ms.unwrap_or(0),
    }
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
            pace_percent: upstream
                .own_pace_factor(now)
                .map(|factor| (factor * 100.0) as u32),
        }
    });
    uses.collect()
}

/// Returns the demand for models that this entry measured.
fn demands(node: &Node, now: Instant) -> Vec<ModelDemand> {
    let demand = node.demand.lock();
    let demands = demand.iter().flat_map(|(service, demand)| {
        demand.estimates(now).zip(demand.pressures()).map(
            move |((model, estimate), (_, pressure))| ModelDemand {
                service: service.to_string(),
                model: model.to_string(),
                newest_us_per_s: (estimate.recent_ms_per_s * 1_000.0) as u64,
                lasting_us_per_s: (estimate.sustained_ms_per_s * 1_000.0) as u64,
                waiting: estimate.waiting,
                oldest_wait_ms: estimate.oldest_wait_ms,
                refused_us_per_s: (pressure.refused_ms_per_s * 1_000.0) as u64,
                shortest_target_ms: pressure.shortest_target_ms,
                longest_run_ms: pressure.longest_run_ms,
            },
        )
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
