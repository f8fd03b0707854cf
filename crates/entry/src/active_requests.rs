//! The table of requests in progress, and the memory that their bodies may use.

use base::RequestId;
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::response_queue::ResponseQueue;

/// Number of shards of the table; each has its own lock.
const SHARDS: usize = 16;

/// Limit on the memory of all request bodies together, in KiB. Each body has its
/// own limit, but the number of callers has none: many callers that send large
/// bodies slowly could otherwise exhaust the instance's memory before the state
/// machine sees any of their requests.
const BODY_MEMORY_MAX_KIB: usize = 256 << 10;

/// Memory reserved for one request body; dropping it releases the reservation.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    permit: OwnedSemaphorePermit,
}

impl BodyMemory {
    /// Releases what the received body of `bytes` did not need.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let unused = self.permit.num_permits().saturating_sub(ceil_kib(bytes));
        drop(self.permit.split(unused));
    }
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    /// Body for the upstream, kept until the request ends since a retry sends
    /// it again.
    pub(crate) body: Bytes,
    /// Reservation of the body's memory, released when the request is dropped.
    _body_memory: BodyMemory,
    /// Queue of the response's parts.
    pub(crate) queue: ResponseQueue,
}

impl ActiveRequest {
    /// A request that has received no part of its answer.
    pub(crate) const fn new(
        body: Bytes,
        body_memory: BodyMemory,
        queue: ResponseQueue,
    ) -> Self {
        Self {
            body,
            _body_memory: body_memory,
            queue,
        }
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
    body_memory: Arc<Semaphore>,
}

impl ActiveRequests {
    /// An empty table.
    pub(crate) fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(HashMap::new())),
            body_memory: Arc::new(Semaphore::new(BODY_MEMORY_MAX_KIB)),
        }
    }

    /// Reserves memory for a body of at most `bytes`; `None` if too little is left.
    pub(crate) fn reserve_body_memory(&self, bytes: usize) -> Option<BodyMemory> {
        let kib = u32::try_from(ceil_kib(bytes)).ok()?;
        let permit = self.body_memory.clone().try_acquire_many_owned(kib).ok()?;
        Some(BodyMemory { permit })
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

const fn ceil_kib(bytes: usize) -> usize {
    bytes.div_ceil(1_024)
}
