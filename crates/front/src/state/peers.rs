//! Other entries.

use base::prelude::*;
use direct::{DemandEstimate, PeerEntry, has_successor};
use parking_lot::Mutex;
use quota::keeper;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::Options;

/// Silence after which a peer's demand counts no more.
const DEMAND_MS: u64 = 1_500;

/// Silence after which a peer is told only now and then.
pub(crate) const AWAY_MS: u64 = 5_000;

/// Other entries.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) me: String,
    pub(crate) own: SocketAddr,
    pub(crate) table: Mutex<Table>,
    /// Told when there is something to tell at once.
    pub(crate) wake: Notify,
    /// What datagrams go out by, once there is one.
    pub(crate) socket: OnceLock<Arc<UdpSocket>>,
}

/// What is known of other entries.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// Addresses at which entries may be.
    pub(crate) addresses: BTreeSet<SocketAddr>,
    pub(crate) peers: HashMap<String, PeerState>,
    pub(crate) sequence: u64,
    /// Rounds in which peers were told. The sequence counts two messages a round,
    /// and others between them.
    pub(crate) rounds: u64,
    /// Those of them in which what upstreams hold was told in turn. News are told
    /// between them, and counted with them would leave out parts for a long time.
    pub(crate) turns: u64,
    /// Entries that the platform lists.
    pub(crate) registered: usize,
}

/// One other entry.
#[derive(Debug)]
pub(crate) struct PeerState {
    pub(crate) address: SocketAddr,
    pub(crate) start: u64,
    pub(crate) sequence: u64,
    pub(crate) heard_at: Instant,
    /// Whether its silence was told of.
    pub(crate) lost: bool,
    pub(crate) giver_token: u64,
    pub(crate) domain: String,
    /// Whether its own watch of the platform works.
    pub(crate) watches: bool,
    /// Whether it keeps tokens of workspaces for others.
    pub(crate) keeps_tokens: bool,
    /// Whether it is being stopped.
    pub(crate) stopping: bool,
    pub(crate) loads: Vec<(Arc<str>, Arc<str>, DemandEstimate)>,
}

/// Name of one start of an entry.
pub(crate) fn start_name(entry: &str, start: u64) -> String {
    format!("{entry}#{start}")
}

impl Table {
    /// Entries that were heard lately, by name.
    fn heard(&self, now: Instant) -> impl Iterator<Item = (&String, &PeerState)> {
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| now.ms_since(peer.heard_at) < DEMAND_MS)
    }
}

impl Peers {
    pub(crate) fn new(options: &Options) -> Self {
        let table = Table {
            addresses: options.peer_seeds.iter().copied().collect(),
            ..Table::default()
        };
        Self {
            me: options.entry.clone(),
            own: options.peer_address,
            table: Mutex::new(table),
            wake: Notify::new(),
            socket: OnceLock::new(),
        }
    }

    /// Whether an entry was heard within `ms`.
    pub(crate) fn is_heard(&self, now: Instant, entry: &str, ms: u64) -> bool {
        let table = self.table.lock();
        let peer = table.peers.get(entry);
        peer.is_some_and(|peer| now.ms_since(peer.heard_at) < ms)
    }

    /// Entries that have fallen silent since the last call, with for how long.
    pub(crate) fn newly_lost(&self, now: Instant) -> Vec<(String, u64)> {
        let mut table = self.table.lock();
        let silent = table
            .peers
            .iter_mut()
            .filter(|(_, peer)| !peer.lost && now.ms_since(peer.heard_at) >= DEMAND_MS);
        silent
            .map(|(name, peer)| {
                peer.lost = true;
                (name.clone(), now.ms_since(peer.heard_at))
            })
            .collect()
    }

    /// Names of the entries that were heard lately, in order.
    pub(crate) fn heard(&self, now: Instant) -> Vec<String> {
        let table = self.table.lock();
        let heard = table.heard(now);
        let mut names: Vec<String> = heard.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Names of the entries of a failure domain that were heard lately and whose own
    /// watch of the platform works.
    pub(crate) fn watchers(&self, now: Instant, domain: &str) -> Vec<String> {
        let table = self.table.lock();
        let watchers = table
            .heard(now)
            .filter(|(_, peer)| peer.watches && peer.domain == domain);
        watchers.map(|(name, _)| name.clone()).collect()
    }

    /// The entry that keeps a workspace's tokens, with its address, if it is another
    /// one than this: of those that were heard lately, keep tokens and are not away.
    ///
    /// It is asked for with each request and each feed, so that nothing is copied but
    /// the one that is found.
    pub(crate) fn keeper(
        &self,
        now: Instant,
        workspace: &str,
        own: Option<&str>,
        is_away: impl Fn(&str) -> bool,
    ) -> Option<(String, SocketAddr)> {
        let table = self.table.lock();
        let others = table
            .heard(now)
            .filter(|(name, peer)| peer.keeps_tokens && !is_away(name));
        let others = others.map(|(name, _)| name.as_str());
        let kept_by = keeper(workspace, others.chain(own))?;
        let other = table.peers.get(kept_by)?;
        Some((kept_by.to_owned(), other.address))
    }

    /// Whether a start of an entry was heard lately.
    pub(crate) fn is_running(&self, now: Instant, name: &str) -> bool {
        let table = self.table.lock();
        let mut heard = table.heard(now);
        heard.any(|(entry, peer)| start_name(entry, peer.start) == name)
    }

    /// Entries that there may be, this one among them: those that the platform lists,
    /// or if these are more, those that were ever heard.
    pub(crate) fn entries(&self) -> usize {
        let table = self.table.lock();
        table.registered.max(table.peers.len() + 1)
    }

    /// Whether an entry was heard lately that can lead in the place of this one, which
    /// began at `start` and is being stopped.
    pub(crate) fn has_successor(&self, now: Instant, start: u64) -> bool {
        let table = self.table.lock();
        let heard = table.heard(now).map(|(_, peer)| peer);
        let others: Vec<PeerEntry> = heard
            .map(|peer| PeerEntry {
                started_unix_ms: peer.start,
                stopping: peer.stopping,
            })
            .collect();
        has_successor(start, &others)
    }

    /// Addresses of the entries of a failure domain that were heard lately.
    pub(crate) fn neighbours(&self, now: Instant, domain: &str) -> Vec<SocketAddr> {
        let table = self.table.lock();
        let neighbours = table.heard(now).filter(|(_, peer)| peer.domain == domain);
        neighbours.map(|(_, peer)| peer.address).collect()
    }

    /// Adds what other entries demand of a service's models.
    pub(crate) fn add_loads(
        &self,
        now: Instant,
        service: &str,
        loads: &mut BTreeMap<Arc<str>, DemandEstimate>,
    ) {
        let table = self.table.lock();
        let heard = table.heard(now).map(|(_, peer)| peer);
        for (of, model, load) in heard.flat_map(|peer| &peer.loads) {
            if **of == *service {
                loads.entry(Arc::clone(model)).or_default().add(load);
            }
        }
    }

    /// Address of the giver of orders, if it was heard lately.
    pub(crate) fn giver(&self, now: Instant) -> Option<SocketAddr> {
        let table = self.table.lock();
        let heard = table.heard(now).map(|(_, peer)| peer);
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
}
