//! The other entries, and which entry plans what.

use base::prelude::*;
use schema::link::Gossip;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::Timing;

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
    pub domain: FailureDomainId,
    /// When it was last heard.
    pub heard_at: Instant,
    /// It is stopping.
    pub leaving: bool,
}

/// The other entries that are known.
#[derive(Debug)]
pub struct EntryTable {
    timing: Timing,
    entries: BTreeMap<EntryId, EntryInfo>,
}

/// Rank of a candidate for a key: the greatest is first (rendezvous hashing).
///
/// The ranks of the others don't change when one comes or goes, so only what
/// that one had moves.
pub fn rendezvous(key: &str, candidate: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + candidate.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_bytes());
    xxh3_64(&bytes)
}

impl EntryTable {
    /// An empty table.
    pub const fn new(timing: Timing) -> Self {
        Self {
            timing,
            entries: BTreeMap::new(),
        }
    }

    /// Changes the bounds on silence, as a new configuration may.
    pub const fn set_timing(&mut self, timing: Timing) {
        self.timing = timing;
    }

    /// Takes gossip; returns whether it is news. Late or doubled gossip is not.
    pub fn hear(&mut self, now: Instant, gossip: &Gossip) -> bool {
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
            domain: FailureDomainId::new(&gossip.failure_domain),
            heard_at: now,
            leaving: gossip.leaving,
        };
        self.entries.insert(id, info);
        true
    }

    /// An entry said that it stops.
    pub fn goodbye(&mut self, id: &EntryId, incarnation: Incarnation) {
        if let Some(held) = self.entries.get_mut(id)
            && held.incarnation == incarnation
        {
            held.leaving = true;
        }
    }

    /// Forgets entries that have long been silent.
    pub fn tick(&mut self, now: Instant) {
        let bound = self.timing.forget_ms();
        self.entries
            .retain(|_, held| now.ms_since(held.heard_at) < bound);
    }

    /// Entries in order of name.
    pub fn all(&self) -> impl Iterator<Item = &EntryInfo> {
        self.entries.values()
    }

    /// Whether an entry was heard lately.
    pub fn alive(&self, now: Instant, id: &EntryId) -> bool {
        let held = self.entries.get(id);
        held.is_some_and(|held| self.is_alive(now, held))
    }

    /// Whether any entry was heard lately.
    pub fn any_alive(&self, now: Instant) -> bool {
        let mut entries = self.entries.values();
        entries.any(|held| self.is_alive(now, held))
    }

    /// Whether `me` ranks first for a key among the entries that are alive and
    /// not stopping.
    pub fn ranks_first(&self, now: Instant, me: &EntryId, key: &str) -> bool {
        let mine = (rendezvous(key, me.as_str()), me);
        let others = self.entries.values();
        others
            .filter(|held| self.is_alive(now, held) && !held.leaving)
            .all(|held| (rendezvous(key, held.id.as_str()), &held.id) <= mine)
    }

    fn is_alive(&self, now: Instant, held: &EntryInfo) -> bool {
        now.ms_since(held.heard_at) < self.timing.entry_ms()
    }
}
