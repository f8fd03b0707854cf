//! Streams whose origin this entry knows or is looking for.

use base::prelude::*;
use direct::{StreamId, StreamOrigin, StreamOrigins};
use parking_lot::Mutex;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use tokio::sync::Notify;

use crate::origin_proof::IncarnationQuestions;

/// Origins of streams, and the searches for others.
#[derive(Debug, Default)]
pub(crate) struct StreamOriginTable {
    pub(crate) known: Mutex<StreamOrigins>,
    searches: Mutex<HashMap<StreamId, Search>>,
    /// Notified when an entry has answered.
    pub(crate) answered: Notify,
    /// Questions to the upstreams of streams.
    pub(crate) questions: IncarnationQuestions,
}

/// A search for the origin of one stream.
#[derive(Debug, Default)]
struct Search {
    /// Number of requests that wait for the result.
    waiting: usize,
    /// Entries that don't know the stream.
    unknown_at: BTreeSet<SocketAddr>,
}

/// A request's part in a search. Dropping it ends the part.
#[derive(Debug)]
pub(crate) struct SearchGuard<'a> {
    table: &'a StreamOriginTable,
    id: StreamId,
}

impl StreamOriginTable {
    /// Returns where a stream began, if this entry knows it.
    pub(crate) fn get(&self, now: Instant, id: StreamId) -> Option<StreamOrigin> {
        let known = self.known.lock();
        known.get(now, id).map(|(origin, _)| origin.clone())
    }

    /// Begins to look for the origin of a stream, or joins a search.
    pub(crate) fn search(&self, id: StreamId) -> SearchGuard<'_> {
        self.searches.lock().entry(id).or_default().waiting += 1;
        SearchGuard { table: self, id }
    }

    /// Records that an entry doesn't know a stream.
    pub(crate) fn unknown_at(&self, id: StreamId, entry: SocketAddr) {
        if let Some(search) = self.searches.lock().get_mut(&id) {
            search.unknown_at.insert(entry);
        }
    }
}

impl SearchGuard<'_> {
    /// Returns those of `entries` that have not answered yet.
    pub(crate) fn unanswered(&self, entries: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let searches = self.table.searches.lock();
        let Some(search) = searches.get(&self.id) else {
            return entries;
        };
        let mut entries = entries;
        entries.retain(|entry| !search.unknown_at.contains(entry));
        entries
    }
}

impl Drop for SearchGuard<'_> {
    fn drop(&mut self) {
        let mut searches = self.table.searches.lock();
        if let Some(search) = searches.get_mut(&self.id) {
            search.waiting -= 1;
            if search.waiting == 0 {
                searches.remove(&self.id);
            }
        }
    }
}
