//! Requests in progress.

use base::RequestId;
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::reply::Reply;

/// Parts of the table, each under its own lock.
const SHARDS: usize = 16;

/// Room for the bodies of all requests, in KiB. Each body has its own bound, but
/// the number of callers has none: many that send large bodies slowly could
/// otherwise use up the instance's memory before the machine sees one request.
const BODIES_MAX_KIB: usize = 256 << 10;

/// Room taken by one body; dropping it gives the room back.
#[derive(Debug)]
pub(crate) struct BodyRoom {
    permit: OwnedSemaphorePermit,
}

impl BodyRoom {
    /// Gives back what a body of unknown length did not need.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let unused = self.permit.num_permits().saturating_sub(kib(bytes));
        drop(self.permit.split(unused));
    }
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct Call {
    /// Body for the upstream, kept until the end since it may be sent again.
    pub(crate) body: Bytes,
    /// Room that the body takes, given back with the request.
    _room: BodyRoom,
    /// The answer.
    pub(crate) reply: Reply,
}

impl Call {
    /// A request of which no answer has come.
    pub(crate) const fn new(body: Bytes, room: BodyRoom, reply: Reply) -> Self {
        Self {
            body,
            _room: room,
            reply,
        }
    }
}

/// The requests in progress, by name.
///
/// Whoever removes a request from the table ends it: the machine's last word,
/// a broken answer and the caller's going may come at once, and only the first
/// counts.
#[derive(Debug)]
pub(crate) struct Calls {
    shards: [Mutex<HashMap<RequestId, Arc<Call>>>; SHARDS],
    bodies: Arc<Semaphore>,
}

impl Calls {
    /// No requests.
    pub(crate) fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(HashMap::new())),
            bodies: Arc::new(Semaphore::new(BODIES_MAX_KIB)),
        }
    }

    /// Takes room for a body of at most `bytes`; `None` if there is none left.
    pub(crate) fn room(&self, bytes: usize) -> Option<BodyRoom> {
        let room = u32::try_from(kib(bytes)).ok()?;
        let permit = self.bodies.clone().try_acquire_many_owned(room).ok()?;
        Some(BodyRoom { permit })
    }

    /// Adds a request.
    pub(crate) fn add(&self, request: RequestId, call: Arc<Call>) {
        self.shard(request).lock().insert(request, call);
    }

    /// Finds a request that has not ended.
    pub(crate) fn get(&self, request: RequestId) -> Option<Arc<Call>> {
        self.shard(request).lock().get(&request).cloned()
    }

    /// Removes a request; `None` if somebody else did so before.
    pub(crate) fn remove(&self, request: RequestId) -> Option<Arc<Call>> {
        self.shard(request).lock().remove(&request)
    }

    /// Calls `then` if the request has not ended, and keeps it from ending
    /// meanwhile.
    pub(crate) fn while_open<T>(
        &self,
        request: RequestId,
        then: impl FnOnce() -> T,
    ) -> Option<T> {
        let shard = self.shard(request).lock();
        shard.contains_key(&request).then(then)
    }

    /// Number of requests.
    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    fn shard(&self, request: RequestId) -> &Mutex<HashMap<RequestId, Arc<Call>>> {
        // The machine's own shards use the low bits as well, so neighbours in
        // sequence spread over the table.
        let index = usize::try_from(request.sequence % SHARDS as u64);
        &self.shards[index.expect("a remainder of 16 fits")]
    }
}

const fn kib(bytes: usize) -> usize {
    bytes.div_ceil(1_024)
}
