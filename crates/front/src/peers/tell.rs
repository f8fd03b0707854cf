//! Telling other entries what holds here.

use base::prelude::*;
use direct::{
    Fleet, ResidentModel, WatchRole, holdings_message_count, peer_message_interval_ms,
    suspects_per_message, urgent_message_interval_ms,
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

use crate::follow::Followed;
use crate::quota::keeps;
use crate::shared_watch::{role, to_send};
use crate::state::Node;
use crate::state::peers::{AWAY_MS, Peers};
use crate::upstream_rate;

/// Rounds of messages out of which one goes to a peer that is away.
const AWAY_ONE_OF: u64 = 10;

/// Tells other entries what holds here, for ever.
pub(crate) async fn tell(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        let every_ms = peer_message_interval_ms(node.peers.count());
        tokio::time::sleep(Duration::from_millis(every_ms)).await;
        node.peers.table.lock().turns += 1;
        tell_once(&node, &socket, Occasion::Turn).await;
    }
}

/// Tells other entries at once when upstreams hold something else, one has fallen
/// silent or a renewal is to be written; the giver of orders alone when an adapter is
/// wanted, and the own failure domain alone what the platform says: with many entries,
/// each word to all of them is a cost to all of them.
///
/// Each of the four keeps one notification, so that what is new during the pause
/// is told behind it and not with the next usual message.
pub(crate) async fn tell_when_new(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = node.wants.untold.notified() => {
                let giver = node.peers.giver(node.now());
                let to = giver.into_iter();
                tell_to(&node, &socket, to, To::Giver, Occasion::News).await;
            }
            () = node.giver.changed.notified() => {
                tell_once(&node, &socket, Occasion::News).await;
            }
            () = node.peers.wake.notified() => {
                tell_once(&node, &socket, Occasion::News).await;
            }
            () = node.shared.seen.notified() => tell_watched(&node, &socket).await,
        }
        let every_ms = urgent_message_interval_ms(node.peers.count());
        tokio::time::sleep(Duration::from_millis(every_ms)).await;
    }
}

/// Passes on what this entry's watches saw to its failure domain, if it is the one
/// that does.
async fn tell_watched(node: &Node, socket: &UdpSocket) {
    if role(node, Followed::Setup) == WatchRole::Leader
        || role(node, Followed::Upstreams) == WatchRole::Leader
    {
        let to = node
            .peers
            .neighbours(node.now(), &node.options.failure_domain);
        tell_each(node, socket, to, Occasion::Watched).await;
    }
}

async fn tell_once(node: &Node, socket: &UdpSocket, occasion: Occasion) {
    let to = node.peers.now_told(node.now());
    tell_each(node, socket, to, occasion).await;
}

/// Tells peers, and the giver of orders among them what only it needs.
async fn tell_each(
    node: &Node,
    socket: &UdpSocket,
    to: Vec<SocketAddr>,
    occasion: Occasion,
) {
    let giver = node.peers.giver(node.now());
    let (givers, others): (Vec<_>, Vec<_>) =
        to.into_iter().partition(|address| Some(*address) == giver);
    tell_to(node, socket, others.into_iter(), To::Entry, occasion).await;
    tell_to(node, socket, givers.into_iter(), To::Giver, occasion).await;
}

/// Whom a message is for. What only the giver of orders needs is most of a
/// message where there are many models, and would go to every entry in vain.
#[derive(Debug, Clone, Copy)]
enum To {
    Entry,
    Giver,
}

/// Why a message is sent. What upstreams hold is told again in turn only with the
/// usual messages: it is most of a message, and news go out many times a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Occasion {
    /// The usual message, with a part of what upstreams hold.
    Turn,
    /// Something is new, also of what upstreams hold.
    News,
    /// The platform said something, for those that this entry watches for.
    Watched,
}

async fn tell_to(
    node: &Node,
    socket: &UdpSocket,
    addresses: impl Iterator<Item = SocketAddr>,
    to: To,
    occasion: Occasion,
) {
    let mut addresses = addresses.peekable();
    if addresses.peek().is_none() {
        return;
    }
    let message = message(node, to, occasion).encode_to_vec();
    for address in addresses {
        // A peer that is gone costs a datagram; the next message goes all the
        // same.
        let _ = socket.send_to(&message, address).await;
    }
}

impl Peers {
    /// Number of addresses at which entries may be.
    fn count(&self) -> usize {
        self.table.lock().addresses.len()
    }

    /// Addresses for this message.
    fn now_told(&self, now: Instant) -> Vec<SocketAddr> {
        let mut table = self.table.lock();
        table.rounds += 1;
        let all = table.rounds.is_multiple_of(AWAY_ONE_OF);
        let heard: BTreeSet<SocketAddr> = table
            .peers
            .values()
            .filter(|peer| now.ms_since(peer.heard_at) < AWAY_MS)
            .map(|peer| peer.address)
            .collect();
        let addresses = table.addresses.iter().copied();
        addresses
            .filter(|address| *address != self.own)
            .filter(|address| all || heard.contains(address))
            .collect()
    }
}

