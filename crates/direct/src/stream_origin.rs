//! Where streams began, so that they go on only there.
//!
//! Upstreams of several software versions serve side by side. What two of them write
//! doesn't fit together, and upstreams don't check it, so the rest of a stream must come
//! from the version that brought its first event. Callers may ask any entry for the
//! rest. So the entry that forwards the first event tells a few others, and an entry
//! that doesn't know a stream asks those that would.

use base::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

/// Number of other entries that are told where a stream began, in as many failure
/// domains as there are.
const KEEPERS: usize = 3;

/// Number of failure domains in which entries are asked. Entries that see different
/// failure domains rank them alike, but one may be missing.
const ASKED_DOMAINS: usize = KEEPERS + 1;

/// Maximum number of streams that are remembered. The ones that are over first are
/// forgotten first.
const STREAMS_MAX: usize = 16_384;

/// Identifies a stream by the workspace of its caller and the id of the request whose
/// response brought the first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Returns the id of the stream that a request began.
    pub fn new(workspace: Option<&str>, request: &str) -> Self {
        let mut hash = Xxh3::new();
        hash.update(workspace.unwrap_or_default().as_bytes());
        hash.update(&[0]);
        hash.update(request.as_bytes());
        Self(hash.digest())
    }
}

/// Identifies a version of an upstream's software within its service. Versions are
/// opaque text without an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoftwareVersion(pub u64);

impl SoftwareVersion {
    /// Returns the version with this text.
    pub fn new(text: &str) -> Self {
        Self(xxh3_64_with_seed(text.as_bytes(), 0))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Service that the stream's upstream belongs to.
    pub service: Arc<str>,
    /// Version of the upstream's software; `None` if it was not known when the stream
    /// began. Such a stream can't be resumed.
    pub software: Option<SoftwareVersion>,
    /// Upstream that brought the first event.
    pub upstream: Arc<str>,
}

impl StreamOrigin {
    /// Whether a stream that began at `self` may go on where one from `other` may.
    fn allows_same(&self, other: &Self) -> bool {
        self.service == other.service && self.software == other.software
    }
}

/// What is remembered of a stream.
#[derive(Debug)]
struct KnownStream {
    /// `None` if the stream is said to have begun in two ways.
    origin: Option<StreamOrigin>,
    expires_at: Instant,
}

/// Origins of the streams that this entry forwards, or was told of.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamId, KnownStream>,
    by_expiry: BTreeSet<(Instant, StreamId)>,
}

impl StreamOrigins {
    /// Remembers where a stream began, until nobody can ask for its rest any more.
    ///
    /// A stream that is said to have begun in two ways counts as unknown: one of them
    /// must be wrong.
    pub fn insert(&mut self, id: StreamId, origin: StreamOrigin, expires_at: Instant) {
        let Some(known) = self.streams.get_mut(&id) else {
            let origin = Some(origin);
            self.streams.insert(id, KnownStream { origin, expires_at });
            self.by_expiry.insert((expires_at, id));
            self.limit_count();
            return;
        };
        if known
            .origin
            .as_ref()
            .is_some_and(|first| !first.allows_same(&origin))
        {
            known.origin = None;
        }
        if expires_at > known.expires_at {
            self.by_expiry.remove(&(known.expires_at, id));
            known.expires_at = expires_at;
            self.by_expiry.insert((expires_at, id));
        }
    }

    /// Returns where a stream began, and until when that is remembered.
    pub fn get(&self, now: Instant, id: StreamId) -> Option<(&StreamOrigin, Instant)> {
        let known = self.streams.get(&id)?;
        let origin = known.origin.as_ref()?;
        (now < known.expires_at).then_some((origin, known.expires_at))
    }

    /// Forgets the streams that nobody can ask for any more.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires_at, _)) = self.by_expiry.first()
            && *expires_at <= now
        {
            self.remove_first();
        }
    }

    /// Number of remembered streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    fn limit_count(&mut self) {
        while self.streams.len() > STREAMS_MAX {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, id)) = self.by_expiry.pop_first() {
            self.streams.remove(&id);
        }
    }
}

/// Returns the entries that are told where a stream began, among the others that
/// `entries` lists with their failure domains.
///
/// The choice is by rendezvous hashing of the stream, so that every entry can compute
/// it, and over failure domains, so that the loss of one leaves a keeper.
pub fn origin_keepers<'a>(
    stream: StreamId,
    entries: impl IntoIterator<Item = (SocketAddr, &'a str)>,
) -> Vec<SocketAddr> {
    let domains = ranked_by_domain(stream, entries);
    let keepers = by_turns(&domains).map(|(_, entry)| entry);
    keepers.take(KEEPERS).collect()
}

/// Returns the entries to ask where a stream began. They include the keepers that were
/// chosen by an entry which knows one entry or failure domain more or less.
pub fn origin_keepers_to_ask<'a>(
    stream: StreamId,
    entries: impl IntoIterator<Item = (SocketAddr, &'a str)>,
) -> Vec<SocketAddr> {
    let domains = ranked_by_domain(stream, entries);
    let keepers = by_turns(&domains).take(KEEPERS);
    let turns = keepers.map(|(turn, _)| turn + 1).max().unwrap_or(0);
    let asked = domains.iter().take(ASKED_DOMAINS);
    asked
        .flat_map(|entries| entries.iter().take(turns + 1))
        .copied()
        .collect()
}

/// Returns the entries of the best failure domains in turn, with the number of the turn:
/// first the best entry of each domain, then the second.
fn by_turns(domains: &[Vec<SocketAddr>]) -> impl Iterator<Item = (usize, SocketAddr)> {
    let best = &domains[..domains.len().min(KEEPERS)];
    (0..KEEPERS).flat_map(move |turn| {
        let entries = best.iter().filter_map(move |entries| entries.get(turn));
        entries.map(move |entry| (turn, *entry))
    })
}

/// Returns the entries of each failure domain, best first. The domains are ranked too.
fn ranked_by_domain<'a>(
    stream: StreamId,
    entries: impl IntoIterator<Item = (SocketAddr, &'a str)>,
) -> Vec<Vec<SocketAddr>> {
    let mut domains: BTreeMap<(u64, &str), Vec<(u64, SocketAddr)>> = BTreeMap::new();
    for (address, domain) in entries {
        let domain_rank = xxh3_64_with_seed(domain.as_bytes(), stream.0);
        let rank = address_rank(stream, address);
        let ranked = domains.entry((domain_rank, domain)).or_default();
        ranked.push((rank, address));
    }
    let domains = domains.into_values().map(|mut ranked| {
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, address)| address).collect()
    });
    domains.collect()
}

fn address_rank(stream: StreamId, address: SocketAddr) -> u64 {
    let mut hash = Xxh3::with_seed(stream.0);
    match address.ip() {
        IpAddr::V4(ip) => hash.update(&ip.octets()),
        IpAddr::V6(ip) => hash.update(&ip.octets()),
    }
    hash.update(&address.port().to_le_bytes());
    hash.digest()
}
