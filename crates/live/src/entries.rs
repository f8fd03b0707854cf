//! The other entries, and which entry plans what.

use base::prelude::*;
use schema::link::Gossip;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::SilenceLimits;

/// Entries kept at most, whatever peers send.
const ENTRIES_MAX: usize = 2_048;

/// One other entry.
#[derive(Debug, Clone)]
pub struct EntryInfo {
    /// Name.
    pub id: EntryId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Sequence of the newest gossip.
    pub sequence: u64,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// When it was last heard.
    pub last_heard_at: Instant,
    /// It is stopping.
    pub leaving: bool,
}

/// The other entries that are known.
#[derive(Debug)]
pub struct EntryTable {
    silence_limits: SilenceLimits,
    entries: BTreeMap<EntryId, EntryInfo>,
}

/// Rank of a candidate for a key: the greatest is first (rendezvous_rank hashing).
///
/// The ranks of the others don't change when one comes or goes, so only what
/// that one had moves.
pub fn rendezvous_rank(key: &str, candidate: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + candidate.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_bytes());
    xxh3_64(&bytes)
}

impl EntryTable {
    /// An empty table.
    pub const fn new(silence_limits: SilenceLimits) -> Self {
        Self {
            silence_limits,
            entries: BTreeMap::new(),
        }
    }

    /// Changes the bounds on silence, as a new configuration may.
    pub const fn set_silence_limits(&mut self, silence_limits: SilenceLimits) {
        self.silence_limits = silence_limits;
    }

    /// Takes gossip; returns whether it is news. Late or doubled gossip is not.
    pub fn record_gossip(&mut self, now: Instant, gossip: &Gossip) -> bool {
        let known = self.entries.get(gossip.entry.as_str());
        if known.is_none() && self.entries.len() >= ENTRIES_MAX {
            return false;
        }
        let order = (Incarnation(gossip.incarnation), gossip.sequence);
        if known.is_some_and(|held| order <= (held.incarnation, held.sequence)) {
            return false;
        }
        let id = EntryId::new(&gossip.entry);
        let info = EntryInfo {
            id: id.clone(),
            incarnation: order.0,
            sequence: order.1,
            failure_domain: DomainId::new(&gossip.failure_domain),
            last_heard_at: now,
            leaving: gossip.leaving,
        };
        self.entries.insert(id, info);
        true
    }

    /// An entry said that it stops.
    pub fn mark_leaving(&mut self, id: &EntryId, incarnation: Incarnation) {
        if let Some(held) = self.entries.get_mut(id)
            && held.incarnation == incarnation
        {
            held.leaving = true;
        }
    }

    /// Forgets entries that have long been silent.
    pub fn tick(&mut self, now: Instant) {
        let bound = self.silence_limits.forget_ms();
        self.entries
            .retain(|_, held| now.ms_since(held.last_heard_at) < bound);
    }

    /// Entries in order of name.
    pub fn all(&self) -> impl Iterator<Item = &EntryInfo> {
        self.entries.values()
    }

    /// Whether an entry was heard lately.
    pub fn is_alive(&self, now: Instant, id: &EntryId) -> bool {
        let held = self.entries.get(id);
        held.is_some_and(|held| self.heard_lately(now, held))
    }

    /// Whether any entry was heard lately.
    pub fn any_alive(&self, now: Instant) -> bool {
        let mut entries = self.entries.values();
        entries.any(|held| self.heard_lately(now, held))
    }

    /// Whether `me` ranks first for a key among the entries that are alive and
    /// not stopping.
    pub fn ranks_first(&self, now: Instant, me: &EntryId, key: &str) -> bool {
        let mine = (rendezvous_rank(key, me.as_str()), me);
        let others = self.entries.values();
        others
            .filter(|held| self.heard_lately(now, held) && !held.leaving)
            .all(|held| (rendezvous_rank(key, held.id.as_str()), &held.id) <= mine)
    }

    fn heard_lately(&self, now: Instant, held: &EntryInfo) -> bool {
        now.ms_since(held.last_heard_at) < self.silence_limits.entry_ms()
    }
}