fn message(node: &Node, to: To, occasion: Occasion) -> PeerNews {
    let now = node.now();
    let (sequence, round, turn) = {
        let mut table = node.peers.table.lock();
        table.sequence += 1;
        (table.sequence, table.rounds, table.turns)
    };
    let (giver_token, lease_renewal) = {
        let lease = node.lease.lock();
        let renewal = lease.held_renewal(now).unwrap_or(0);
        (lease.token(now).unwrap_or(0), renewal)
    };
    let fleet = node.fleet.lock();
    let uses = uses(&fleet, now);
    let leaving = leaving(&fleet, now);
    let rates = upstream_rate::told(&fleet, now);
    drop(fleet);
    let peers = node.peers.count();
    let watched = |followed| {
        let is_due = occasion == Occasion::Watched;
        is_due.then(|| to_send(node, followed)).flatten()
    };
    let (demands, wants) = match to {
        To::Giver => (demands(node, now), wants(node, now)),
        To::Entry => (Vec::new(), Vec::new()),
    };
    PeerNews {
        entry: node.options.entry.clone(),
        start: node.start,
        sequence,
        setup_version: node.setup().map_or(0, |setup| setup.version),
        uses,
        demands,
        wants,
        leaving,
        giver_token,
        holdings: holdings(node, occasion, turn, giver_token),
        suspects: node.suspects.lock().export_batch(
            now,
            round,
            suspects_per_message(peers),
        ),
        lease_ask: node.relay.asking(now),
        lease_told: node.relay.telling(now),
        domain: node.options.failure_domain.clone(),
        watches: node.shared.works() && !node.stop.is_stopping(),
        setup: watched(Followed::Setup),
        upstreams: watched(Followed::Upstreams),
        tokens: None,
        keeps_tokens: keeps(node),
        lease_renewal,
        stopping: node.stop.is_stopping(),
        rates,
        upstream_tokens: None,
    }
}

fn leaving(fleet: &Fleet, now: Instant) -> Vec<LeavingUpstream> {
    let leaving = fleet.leaving_upstreams(now);
    let leaving = leaving.map(|(upstream, version, vanished)| LeavingUpstream {
        upstream: upstream.record.id.to_string(),
        version,
        vanished,
        born_ms: upstream.record.started_unix_ms.unwrap_or(0),
    });
    leaving.collect()
}

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

fn demands(node: &Node, now: Instant) -> Vec<ModelDemand> {
    let demand = node.demand.lock();
    let all = demand.iter().flat_map(|(service, demand)| {
        demand.estimates(now).map(move |(model, load)| ModelDemand {
            service: service.to_string(),
            model: model.to_string(),
            newest_us_per_s: (load.recent_ms_per_s * 1_000.0) as u64,
            lasting_us_per_s: (load.sustained_ms_per_s * 1_000.0) as u64,
            waiting: load.waiting,
            oldest_wait_ms: load.oldest_wait_ms,
        })
    });
    all.collect()
}

fn wants(node: &Node, now: Instant) -> Vec<AdapterWant> {
    let wants = node.wants.standing(now).into_iter();
    let wants = wants.map(|want| AdapterWant {
        service: want.service.to_string(),
        model: want.model.to_string(),
        adapter: want.adapter.to_string(),
    });
    wants.collect()
}

/// What changed lately, and a part of the rest in turn.
fn holdings(
    node: &Node,
    occasion: Occasion,
    turn: u64,
    giver_token: u64,
) -> Vec<Holding> {
    if giver_token == 0 {
        return Vec::new();
    }
    let rounds = holdings_message_count(node.peers.count());
    let part = turn as usize % rounds;
    let told = node.giver.told(node.now(), |index| {
        occasion == Occasion::Turn && index % rounds == part
    });
    let now = node.now();
    let told = told.into_iter().map(|told| Holding {
        upstream: told.upstream.to_string(),
        born_ms: told.born_ms.unwrap_or(0),
        models: told.residents.iter().map(held_model).collect(),
        coming: told
            .coming
            .iter()
            .map(|coming| coming_model(now, coming))
            .collect(),
    });
    told.collect()
}

fn coming_model(now: Instant, coming: &(Arc<str>, Instant)) -> ComingModel {
    ComingModel {
        model: coming.0.to_string(),
        ready_in_ms: coming.1.ms_since(now),
    }
}

fn held_model(resident: &ResidentModel) -> HeldModel {
    HeldModel {
        model: resident.model.to_string(),
        version: resident.version,
        adapters: resident.adapters.iter().map(ToString::to_string).collect(),
    }
}
