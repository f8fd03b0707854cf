//! State about the other entries.

use base::prelude::*;
use direct::{
    DemandEstimate, DemandPressure, IncarnationIndex, ItemRepeats, LeaseCandidate,
    MessageDetail, MessageRounds, PeerEntry, PeerReadiness, Receiver, has_successor,
    message_detail, peer_timeout_ms,
};
use parking_lot::Mutex;
use quota::select_keeper;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::transfer::{SentMessages, TransferScope};
use crate::Options;
use crate::peers::PeerRelays;

/// Silence after which another entry takes over the watches of a failure domain.
/// Their leader sends a message each 0.8 s.
const LEADER_TIMEOUT_MS: u64 = 1_500;

/// Silence after which a peer gets messages only occasionally.
pub(crate) const UNREACHABLE_AFTER_MS: u64 = 5_000;

/// State about the other entries.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) own_name: String,
    pub(crate) own_address: SocketAddr,
    pub(crate) own_domain: String,
    pub(crate) table: Mutex<PeerTable>,
    /// Upstreams' incarnations by the hashes in messages, as of the latest round.
    pub(crate) incarnations: Mutex<IncarnationIndex>,
    /// Entries that pass this entry's messages on.
    pub(crate) relays: Mutex<PeerRelays>,
    /// Notified when a message of an entry arrives that was not known.
    pub(crate) new_peer: Notify,
    /// Notified when a message should be sent right away.
    pub(crate) announce_now: Notify,
    /// The UDP socket for messages, once it is bound.
    pub(crate) socket: OnceLock<Arc<UdpSocket>>,
}

/// What is known about the other entries.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    /// Addresses at which entries may run.
    pub(crate) addresses: BTreeSet<SocketAddr>,
    pub(crate) peers: HashMap<String, PeerState>,
    /// Sequence number of the last message sent.
    pub(crate) sequence: u64,
    /// Rounds in which peers were sent messages. `sequence` can't be used for
    /// this: it counts two messages per round and others in between.
    pub(crate) message_rounds: MessageRounds,
    /// Number of periodic rounds, which determine the part of the holdings to
    /// send. Counting the messages about changes in between would leave out
    /// parts for a long time.
    pub(crate) periodic_rounds: u64,
    /// Number of entries in the platform's list.
    pub(crate) listed_entries: usize,
    /// Addresses of the entries in the platform's list, with their failure domains.
    pub(crate) listed_addresses: Vec<(SocketAddr, String)>,
    /// Names of the entries in the platform's list; `None` before the first one.
    pub(crate) listed_names: Option<BTreeSet<String>>,
    /// Number of entries in the platform's list that precede this one by name;
    /// `None` as long as the list does not contain this entry.
    pub(crate) listed_before: Option<usize>,
    /// Failure domains of the entries at addresses from which messages came or that
    /// are in the platform's list.
    pub(crate) domains: HashMap<SocketAddr, String>,
    /// Digests of this entry as of its latest message.
    pub(crate) own_digests: Vec<u32>,
    /// When packed uses last named an upstream that is not known here.
    pub(crate) unknown_use_at: Option<Instant>,
    /// Leaving upstreams that are still to be sent.
    pub(crate) leaving_changes: ItemRepeats,
    /// When a message of a coordinator was last received.
    pub(crate) coordinator_message_at: Option<Instant>,
}

/// One other entry.
#[derive(Debug)]
pub(crate) struct PeerState {
    pub(crate) address: SocketAddr,
    pub(crate) started_unix_ms: u64,
    /// Sequence number of its last message.
    pub(crate) sequence: u64,
    /// When its last message was received.
    pub(crate) last_message_at: Instant,
    /// Whether its silence was logged.
    pub(crate) reported_lost: bool,
    /// Fencing token of its lease; 0 unless it is the coordinator.
    pub(crate) coordinator_token: u64,
    pub(crate) domain: String,
    /// Whether its own watch of the platform works.
    pub(crate) watch_works: bool,
    /// Whether it keeps tokens for other entries.
    pub(crate) keeps_tokens: bool,
    /// Whether it is shutting down.
    pub(crate) shutting_down: bool,
    /// Whether it is ready for callers.
    pub(crate) is_ready: bool,
    /// When the first message of its process was received.
    pub(crate) first_heard_at: Instant,
    /// Format of its messages.
    pub(crate) format: u32,
    /// Since when its messages have other digests than this entry's.
    pub(crate) different_since: Option<Instant>,
    /// Whether it needs uses of upstreams in full.
    pub(crate) needs_full_uses: bool,
    /// Demand that it measured.
    pub(crate) demand: Vec<PeerDemand>,
}

