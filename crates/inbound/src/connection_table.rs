//! Bounds the number of connections of a listener.

use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

use crate::Activity;

/// Number of connections beyond the limit that may be giving way at a time.
const CLOSING_MAX: usize = 32;

/// Interval at which a place is looked for.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// All connections are in use, or are giving way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableFull;

/// A connection that gives way, by what it waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Eviction {
    /// Name of what it waited for, for metrics.
    pub phase: &'static str,
}

/// Whether the places of a table are all taken, and what that led to since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableUse {
    /// Whether a connection gave way or found no place since half of the places were last
    /// free.
    pub is_full: bool,
    /// Number of connections, and of places.
    pub open: usize,
    /// See `open`.
    pub max: usize,
    /// Number of connections that gave way.
    pub evicted: u64,
    /// Number of times that a connection found no place.
    pub refused: u64,
}

/// The connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    max: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    connections: HashMap<u64, Activity>,
    next_id: u64,
    is_full: bool,
    /// What [`ConnectionTable::use_change`] returned last.
    reported_full: bool,
    evicted: u64,
    refused: u64,
}

impl ConnectionTable {
    /// A table of at most `max` connections.
    pub fn new(max: usize) -> Arc<Self> {
        Arc::new(Self {
            max,
            state: Mutex::default(),
        })
    }

    /// Admits a new connection. If the table is full, the connection that has rested
    /// longest gives way; its owner closes it on [`Activity::evicted`].
    ///
    /// # Errors
    ///
    /// No connection rests, or too many are still giving way.
    pub fn admit(
        self: &Arc<Self>,
    ) -> Result<(ConnectionPermit, Option<Eviction>), TableFull> {
        let mut state = self.state.lock();
        let eviction = if state.connections.len() >= self.max {
            Some(self.evict_one(&mut state)?)
        } else {
            None
        };
        let id = state.next_id;
        state.next_id += 1;
        let activity = Activity::default();
        state.connections.insert(id, activity.clone());
        let permit = ConnectionPermit {
            table: Arc::clone(self),
            id,
            activity,
        };
        Ok((permit, eviction))
    }

    /// As [`Self::admit`], and waits for a place. Meanwhile others wait in the listener's
    /// backlog, so this is for listeners whose requests take no time.
    pub async fn admit_when_free(
        self: &Arc<Self>,
    ) -> (ConnectionPermit, Option<Eviction>) {
        loop {
            match self.admit() {
                Ok(admitted) => return admitted,
                Err(TableFull) => sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Returns the use of the table if it has become full or no longer is since the last
    /// call, so that the log has one line for each time.
    pub fn use_change(&self) -> Option<TableUse> {
        let mut state = self.state.lock();
        let open = state.connections.len();
        if open <= self.max / 2 {
            state.is_full = false;
        }
        let is_full = state.is_full;
        let before = std::mem::replace(&mut state.reported_full, is_full);
        (before != is_full).then_some(TableUse {
            is_full,
            open,
            max: self.max,
            evicted: state.evicted,
            refused: state.refused,
        })
    }

    fn evict_one(&self, state: &mut State) -> Result<Eviction, TableFull> {
        state.is_full = true;
        let eviction = self.evict_longest_resting(state);
        match eviction {
            Ok(_) => state.evicted += 1,
            Err(TableFull) => state.refused += 1,
        }
        eviction
    }

    /// Makes the connection give way that has rested longest.
    fn evict_longest_resting(&self, state: &State) -> Result<Eviction, TableFull> {
        if state.connections.len() >= self.max + CLOSING_MAX {
            return Err(TableFull);
        }
        let now = Instant::now();
        let open = state.connections.values();
        let resting = open
            .filter(|activity| !activity.is_evicted())
            .filter_map(|activity| Some((activity.may_give_way(now)?, activity)));
        let longest = resting.max_by_key(|((_, rested), _)| *rested);
        let ((rest, _), activity) = longest.ok_or(TableFull)?;
        activity.evict();
        Ok(Eviction {
            phase: rest.as_str(),
        })
    }
}

/// The place of a connection in its table; dropping it frees the place.
#[derive(Debug)]
pub struct ConnectionPermit {
    table: Arc<ConnectionTable>,
    id: u64,
    activity: Activity,
}

impl ConnectionPermit {
    /// Activity of the connection, which its owner has to keep up to date.
    pub const fn activity(&self) -> &Activity {
        &self.activity
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.table.state.lock().connections.remove(&self.id);
    }
}
