//! Queues of requests that wait for a model or an upstream.

use base::prelude::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::resolve::Resource;

/// Position in a queue, ordered by priority, then deadline, then arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub(crate) priority: Reverse<u32>,
    pub(crate) deadline: Instant,
    pub(crate) request: RequestId,
}

/// Result of [`WaitQueue::enqueue`].
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum EnqueueResult {
    /// The request was added.
    Added,
    /// The request was added, and this less urgent one removed, which the caller of
    /// `enqueue` has to refuse.
    Evicted(RequestId),
    /// The queue is full of requests that are as urgent or more.
    Full,
}

/// The waiting requests of all shards, with one queue per model and service.
///
/// The total length is bounded. Otherwise the requests for a model that can't be
/// loaded would use up the memory, though they will miss their deadlines anyway.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queues: BTreeMap<Resource, BTreeMap<QueuePosition, Instant>>,
    /// Positions of all queues; the last is the first to be evicted.
    positions: BTreeMap<QueuePosition, Resource>,
}

impl WaitQueue {
    /// Adds a request; if the queue is full, a request of lower priority is evicted.
    /// Otherwise a burst of batch requests would cause interactive ones to be
    /// refused.
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

    /// Removes a request.
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

    /// The first `count` positions of a queue.
    pub(crate) fn head(&self, resource: &Resource, count: usize) -> Vec<QueuePosition> {
        let queue = self.queues.get(resource);
        let positions = queue.into_iter().flat_map(|queue| queue.keys());
        positions.take(count).copied().collect()
    }

    /// Number of requests ahead of a position in a queue.
    pub(crate) fn count_ahead(
        &self,
        resource: &Resource,
        position: &QueuePosition,
    ) -> u32 {
        let queue = self.queues.get(resource);
        let ahead = queue.map_or(0, |queue| queue.range(..position).count());
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Models and services with waiting requests.
    pub(crate) fn resources(&self) -> BTreeSet<Resource> {
        self.queues.keys().cloned().collect()
    }

    /// Models with waiting requests.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.queues.keys().filter_map(Resource::model)
    }

    /// Number of requests in a queue, and since when the oldest has been waiting.
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

    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.positions.len()
    }
}
