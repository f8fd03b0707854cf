//! The upstreams that a request was attempted at.

use std::sync::Arc;

/// The upstreams that were attempted for one request.
#[derive(Debug, Default)]
pub(crate) struct AttemptedUpstreams {
    /// Those that the request was sent to.
    pub(crate) sent_to: Vec<Arc<str>>,
    /// Those that could not be connected to.
    pub(super) unreachable: Vec<Arc<str>>,
}

impl AttemptedUpstreams {
    /// Returns all attempted upstreams.
    pub(crate) fn all(&self) -> Vec<Arc<str>> {
        let all = self.sent_to.iter().chain(&self.unreachable);
        all.cloned().collect()
    }
}
