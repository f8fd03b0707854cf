//! Choice of the entries that keep where a stream began.
//!
//! The entry that forwards a stream's first event sends its origin to a few others, and
//! an entry that doesn't know a stream asks those that would have received it. The choice is by rendezvous
//! hashing of the stream, so that every entry can compute it, and over failure domains,
//! so that the loss of one leaves a keeper.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::StreamId;

/// Number of other entries that receive the origin of a stream, in as many failure
/// domains as there are.
const KEEPERS: usize = 3;

/// Number of failure domains in which entries are asked. Entries that see different
/// failure domains rank them alike, but one may be missing.
const ASKED_DOMAINS: usize = KEEPERS + 1;

/// Returns the entries that receive the origin of a stream, among the others that
/// `entries` lists with their failure domains.
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
