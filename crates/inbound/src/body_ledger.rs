//! Decides which request bodies get memory, and which give way.

use base::Instant;
use std::collections::HashMap;

/// Time in which a body must make progress. Only one that makes none gives way.
pub const NO_PROGRESS_MS: u64 = 1_000;

/// Bytes in that time that count as progress. A caller that sends a byte now and then
/// would otherwise hold its memory like one that sends as fast as it can.
pub(crate) const PROGRESS_BYTES: usize = 4 << 10;

/// Sizes from which on bodies don't get the last part of the memory, and that part in
/// percent. Small bodies are nearly all of what ordinary callers send, and are served
/// beside large ones that fill the rest.
const MEDIUM_BYTES: usize = 8 << 10;
const MEDIUM_KEPT_PERCENT: usize = 12;
const LARGE_BYTES: usize = 64 << 10;
const LARGE_KEPT_PERCENT: usize = 25;

/// A body in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyId(u64);

/// There is too little memory for a part of a body, and no other body gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerFull;

/// A body that is held, whole or in part.
#[derive(Debug)]
struct LedgerEntry {
    held_bytes: usize,
    /// Whether a part of it is still missing.
    is_incomplete: bool,
    /// Since when its progress is counted, and what came since then.
    progress_since: Instant,
    progress_bytes: usize,
}

impl LedgerEntry {
    /// Whether it has made no progress for long enough to give way.
    fn rests(&self, now: Instant) -> bool {
        self.is_incomplete && now.ms_since(self.progress_since) >= NO_PROGRESS_MS
    }
}

/// The bodies that a process holds, and the memory that they take.
#[derive(Debug)]
pub struct BodyLedger {
    capacity_bytes: usize,
    used_bytes: usize,
    bodies: HashMap<BodyId, LedgerEntry>,
    next_id: u64,
}

impl BodyLedger {
    /// A ledger without bodies.
    pub fn new(capacity_bytes: usize) -> Self {
        Self {
            capacity_bytes,
            used_bytes: 0,
            bodies: HashMap::new(),
            next_id: 0,
        }
    }

    /// Memory that all bodies may take, in bytes.
    pub const fn capacity_bytes(&self) -> usize {
        self.capacity_bytes
    }

    /// Memory that they take, in bytes.
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Largest body for which there is memory when there is no other.
    pub const fn body_max_bytes(&self) -> usize {
        self.allowance_bytes(usize::MAX)
    }

    /// Changes the memory that all bodies may take. Those that are held stay.
    pub const fn set_capacity(&mut self, capacity_bytes: usize) {
        self.capacity_bytes = capacity_bytes;
    }

    /// Adds a body of which nothing has come.
    pub fn begin(&mut self, now: Instant) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = LedgerEntry {
            held_bytes: 0,
            is_incomplete: true,
            progress_since: now,
            progress_bytes: 0,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Takes memory for further bytes of a body that will have `size_bytes` as far as is
    /// known. Returns the bodies that give way; their memory counts as free at once.
    ///
    /// # Errors
    ///
    /// There is too little memory, also without the bodies that rest.
    pub fn reserve(
        &mut self,
        now: Instant,
        id: BodyId,
        further_bytes: usize,
        size_bytes: usize,
    ) -> Result<Vec<BodyId>, LedgerFull> {
        let allowance_bytes = self.allowance_bytes(size_bytes);
        let needed_bytes =
            (self.used_bytes + further_bytes).saturating_sub(allowance_bytes);
        let evicted = self.resting(now, id, needed_bytes).ok_or(LedgerFull)?;
        for other in &evicted {
            self.end(*other);
        }
        // A body that gave way just now has none of its memory left.
        let body = self.bodies.get_mut(&id).ok_or(LedgerFull)?;
        body.held_bytes += further_bytes;
        self.used_bytes += further_bytes;
        Ok(evicted)
    }

    /// Counts bytes that came, whether or not they are held.
    pub fn record_progress(&mut self, now: Instant, id: BodyId, bytes: usize) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.progress_bytes += bytes;
        if body.progress_bytes >= PROGRESS_BYTES {
            body.progress_since = now;
            body.progress_bytes = 0;
        }
    }

    /// Marks a body as whole, and releases what it doesn't need of its memory.
    pub fn complete(&mut self, id: BodyId, held_bytes: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_incomplete = false;
            let unused_bytes = body.held_bytes.saturating_sub(held_bytes);
            body.held_bytes -= unused_bytes;
            self.used_bytes -= unused_bytes;
        }
    }

    /// Removes a body and releases its memory; has no effect if that has happened.
    pub fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.used_bytes -= body.held_bytes;
        }
    }

    /// Memory up to which bodies of a size may fill the ledger.
    const fn allowance_bytes(&self, size_bytes: usize) -> usize {
        let kept_percent = if size_bytes > LARGE_BYTES {
            LARGE_KEPT_PERCENT
        } else if size_bytes > MEDIUM_BYTES {
            MEDIUM_KEPT_PERCENT
        } else {
            0
        };
        self.capacity_bytes - self.capacity_bytes / 100 * kept_percent
    }

    /// Returns bodies that rest and hold this much together, the largest first; `None` if
    /// all that rest hold less.
    fn resting(
        &self,
        now: Instant,
        except: BodyId,
        needed_bytes: usize,
    ) -> Option<Vec<BodyId>> {
        if needed_bytes == 0 {
            return Some(Vec::new());
        }
        let resting = self.bodies.iter();
        let resting = resting.filter(|(id, body)| **id != except && body.rests(now));
        let mut resting: Vec<(usize, BodyId)> =
            resting.map(|(id, body)| (body.held_bytes, *id)).collect();
        resting.sort_unstable_by(|a, b| b.cmp(a));
        let mut freed_bytes = 0;
        let mut evicted = Vec::new();
        for (held_bytes, id) in resting {
            if freed_bytes >= needed_bytes {
                break;
            }
            freed_bytes += held_bytes;
            evicted.push(id);
        }
        (freed_bytes >= needed_bytes).then_some(evicted)
    }
}
