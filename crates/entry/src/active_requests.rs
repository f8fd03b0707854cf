//! The table of requests in progress.

use base::RequestId;
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

use crate::response_queue::ResponseQueue;

/// Number of shards of the table; each has its own lock.
const SHARDS: usize = 16;

/// A request in progress.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// Body for the upstream, kept until the request ends since a retry sends
    /// it again. It holds its memory until it is dropped.
    pub(crate) body: Bytes,
    /// Queue of the response's parts.
    pub(crate) queue: ResponseQueue,
}

impl ActiveRequest {
    /// A request that has received no part of its answer.
    pub(crate) const fn new(body: Bytes, queue: ResponseQueue) -> Self {
        Self { body, queue }
    }
}

/// The requests in progress, by id.
///
/// Whoever removes a request from the table ends it. The end reported by the
/// state machine, an aborted response and the caller's disconnection may happen
/// at the same time; only the first takes effect.
#[derive(Debug)]
pub(crate) struct ActiveRequests {
    shards: [Mutex<HashMap<RequestId, Arc<ActiveRequest>>>; SHARDS],
}

impl ActiveRequests {
    /// An empty table.
    pub(crate) fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(HashMap::new())),
        }
    }

    /// Adds a request to the table.
    pub(crate) fn insert(&self, request: RequestId, active: Arc<ActiveRequest>) {
        self.shard(request).lock().insert(request, active);
    }

    /// Returns a request that has not ended.
    pub(crate) fn get(&self, request: RequestId) -> Option<Arc<ActiveRequest>> {
        self.shard(request).lock().get(&request).cloned()
    }

    /// Removes a request; `None` if it was removed before.
    pub(crate) fn remove(&self, request: RequestId) -> Option<Arc<ActiveRequest>> {
        self.shard(request).lock().remove(&request)
    }

    /// Calls `action` if the request has not ended. The request can't end during
    /// the call, as its shard stays locked.
    pub(crate) fn with_active<T>(
        &self,
        request: RequestId,
        action: impl FnOnce() -> T,
    ) -> Option<T> {
        let shard = self.shard(request).lock();
        shard.contains_key(&request).then(action)
    }

    /// Number of requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    fn shard(
        &self,
        request: RequestId,
    ) -> &Mutex<HashMap<RequestId, Arc<ActiveRequest>>> {
        // Consecutive sequence numbers fall into different shards. The state
        // machine shards by the low bits as well.
        let index = usize::try_from(request.sequence % SHARDS as u64);
        &self.shards[index.expect("a remainder of 16 fits")]
    }
}
