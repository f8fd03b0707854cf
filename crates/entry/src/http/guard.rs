//! The guard that gives a request up when its caller is gone.

use base::RequestId;
use role::entry::EntryEvent;
use std::sync::Arc;

use crate::calls::Call;
use crate::node::Node;
use crate::reply::Reply;

/// A request in progress, held by whoever will write its answer.
///
/// hyper drops the answer's future or body when the caller's connection ends,
/// and with it this guard. An engine would otherwise go on for a caller that is
/// gone, and keep a place in its batch until the answer's end.
#[derive(Debug)]
pub(crate) struct InProgress {
    node: Arc<Node>,
    request: RequestId,
    call: Arc<Call>,
}

impl InProgress {
    /// Takes a request into the table.
    pub(crate) fn begin(node: Arc<Node>, request: RequestId, call: Call) -> Self {
        let call = Arc::new(call);
        node.calls().add(request, Arc::clone(&call));
        Self {
            node,
            request,
            call,
        }
    }

    /// The answer.
    pub(crate) fn reply(&self) -> &Reply {
        &self.call.reply
    }

    /// The request.
    pub(crate) const fn request(&self) -> RequestId {
        self.request
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        // Removed from the table before the machine is told: a `Run` that
        // another thread is about to send is then held back, and does not reach
        // the agent behind the `Cancel`.
        if self.node.calls().remove(self.request).is_some() {
            self.node.tell(EntryEvent::CallerDisconnected {
                request: self.request,
            });
        }
    }
}
