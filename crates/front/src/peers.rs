//! What entries tell one another, by datagrams that state what holds now.

use base::prelude::*;
use base::{Expect, PlatformOp, PlatformResult};
use direct::{Load, Resident, Usage};
use parking_lot::Mutex;
use prost::Message;
use schema::peer::{
    AdapterWant, ComingModel, HeldModel, Holding, ModelDemand, PeerNews, UpstreamUse,
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::Options;
use crate::node::Node;
use crate::relay::hear_ask;
use crate::wants::Want;

/// Time between two messages to each peer, for up to [`PEERS_AT_ONCE`] peers;
/// more peers are told less often, so that an entry's cost stays the same.
const TELL_EVERY: Duration = Duration::from_millis(100);
const PEERS_AT_ONCE: usize = 8;

/// Time between two messages that are sent at once.
const TELL_AT_ONCE_EVERY: Duration = Duration::from_millis(20);

/// Time between two looks at the platform's list of entries.
const LIST_EVERY: Duration = Duration::from_secs(8);

/// Pause before the list is read again after a failed call, and after this entry
/// was added to it: others that start at the same moment add theirs.
const LIST_AGAIN: Duration = Duration::from_millis(700);

/// Silence after which a peer's demand counts no more.
const DEMAND_MS: u64 = 1_500;

/// Silence after which a peer is told only now and then.
const AWAY_MS: u64 = 5_000;

/// Messages out of which one goes to a peer that is away.
const AWAY_ONE_OF: u64 = 10;

/// Messages within which every upstream's holdings are told once.
const HOLDINGS_ROUNDS: usize = 5;

/// Largest datagram taken.
const DATAGRAM_MAX_BYTES: usize = 60 << 10;

/// An entry's own entry in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct EntryRecord {
    peers: SocketAddr,
}

/// Other entries.
#[derive(Debug)]
pub(crate) struct Peers {
    me: String,
    own: SocketAddr,
    table: Mutex<Table>,
    /// Told when there is something to tell at once.
    pub(crate) wake: Notify,
}

#[derive(Debug, Default)]
struct Table {
    /// Addresses at which entries may be.
    addresses: BTreeSet<SocketAddr>,
    peers: HashMap<String, PeerState>,
    sequence: u64,
    /// Entries that the platform lists.
    registered: usize,
}

#[derive(Debug)]
struct PeerState {
    address: SocketAddr,
    start: u64,
    sequence: u64,
    heard_at: Instant,
    giver_token: u64,
    loads: Vec<(Arc<str>, Arc<str>, Load)>,
}

impl Peers {
    pub(crate) fn new(options: &Options) -> Self {
        let table = Table {
            addresses: options.peer_seeds.iter().copied().collect(),
            ..Table::default()
        };
        Self {
            me: options.entry.clone(),
            own: options.peers,
            table: Mutex::new(table),
            wake: Notify::new(),
        }
    }

    /// Whether an entry was heard within `ms`.
    pub(crate) fn is_heard(&self, now: Instant, entry: &str, ms: u64) -> bool {
        let table = self.table.lock();
        let peer = table.peers.get(entry);
        peer.is_some_and(|peer| now.ms_since(peer.heard_at) < ms)
    }

    /// Names of the entries that were heard lately, in order.
    pub(crate) fn heard(&self, now: Instant) -> Vec<String> {
        let table = self.table.lock();
        let heard = table
            .peers
            .iter()
            .filter(|(_, peer)| now.ms_since(peer.heard_at) < DEMAND_MS);
        let mut names: Vec<String> = heard.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Adds what other entries demand of a service's models.
    pub(crate) fn add_loads(
        &self,
        now: Instant,
        service: &str,
        loads: &mut BTreeMap<Arc<str>, Load>,
    ) {
        let table = self.table.lock();
        let heard = table
            .peers
            .values()
            .filter(|peer| now.ms_since(peer.heard_at) < DEMAND_MS);
        for (of, model, load) in heard.flat_map(|peer| &peer.loads) {
            if **of == *service {
                loads.entry(Arc::clone(model)).or_default().add(load);
            }
        }
    }
}

/// Tells other entries what holds here, for ever.
pub(crate) async fn tell(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        let peers = node.peers.table.lock().addresses.len();
        let times = u32::try_from(peers / PEERS_AT_ONCE).unwrap_or(u32::MAX);
        tokio::time::sleep(TELL_EVERY * (times + 1)).await;
        tell_once(&node, &socket).await;
    }
}

/// Tells other entries at once when upstreams hold something else or a renewal
/// is to be written, and the giver of orders alone when an adapter is wanted:
/// with many entries, each word to all of them is a cost to all of them.
pub(crate) async fn tell_when_new(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = node.wants.new.notified() => {
                let giver = node.peers.giver(node.now());
                tell_to(&node, &socket, giver.into_iter(), To::Giver).await;
            }
            () = node.giver.changed.notified() => tell_once(&node, &socket).await,
            () = node.peers.wake.notified() => tell_once(&node, &socket).await,
        }
        tokio::time::sleep(TELL_AT_ONCE_EVERY).await;
    }
}

