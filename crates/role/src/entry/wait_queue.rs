//! Requests that wait for a model or an upstream.

use base::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::resolve::Resource;

/// Order in a queue: priority, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub(crate) priority: Reverse<u32>,
    pub(crate) deadline: Instant,
    pub(crate) request: RequestId,
}

/// What happened to a request that asked to wait.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EnqueueResult {
    /// It waits.
    Added,
    /// It waits in the position of another, which has to be refused.
    Evicted(RequestId),
    /// There is no room.
    Full,
}

/// The waiting requests of all shards, with one queue for each model.
///
/// Bounded over all queues: without a bound a model that can't be loaded would
/// fill the memory with requests that are late anyway.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queues: BTreeMap<Resource, BTreeMap<QueuePosition, Instant>>,
    /// All positions, the one to give up first at the end.
    positions: BTreeMap<QueuePosition, Resource>,
}

impl WaitQueue {
    /// Adds a request, at the cost of a less urgent one when all positions are
    /// taken: otherwise a burst of overnight work would have desk work refused.
    pub(crate) fn enqueue(
        &mut self,
        resource: &Resource,
        position: QueuePosition,
        since: Instant,
        max: usize,
    ) -> EnqueueResult {
        let mut queued = EnqueueResult::Added;
        if self.positions.len() >= max {
            let last = self.positions.last_key_value().map(|(last, _)| *last);
            let Some(last) = last.filter(|last| last.priority > position.priority)
            else {
                return EnqueueResult::Full;
            };
            self.remove(last);
            queued = EnqueueResult::Evicted(last.request);
        }
        self.positions.insert(position, resource.clone());
        let queue = self.queues.entry(resource.clone()).or_default();
        queue.insert(position, since);
        queued
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, position: QueuePosition) {
        let Some(resource) = self.positions.remove(&position) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&resource) {
            queue.remove(&position);
            if queue.is_empty() {
                self.queues.remove(&resource);
            }
        }
    }

    /// The first positions of a queue.
    pub(crate) fn head(&self, resource: &Resource, count: usize) -> Vec<QueuePosition> {
        let queue = self.queues.get(resource);
        let positions = queue.into_iter().flat_map(|queue| queue.keys());
        positions.take(count).copied().collect()
    }

    /// Requests that go before a position in its queue.
    pub(crate) fn count_ahead(
        &self,
        resource: &Resource,
        position: &QueuePosition,
    ) -> u32 {
        let queue = self.queues.get(resource);
        let ahead = queue.map_or(0, |queue| queue.range(..position).count());
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Everything that is waited for.
    pub(crate) fn resources(&self) -> BTreeSet<Resource> {
        self.queues.keys().cloned().collect()
    }

    /// Models waited for.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.queues.keys().filter_map(Resource::model)
    }

    /// Number waiting for one thing, and since when the oldest does.
    pub(crate) fn depth_and_oldest(
        &self,
        resource: &Resource,
    ) -> (u32, Option<Instant>) {
        let Some(queue) = self.queues.get(resource) else {
            return (0, None);
        };
        let count = u32::try_from(queue.len()).unwrap_or(u32::MAX);
        (count, queue.values().min().copied())
    }

    /// Number waiting.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }
}
