//! Memory for the bodies of requests, shared by all connections of a process.

use base::Instant;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

use crate::body_ledger::{BodyId, BodyLedger, LedgerFull};

/// Part of the capacity, in percent, below which memory no longer counts as short.
const REGAINED_PERCENT: usize = 50;

/// Memory for the bodies of requests.
#[derive(Debug)]
pub struct BodyMemory {
    state: Mutex<State>,
    /// Capacity whatever the size of a single body, and the one up to which it may grow
    /// for a single body, in bytes.
    capacity_bytes: usize,
    capacity_max_bytes: usize,
}

#[derive(Debug)]
struct State {
    ledger: BodyLedger,
    /// Cancelled when the body gives way.
    evictions: HashMap<BodyId, CancellationToken>,
    is_short: bool,
    /// What [`BodyMemory::pressure_change`] returned last.
    reported_short: bool,
    refused: u64,
    evicted: u64,
}

/// Whether memory for bodies is short, and what that led to since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPressure {
    /// Whether a body was refused or gave way since half of the memory was last free.
    pub is_short: bool,
    /// Memory that bodies take, and may take, in bytes.
    pub used_bytes: usize,
    /// See `used_bytes`.
    pub capacity_bytes: usize,
    /// Number of bodies that got no memory.
    pub refused: u64,
    /// Number of bodies that gave way.
    pub evicted: u64,
}

impl BodyMemory {
    /// Memory of `capacity_bytes`, and of up to `capacity_max_bytes` where a single body
    /// needs that.
    pub fn new(capacity_bytes: usize, capacity_max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                ledger: BodyLedger::new(capacity_bytes),
                evictions: HashMap::new(),
                is_short: false,
                reported_short: false,
                refused: 0,
                evicted: 0,
            }),
            capacity_bytes,
            capacity_max_bytes,
        })
    }

    /// Makes room for a body of the largest size that the configuration allows. Returns
    /// the largest one for which there is memory.
    pub fn fit(&self, body_max_bytes: usize) -> usize {
        let ledger = &mut self.state.lock().ledger;
        // One body fills all but the part that is kept for small ones.
        let needed_bytes = body_max_bytes.saturating_add(body_max_bytes / 2);
        let fitting = needed_bytes.min(self.capacity_max_bytes);
        ledger.set_capacity(fitting.max(self.capacity_bytes));
        body_max_bytes.min(ledger.body_max_bytes())
    }

    /// Begins a body of which nothing has come.
    pub fn begin(self: &Arc<Self>, now: Instant) -> BodyReservation {
        let evicted = CancellationToken::new();
        let mut state = self.state.lock();
        let id = state.ledger.begin(now);
        state.evictions.insert(id, evicted.clone());
        drop(state);
        BodyReservation {
            memory: Arc::clone(self),
            id,
            evicted,
            reserved_bytes: 0,
        }
    }

    /// Returns whether memory is short.
    pub fn pressure(&self) -> MemoryPressure {
        self.state.lock().pressure()
    }

    /// Returns whether memory is short if that has changed since the last call, so that
    /// the log has one line for each shortage.
    pub fn pressure_change(&self) -> Option<MemoryPressure> {
        let mut state = self.state.lock();
        let pressure = state.pressure();
        let before = std::mem::replace(&mut state.reported_short, pressure.is_short);
        (before != pressure.is_short).then_some(pressure)
    }
}

impl State {
    fn pressure(&mut self) -> MemoryPressure {
        let used_bytes = self.ledger.used_bytes();
        let capacity_bytes = self.ledger.capacity_bytes();
        if used_bytes <= capacity_bytes / 100 * REGAINED_PERCENT {
            self.is_short = false;
        }
        MemoryPressure {
            is_short: self.is_short,
            used_bytes,
            capacity_bytes,
            refused: self.refused,
            evicted: self.evicted,
        }
    }

    fn reserve(
        &mut self,
        now: Instant,
        id: BodyId,
        further_bytes: usize,
        size_bytes: usize,
    ) -> Result<(), LedgerFull> {
        let reserved = self.ledger.reserve(now, id, further_bytes, size_bytes);
        let Ok(evicted) = reserved else {
            self.is_short = true;
            self.refused += 1;
            return Err(LedgerFull);
        };
        self.is_short |= !evicted.is_empty();
        self.evicted += evicted.len() as u64;
        for other in evicted {
            if let Some(eviction) = self.evictions.remove(&other) {
                eviction.cancel();
            }
        }
        Ok(())
    }
}

/// Memory of one body; dropping it releases the memory.
#[derive(Debug)]
pub struct BodyReservation {
    memory: Arc<BodyMemory>,
    id: BodyId,
    evicted: CancellationToken,
    reserved_bytes: usize,
}

impl BodyReservation {
    /// Waits until the body has to give way.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Counts bytes that came, and takes memory so that `held_bytes` of a body of
    /// `size_bytes` can be held.
    ///
    /// # Errors
    ///
    /// There is too little memory.
    pub fn grow(
        &mut self,
        now: Instant,
        came_bytes: usize,
        held_bytes: usize,
        size_bytes: usize,
    ) -> Result<(), LedgerFull> {
        let mut state = self.memory.state.lock();
        state.ledger.record_progress(now, self.id, came_bytes);
        if held_bytes > self.reserved_bytes {
            let further_bytes = held_bytes - self.reserved_bytes;
            state.reserve(now, self.id, further_bytes, size_bytes)?;
            self.reserved_bytes = held_bytes;
        }
        Ok(())
    }

    /// Marks the body as whole: it gives way no more.
    pub fn complete(&mut self, held_bytes: usize) {
        let mut state = self.memory.state.lock();
        state.ledger.complete(self.id, held_bytes);
        state.evictions.remove(&self.id);
        self.reserved_bytes = held_bytes;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let mut state = self.memory.state.lock();
        state.ledger.end(self.id);
        state.evictions.remove(&self.id);
    }
}