/// Demand for one model that another entry measured.
#[derive(Debug, Clone)]
pub(crate) struct PeerDemand {
    pub(crate) service: Arc<str>,
    pub(crate) model: Arc<str>,
    pub(crate) estimate: DemandEstimate,
    pub(crate) pressure: DemandPressure,
}

/// Returns the name of one incarnation of an entry.
pub(crate) fn incarnation_name(entry: &str, started_unix_ms: u64) -> String {
    format!("{entry}#{started_unix_ms}")
}

impl PeerTable {
    /// Returns the entries that were heard from recently, by name.
    pub(crate) fn live_peers(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&String, &PeerState)> {
        let timeout_ms = self.peer_timeout_ms();
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| now.ms_since(peer.last_message_at) < timeout_ms)
    }

    /// Returns the addresses of the other entries that may run, with their failure
    /// domains: those that were heard from recently, and those in the platform's list
    /// that were never heard from.
    pub(crate) fn possible_entries(
        &self,
        now: Instant,
        own_address: SocketAddr,
    ) -> impl Iterator<Item = (SocketAddr, &str)> {
        let heard: HashSet<SocketAddr> =
            self.peers.values().map(|peer| peer.address).collect();
        let live = self.live_peers(now).map(|(_, peer)| peer);
        let live = live.map(|peer| (peer.address, peer.domain.as_str()));
        let listed = self.listed_addresses.iter();
        let unheard = listed.filter(move |(address, _)| {
            *address != own_address && !heard.contains(address)
        });
        live.chain(unheard.map(|(address, domain)| (*address, domain.as_str())))
    }

    pub(crate) fn peer_timeout_ms(&self) -> u64 {
        peer_timeout_ms(self.addresses.len())
    }
}

impl Peers {
    pub(crate) fn new(options: &Options) -> Self {
        let table = PeerTable {
            addresses: options.peer_seeds.iter().copied().collect(),
            ..PeerTable::default()
        };
        Self {
            own_name: options.entry.clone(),
            own_address: options.peer_address,
            own_domain: options.failure_domain.clone(),
            table: Mutex::new(table),
            incarnations: Mutex::default(),
            relays: Mutex::default(),
            new_peer: Notify::new(),
            announce_now: Notify::new(),
            socket: OnceLock::new(),
        }
    }

    /// Returns whether the last message of an entry was received within `ms` and said
    /// that it is the coordinator.
    pub(crate) fn has_coordinator_message_within(
        &self,
        now: Instant,
        entry: &str,
        ms: u64,
    ) -> bool {
        let table = self.table.lock();
        let peer = table.peers.get(entry);
        peer.is_some_and(|peer| {
            peer.coordinator_token > 0 && now.ms_since(peer.last_message_at) < ms
        })
    }

    /// Returns what this entry, whose process has run for `up_ms`, knows about
    /// the others that could hold the lease. `holder_heard` tells whether messages
    /// arrive from the holder that the lease names.
    pub(crate) fn lease_candidate(
        &self,
        now: Instant,
        up_ms: u64,
        holder_heard: bool,
    ) -> LeaseCandidate {
        let table = self.table.lock();
        let is_listed = |name: &String| {
            let names = table.listed_names.as_ref();
            names.is_none_or(|names| names.contains(name))
        };
        let before = table.live_peers(now).filter(|(name, peer)| {
            peer.watch_works
                && !peer.shutting_down
                && **name < self.own_name
                && is_listed(name)
        });
        LeaseCandidate {
            live_before: before.count(),
            listed_before: table.listed_before,
            up_ms,
            holder_heard,
            coordinator_silent_ms: table
                .coordinator_message_at
                .map(|last_message_at| now.ms_since(last_message_at)),
        }
    }