async fn tell_once(node: &Node, socket: &UdpSocket) {
    let now = node.now();
    let giver = node.peers.giver(now);
    let addresses = node.peers.now_told(now).into_iter();
    let others = addresses.filter(|address| Some(*address) != giver);
    tell_to(node, socket, others, To::Entry).await;
    tell_to(node, socket, giver.into_iter(), To::Giver).await;
}

/// Whom a message is for. What only the giver of orders needs is most of a
/// message where there are many models, and would go to every entry in vain.
#[derive(Debug, Clone, Copy)]
enum To {
    Entry,
    Giver,
}

async fn tell_to(
    node: &Node,
    socket: &UdpSocket,
    addresses: impl Iterator<Item = SocketAddr>,
    to: To,
) {
    let mut addresses = addresses.peekable();
    if addresses.peek().is_none() {
        return;
    }
    let message = message(node, to).encode_to_vec();
    for address in addresses {
        // A peer that is gone costs a datagram; the next message goes all the
        // same.
        let _ = socket.send_to(&message, address).await;
    }
}

impl Peers {
    /// Addresses for this message.
    fn now_told(&self, now: Instant) -> Vec<SocketAddr> {
        let table = self.table.lock();
        let all = table.sequence.is_multiple_of(AWAY_ONE_OF);
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

fn message(node: &Node, to: To) -> PeerNews {
    let now = node.now();
    let sequence = {
        let mut table = node.peers.table.lock();
        table.sequence += 1;
        table.sequence
    };
    let giver_token = node.lease.lock().token(now).unwrap_or(0);
    let fleet = node.fleet.lock();
    let uses = fleet.all().filter(|upstream| upstream.own.running > 0);
    let uses = uses.map(|upstream| UpstreamUse {
        upstream: upstream.news.id.to_string(),
        running: upstream.own.running,
        waiting_tokens: upstream.own.waiting_tokens,
        kept_tokens: upstream.own.kept_tokens,
    });
    let uses = uses.collect();
    let leaving = fleet.all().filter(|upstream| upstream.news.leaving);
    let leaving = leaving
        .map(|upstream| upstream.news.id.to_string())
        .collect();
    drop(fleet);
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
        holdings: holdings(node, sequence, giver_token),
        suspects: node.suspects.lock().export(now),
        lease_ask: node.relay.asking(now),
        lease_told: node.relay.telling(now),
    }
}

fn demands(node: &Node, now: Instant) -> Vec<ModelDemand> {
    let demand = node.demand.lock();
    let all = demand.iter().flat_map(|(service, demand)| {
        demand.loads(now).map(move |(model, load)| ModelDemand {
            service: service.to_string(),
            model: model.to_string(),
            newest_us_per_s: (load.newest_ms_per_s * 1_000.0) as u64,
            lasting_us_per_s: (load.lasting_ms_per_s * 1_000.0) as u64,
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
fn holdings(node: &Node, sequence: u64, giver_token: u64) -> Vec<Holding> {
    if giver_token == 0 {
        return Vec::new();
    }
    let round = sequence as usize % HOLDINGS_ROUNDS;
    let told = node
        .giver
        .told(node.now(), |index| index % HOLDINGS_ROUNDS == round);
    let now = node.now();
    let told = told.into_iter().map(|told| Holding {
        upstream: told.upstream.to_string(),
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

fn held_model(resident: &Resident) -> HeldModel {
    HeldModel {
        model: resident.model.to_string(),
        version: resident.version,
        adapters: resident.adapters.iter().map(ToString::to_string).collect(),
    }
}

/// Hears other entries, for ever.
pub(crate) async fn hear(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An answer that a peer's port is closed; nothing was lost.
            continue;
        };
        match PeerNews::decode(&buffer[..length]) {
            Ok(news) => take(&node, from, news),
            Err(fault) => {
                let why = fault.to_string();
                node.log
                    .line("datagram_unread", json!({ "from": from, "why": why }));
            }
        }
    }
}

fn take(node: &Arc<Node>, from: SocketAddr, news: PeerNews) {
    if news.entry == node.peers.me || !node.peers.note(node, from, &news) {
        return;
    }
    let now = node.now();
    let uses = news.uses.iter().map(|used| {
        let usage = Usage {
            running: used.running,
            waiting_tokens: used.waiting_tokens,
            kept_tokens: used.kept_tokens,
        };
        (used.upstream.as_str(), usage)
    });
    let mut fleet = node.fleet.lock();
    fleet.peer_usage(now, &news.entry, uses);
    for id in &news.leaving {
        fleet.heard_leaving(id);
    }
    for holding in &news.holdings {
        let residents = holding.models.iter().map(resident).collect();
        let coming = holding.coming.iter().map(|coming| {
            let ready_at = now.plus_ms(coming.ready_in_ms);
            (Arc::from(coming.model.as_str()), ready_at)
        });
        fleet.said(now, &holding.upstream, residents, coming.collect());
    }
    drop(fleet);
    if !news.holdings.is_empty() {
        node.holdings.notify_waiters();
    }
    for want in news.wants {
        let want = Want {
            service: want.service.into(),
            model: want.model.into(),
            adapter: want.adapter.into(),
        };
        node.giver.want(now, want);
    }
    if let Some(ask) = &news.lease_ask {
        hear_ask(node, ask);
    }
    if let Some(told) = &news.lease_told {
        node.relay.hear_told(node, told);
    }
    let mut suspects = node.suspects.lock();
    for suspect in &news.suspects {
        suspects.merge(now, suspect);
    }
}

fn resident(held: &HeldModel) -> Resident {
    Resident {
        model: held.model.as_str().into(),
        version: held.version,
        adapters: held
            .adapters
            .iter()
            .map(|name| name.as_str().into())
            .collect(),
    }
}

impl Peers {
    /// Takes over who sent a message; false for one that is older than what is
    /// known.
    fn note(&self, node: &Node, from: SocketAddr, news: &PeerNews) -> bool {
        let now = node.now();
        let mut table = self.table.lock();
        table.addresses.insert(from);
        let known = table.peers.get(&news.entry);
        let newest = known.map(|peer| (peer.start, peer.sequence));
        if newest.is_some_and(|newest| (news.start, news.sequence) <= newest) {
            return false;
        }
        if known.is_none_or(|peer| now.ms_since(peer.heard_at) > AWAY_MS) {
            node.log.line(
                "peer_heard",
                json!({ "peer": news.entry, "from": from, "setup": news.setup_version }),
            );
        }
        let loads = news.demands.iter().map(|demand| {
            let load = Load {
                newest_ms_per_s: demand.newest_us_per_s as f64 / 1_000.0,
                lasting_ms_per_s: demand.lasting_us_per_s as f64 / 1_000.0,
                waiting: demand.waiting,
                oldest_wait_ms: demand.oldest_wait_ms,
            };
            (
                demand.service.as_str().into(),
                demand.model.as_str().into(),
                load,
            )
        });
        let state = PeerState {
            address: from,
            start: news.start,
            sequence: news.sequence,
            heard_at: now,
            giver_token: news.giver_token,
            loads: loads.collect(),
        };
        table.peers.insert(news.entry.clone(), state);
        true
    }

    /// Address of the giver of orders, if it was heard lately.
    fn giver(&self, now: Instant) -> Option<SocketAddr> {
        let table = self.table.lock();
        let heard = table
            .peers
            .values()
            .filter(|peer| now.ms_since(peer.heard_at) < DEMAND_MS);
        let giver = heard.filter(|peer| peer.giver_token > 0);
        giver
            .max_by_key(|peer| peer.giver_token)
            .map(|peer| peer.address)
    }

    /// Highest token of a giver that was heard within `ms`.
    pub(crate) fn giver_token(&self, now: Instant, ms: u64) -> u64 {
        let table = self.table.lock();
        let heard = table
            .peers
            .values()
            .filter(|peer| now.ms_since(peer.heard_at) < ms);
        heard.map(|peer| peer.giver_token).max().unwrap_or(0)
    }

    fn listed(&self, records: &[EntryRecord]) -> usize {
        let mut table = self.table.lock();
        for record in records {
            table.addresses.insert(record.peers);
        }
        table.registered = records.len().max(1);
        table.registered
    }
}

/// Keeps this entry's own entry in the platform and reads the others', for
/// ever.
pub(crate) async fn register(node: Arc<Node>) {
    let key = format!("{}{}", node.options.keys.entry_prefix, node.options.entry);
    let record = EntryRecord {
        peers: node.options.peers,
    };
    // An address serialises into any string.
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let mut written = false;
    loop {
        let listed = list_entries(&node).await;
        let known = listed
            .as_ref()
            .is_some_and(|listed| listed.contains(&record));
        if listed.is_some() && !known && !written {
            let op = PlatformOp::Write {
                key: key.clone(),
                expect: Expect::Any,
                value: value.clone(),
            };
            let result = node.store.call(&op).await;
            written = matches!(result, PlatformResult::Written(_));
        }
        let pause = if known { LIST_EVERY } else { LIST_AGAIN };
        tokio::time::sleep(pause).await;
    }
}

async fn list_entries(node: &Node) -> Option<Vec<EntryRecord>> {
    let prefix = node.options.keys.entry_prefix.clone();
    let result = node.store.call(&PlatformOp::List { prefix }).await;
    let PlatformResult::Objects(objects, _) = result else {
        return None;
    };
    let records: Vec<EntryRecord> = objects
        .iter()
        .filter_map(|(_, _, value)| serde_json::from_slice(value).ok())
        .collect();
    let entries = node.peers.listed(&records);
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    node.repeats.lock().set_entries(entries);
    Some(records)
}
