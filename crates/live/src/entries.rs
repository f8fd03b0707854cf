//! Other known entries, and the ranking that assigns keys to entries.

use base::prelude::*;
use schema::link::Gossip;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::SilenceLimits;

/// Most entries kept, however many others relay.
const ENTRIES_MAX: usize = 2_048;

/// State of another entry.
#[derive(Debug, Clone)]
pub struct EntryInfo {
    /// Name of the entry.
    pub id: EntryId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Sequence number of its newest gossip message.
    pub sequence: u64,
    /// Failure domain of its instance.
    pub failure_domain: FailureDomainId,
    /// When it was last heard.
    pub last_heard_at: Instant,
    /// It is stopping.
    pub leaving: bool,
}

/// The other known entries.
#[derive(Debug)]
pub struct EntryTable {
    silence_limits: SilenceLimits,
    entries: BTreeMap<EntryId, EntryInfo>,
}

/// Rank of a candidate for a key in rendezvous hashing; the candidate with the
/// greatest rank is chosen.
///
/// The ranks of the other candidates don't change when one joins or leaves, so
/// only the keys of that one move.
pub fn rendezvous_rank(key: &str, candidate: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + candidate.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_bytes());
    xxh3_64(&bytes)
}

impl EntryTable {
    /// Creates an empty table.
    pub const fn new(silence_limits: SilenceLimits) -> Self {
        Self {
            silence_limits,
            entries: BTreeMap::new(),
        }
    }

    /// Sets the silence limits, after a change of configuration.
    pub const fn set_silence_limits(&mut self, silence_limits: SilenceLimits) {
        self.silence_limits = silence_limits;
    }

    /// Applies a gossip message. Returns false if it is not newer than the last
    /// one of that entry, or the table is full.
    pub fn record_gossip(&mut self, now: Instant, gossip: &Gossip) -> bool {
        let known_entry = self.entries.get(gossip.entry.as_str());
        if known_entry.is_none() && self.entries.len() >= ENTRIES_MAX {
            return false;
        }
        let order = (Incarnation(gossip.incarnation), gossip.sequence);
        if known_entry.is_some_and(|entry| order <= (entry.incarnation, entry.sequence))
        {
            return false;
        }
        let id = EntryId::new(&gossip.entry);
        let info = EntryInfo {
            id: id.clone(),
            incarnation: order.0,
            sequence: order.1,
            failure_domain: FailureDomainId::new(&gossip.failure_domain),
            last_heard_at: now,
            leaving: gossip.leaving,
        };
        self.entries.insert(id, info);
        true
    }

    /// Records that an entry announced its shutdown.
    pub fn mark_leaving(&mut self, id: &EntryId, incarnation: Incarnation) {
        if let Some(entry) = self.entries.get_mut(id)
            && entry.incarnation == incarnation
        {
            entry.leaving = true;
        }
    }

    /// Removes entries whose silence has reached the limit for removal.
    pub fn tick(&mut self, now: Instant) {
        let forget_ms = self.silence_limits.forget_ms();
        self.entries
            .retain(|_, entry| now.ms_since(entry.last_heard_at) < forget_ms);
    }

    /// What is known of an entry.
    pub fn get(&self, id: &EntryId) -> Option<&EntryInfo> {
        self.entries.get(id)
    }

    /// All entries, ordered by name.
    pub fn all(&self) -> impl Iterator<Item = &EntryInfo> {
        self.entries.values()
    }

    /// Whether an entry is known and its silence is below the limit.
    pub fn is_alive(&self, now: Instant, id: &EntryId) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| self.is_below_silence_limit(now, entry))
    }

    /// Whether the silence of any other entry is below the limit.
    pub fn any_alive(&self, now: Instant) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| self.is_below_silence_limit(now, entry))
    }

    /// Whether `me` has the greatest rank for a key among the entries that are
    /// alive and not stopping.
    pub fn ranks_first(&self, now: Instant, me: &EntryId, key: &str) -> bool {
        let own_rank = (rendezvous_rank(key, me.as_str()), me);
        let others = self.entries.values();
        others
            .filter(|entry| self.is_below_silence_limit(now, entry) && !entry.leaving)
            .all(|entry| {
                (rendezvous_rank(key, entry.id.as_str()), &entry.id) <= own_rank
            })
    }

    fn is_below_silence_limit(&self, now: Instant, entry: &EntryInfo) -> bool {
        now.ms_since(entry.last_heard_at) < self.silence_limits.entry_down_ms()
    }
}