    /// Returns the entries that have fallen silent since the last call, with
    /// the duration of their silence.
    pub(crate) fn newly_lost(&self, now: Instant) -> Vec<(String, u64)> {
        let mut table = self.table.lock();
        let timeout_ms = table.peer_timeout_ms();
        let silent = table.peers.iter_mut().filter(|(_, peer)| {
            !peer.reported_lost && now.ms_since(peer.last_message_at) >= timeout_ms
        });
        silent
            .map(|(name, peer)| {
                peer.reported_lost = true;
                (name.clone(), now.ms_since(peer.last_message_at))
            })
            .collect()
    }

    /// Returns the sorted names of the entries that were heard from recently.
    pub(crate) fn live_entries(&self, now: Instant) -> Vec<String> {
        let table = self.table.lock();
        let live = table.live_peers(now);
        let mut names: Vec<String> = live.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Returns the names of the entries of a failure domain that were heard
    /// from recently and whose own watch of the platform works.
    pub(crate) fn watchers(&self, now: Instant, domain: &str) -> Vec<String> {
        let table = self.table.lock();
        let watchers = table
            .live_peers(now)
            .filter(|(_, peer)| now.ms_since(peer.last_message_at) < LEADER_TIMEOUT_MS)
            .filter(|(_, peer)| peer.watch_works && peer.domain == domain);
        watchers.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the entry that keeps a workspace's tokens, with its address,
    /// unless it is this entry. It is chosen among the entries that were heard
    /// from recently, keep tokens and are responsive.
    ///
    /// This runs for each request and each feed, so only the chosen name is
    /// copied.
    pub(crate) fn token_keeper(
        &self,
        now: Instant,
        workspace: &str,
        this_entry: Option<&str>,
        is_unresponsive: impl Fn(&str) -> bool,
    ) -> Option<(String, SocketAddr)> {
        let table = self.table.lock();
        let others = table
            .live_peers(now)
            .filter(|(name, peer)| peer.keeps_tokens && !is_unresponsive(name));
        let others = others.map(|(name, _)| name.as_str());
        let keeper_name = select_keeper(workspace, others.chain(this_entry))?;
        let other = table.peers.get(keeper_name)?;
        Some((keeper_name.to_owned(), other.address))
    }

    /// Returns whether an incarnation of an entry was heard from recently.
    pub(crate) fn is_live_incarnation(&self, now: Instant, name: &str) -> bool {
        let table = self.table.lock();
        let mut live = table.live_peers(now);
        live.any(|(entry, peer)| incarnation_name(entry, peer.started_unix_ms) == name)
    }

    /// Divides the addresses of a round of messages by what these hold.
    pub(crate) fn by_detail(
        &self,
        now: Instant,
        addresses: Vec<SocketAddr>,
        is_periodic: bool,
    ) -> BTreeMap<MessageDetail, Vec<SocketAddr>> {
        let table = self.table.lock();
        let (round, peers) = (table.periodic_rounds, table.addresses.len());
        let own_hash = xxh3_64(self.own_name.as_bytes());
        let receivers = table.peers.iter().map(|(name, peer)| {
            let receiver = Receiver {
                format: Some(peer.format),
                heard_for_ms: now.ms_since(peer.first_heard_at),
                // Messages about changes follow one another closely.
                different_for_ms: match peer.different_since {
                    Some(since) if is_periodic => now.ms_since(since),
                    _ => 0,
                },
                needs_full_uses: peer.needs_full_uses,
                pair: own_hash.wrapping_add(xxh3_64(name.as_bytes())),
            };
            (peer.address, message_detail(&receiver, round, peers))
        });
        let details: HashMap<SocketAddr, MessageDetail> = receivers.collect();
        let mut divided: BTreeMap<MessageDetail, Vec<SocketAddr>> = BTreeMap::new();
        for address in addresses {
            let unheard = MessageDetail::OlderFormat;
            let detail = details.get(&address).copied().unwrap_or(unheard);
            divided.entry(detail).or_default().push(address);
        }
        divided
    }

    /// Returns the number of entries that may exist, including this one: those
    /// in the platform's list or, if more, those that were ever heard from.
    pub(crate) fn entry_count(&self) -> usize {
        let table = self.table.lock();
        table.listed_entries.max(table.peers.len() + 1)
    }

    /// Returns whether an entry was heard from recently that can become
    /// coordinator in place of this one, which is shutting down and was started
    /// at `started_unix_ms`.
    pub(crate) fn has_successor(&self, now: Instant, started_unix_ms: u64) -> bool {
        let table = self.table.lock();
        let live = table.live_peers(now).map(|(_, peer)| peer);
        let others: Vec<PeerEntry> = live
            .map(|peer| PeerEntry {
                started_unix_ms: peer.started_unix_ms,
                stopping: peer.shutting_down,
            })
            .collect();
        has_successor(started_unix_ms, &others)
    }

    /// Returns whether another entry was heard from recently that is ready for callers.
    pub(crate) fn has_ready_peer(&self, now: Instant) -> bool {
        let table = self.table.lock();
        let mut live = table.live_peers(now);
        live.any(|(_, peer)| peer.is_ready && !peer.shutting_down)
    }

    /// Counts the other entries, and those that are ready for callers. One that has fallen
    /// silent isn't, and counts as long as it is in the platform's list.
    pub(crate) fn readiness(&self, now: Instant) -> PeerReadiness {
        let table = self.table.lock();
        let live = table.live_peers(now).map(|(_, peer)| peer);
        let live = live.map(|peer| {
            let is_ready = peer.is_ready && !peer.shutting_down;
            (peer.address, (peer.domain.as_str(), is_ready))
        });
        let listed = table.listed_addresses.iter();
        let listed =
            listed.map(|(address, domain)| (*address, (domain.as_str(), false)));
        // What an entry says replaces that it is listed.
        let mut entries: HashMap<SocketAddr, (&str, bool)> = listed.collect();
        entries.extend(live);
        entries.remove(&self.own_address);
        let mut readiness = PeerReadiness::default();
        for (domain, is_ready) in entries.into_values() {
            let count = if domain == self.own_domain {
                &mut readiness.in_domain
            } else {
                &mut readiness.elsewhere
            };
            count.total += 1;
            count.ready += usize::from(is_ready);
        }
        readiness
    }

    /// Returns the addresses of the entries of a failure domain that were heard
    /// from recently.
    pub(crate) fn addresses_in_domain(
        &self,
        now: Instant,
        domain: &str,
    ) -> Vec<SocketAddr> {
        let table = self.table.lock();
        let peers = table
            .live_peers(now)
            .filter(|(_, peer)| peer.domain == domain);
        peers.map(|(_, peer)| peer.address).collect()
    }

    /// Counts the addresses of messages by the failure domains of the entries there.
    pub(crate) fn scopes(
        &self,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) -> SentMessages {
        let table = self.table.lock();
        let mut sent = SentMessages::default();
        for address in addresses {
            let domain = table.domains.get(&address).map_or("", String::as_str);
            sent.add(TransferScope::between(&self.own_domain, domain));
        }
        sent
    }

    /// Adds the other entries' demand for a service's models, and the pressure on
    /// them.
    pub(crate) fn add_demand(
        &self,
        now: Instant,
        service: &str,
        demand: &mut BTreeMap<Arc<str>, DemandEstimate>,
        pressures: &mut BTreeMap<Arc<str>, DemandPressure>,
    ) {
        let table = self.table.lock();
        let live = table.live_peers(now).map(|(_, peer)| peer);
        for measured in live.flat_map(|peer| &peer.demand) {
            if *measured.service == *service {
                let model = &measured.model;
                let estimate = demand.entry(Arc::clone(model)).or_default();
                estimate.add(&measured.estimate);
                let pressure = pressures.entry(Arc::clone(model)).or_default();
                pressure.add(&measured.pressure);
            }
        }
    }

    /// Returns the address of the coordinator, if it was heard from recently.
    pub(crate) fn coordinator_address(&self, now: Instant) -> Option<SocketAddr> {
        let table = self.table.lock();
        let live = table.live_peers(now).map(|(_, peer)| peer);
        let coordinators = live.filter(|peer| peer.coordinator_token > 0);
        coordinators
            .max_by_key(|peer| peer.coordinator_token)
            .map(|peer| peer.address)
    }
}
