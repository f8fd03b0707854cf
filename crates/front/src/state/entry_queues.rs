//! Requests that wait at this entry for a place at an engine, by service.

use base::prelude::*;
use direct::{Place, PlaceDecision, WaitCheck, WaitQueue, WaiterId, WaitingRequest};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Notify;

/// The queues of all services.
#[derive(Debug, Default)]
pub(crate) struct EntryQueues {
    by_service: Mutex<BTreeMap<Arc<str>, ServiceQueue>>,
}

/// The queue of one service, and what wakes its requests.
#[derive(Debug, Default)]
struct ServiceQueue {
    queue: WaitQueue,
    woken: BTreeMap<WaiterId, Arc<Notify>>,
}

impl ServiceQueue {
    fn wake(&self, ids: impl IntoIterator<Item = WaiterId>) {
        for woken in ids.into_iter().filter_map(|id| self.woken.get(&id)) {
            woken.notify_one();
        }
    }
}

impl EntryQueues {
    /// Returns whether a request that has not waited takes a place at once.
    pub(crate) fn takes_at_once(
        &self,
        now: Instant,
        service: &Arc<str>,
        request: &WaitingRequest,
        place: &Place<'_>,
    ) -> bool {
        let mut queues = self.by_service.lock();
        let service_queue = queues.entry(Arc::clone(service)).or_default();
        service_queue.queue.takes_at_once(now, request, place)
    }

    /// Adds a request. Returns its id and what wakes it.
    ///
    /// # Errors
    ///
    /// The queue is full of requests before it; its caller should come back after the
    /// returned time in milliseconds.
    pub(crate) fn join(
        &self,
        now: Instant,
        service: &Arc<str>,
        request: WaitingRequest,
        random: u64,
    ) -> Result<(WaiterId, Arc<Notify>), u64> {
        let mut queues = self.by_service.lock();
        let service_queue = queues.entry(Arc::clone(service)).or_default();
        let id = service_queue.queue.join(now, request, random)?;
        let woken = Arc::<Notify>::default();
        service_queue.woken.insert(id, Arc::clone(&woken));
        service_queue.wake(service_queue.queue.displaced());
        Ok((id, woken))
    }

    /// Removes a request.
    pub(crate) fn leave(&self, service: &str, id: WaiterId) {
        if let Some(service_queue) = self.by_service.lock().get_mut(service) {
            service_queue.queue.leave(id);
            service_queue.woken.remove(&id);
        }
    }

    /// Decides what a waiting request does.
    pub(crate) fn decide(
        &self,
        now: Instant,
        service: &str,
        id: WaiterId,
        check: &WaitCheck<'_>,
    ) -> PlaceDecision {
        let mut queues = self.by_service.lock();
        match queues.get_mut(service) {
            Some(service_queue) => service_queue.queue.decide(now, id, check),
            None => PlaceDecision::Refuse(0),
        }
    }

    /// Wakes the first requests that wait for an engine, which has less left to
    /// prefill.
    pub(crate) fn wake(&self, now: Instant, upstream: &str) {
        for service_queue in self.by_service.lock().values() {
            if !service_queue.queue.is_empty() {
                service_queue.wake(service_queue.queue.to_wake(now, upstream));
            }
        }
    }

    /// Removes the empty queues of services that the configuration no longer names.
    pub(crate) fn retain(&self, is_named: impl Fn(&str) -> bool) {
        self.by_service.lock().retain(|service, service_queue| {
            is_named(service) || !service_queue.queue.is_empty()
        });
    }
}
