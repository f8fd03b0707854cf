//! Requests that wait for a model or an upstream.

use base::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::wanted::Wanted;

/// Order in a queue: priority, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub(crate) priority: Reverse<u32>,
    pub(crate) deadline: Instant,
    pub(crate) request: RequestId,
}

/// What happened to a request that asked to wait.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Queued {
    /// It waits.
    Yes,
    /// It waits in the place of another, which has to be refused.
    Instead(RequestId),
    /// There is no room.
    Full,
}

/// The waiting requests of all shards, with one queue for each model.
///
/// Bounded over all queues: without a bound a model that can't be loaded would
/// fill the memory with requests that are late anyway.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    queues: BTreeMap<Wanted, BTreeMap<Place, Instant>>,
    /// All places, the one to give up first at the end.
    all: BTreeMap<Place, Wanted>,
}

impl Waiting {
    /// Adds a request, at the cost of a less urgent one when all places are
    /// taken: otherwise a burst of overnight work would have desk work refused.
    pub(crate) fn add(
        &mut self,
        wanted: &Wanted,
        place: Place,
        since: Instant,
        max: usize,
    ) -> Queued {
        let mut queued = Queued::Yes;
        if self.all.len() >= max {
            let last = self.all.last_key_value().map(|(last, _)| *last);
            let Some(last) = last.filter(|last| last.priority > place.priority) else {
                return Queued::Full;
            };
            self.remove(last);
            queued = Queued::Instead(last.request);
        }
        self.all.insert(place, wanted.clone());
        let queue = self.queues.entry(wanted.clone()).or_default();
        queue.insert(place, since);
        queued
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, place: Place) {
        let Some(wanted) = self.all.remove(&place) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&wanted) {
            queue.remove(&place);
            if queue.is_empty() {
                self.queues.remove(&wanted);
            }
        }
    }

    /// The first places of a queue.
    pub(crate) fn first(&self, wanted: &Wanted, count: usize) -> Vec<Place> {
        let queue = self.queues.get(wanted);
        let places = queue.into_iter().flat_map(|queue| queue.keys());
        places.take(count).copied().collect()
    }

    /// Requests that go before a place in its queue.
    pub(crate) fn ahead(&self, wanted: &Wanted, place: &Place) -> u32 {
        let queue = self.queues.get(wanted);
        let ahead = queue.map_or(0, |queue| queue.range(..place).count());
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Everything that is waited for.
    pub(crate) fn wanted(&self) -> BTreeSet<Wanted> {
        self.queues.keys().cloned().collect()
    }

    /// Models waited for.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.queues.keys().filter_map(Wanted::model)
    }

    /// Number waiting for one thing, and since when the oldest does.
    pub(crate) fn queue(&self, wanted: &Wanted) -> (u32, Option<Instant>) {
        let Some(queue) = self.queues.get(wanted) else {
            return (0, None);
        };
        let count = u32::try_from(queue.len()).unwrap_or(u32::MAX);
        (count, queue.values().min().copied())
    }

    /// Number waiting.
    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }
}
