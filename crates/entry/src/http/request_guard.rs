//! The guard that cancels a request when its caller disconnects.

use base::RequestId;
use role::entry::EntryEvent;
use std::sync::Arc;

use crate::active_requests::ActiveRequest;
use crate::driver::Driver;
use crate::response_queue::ResponseQueue;

/// A request in progress, owned by the future or body that writes its response.
///
/// hyper drops that future or body, and this guard with it, when the caller's
/// connection ends. Without the guard, an engine would go on generating for a
/// caller that has disconnected, and the request would keep a batch slot until
/// the end of its answer.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    driver: Arc<Driver>,
    request: RequestId,
    active: Arc<ActiveRequest>,
}

impl RequestGuard {
    /// Adds a request to the table of requests in progress.
    pub(crate) fn register(
        driver: Arc<Driver>,
        request: RequestId,
        active: ActiveRequest,
    ) -> Self {
        let active = Arc::new(active);
        driver
            .active_requests()
            .insert(request, Arc::clone(&active));
        Self {
            driver,
            request,
            active,
        }
    }

    /// The queue of the response's parts.
    pub(crate) fn queue(&self) -> &ResponseQueue {
        &self.active.queue
    }

    /// The request's id.
    pub(crate) const fn request(&self) -> RequestId {
        self.request
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        // Removed from the table before the state machine gets the event. A
        // `Run` that another thread is about to send is then not sent, and
        // can't reach the agent after the `Cancel`.
        if self.driver.active_requests().remove(self.request).is_some() {
            self.driver.handle_event(EntryEvent::CallerDisconnected {
                request: self.request,
            });
        }
    }
}
