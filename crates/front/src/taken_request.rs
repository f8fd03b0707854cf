//! Requests that were taken from a caller and have no line in the log yet.

use serde_json::json;
use std::sync::Arc;

use crate::state::Node;

/// A request from its head until its dispatch begins or it is refused.
///
/// If its connection ends meanwhile, dropping this logs the request. Otherwise nothing
/// would be known of a request whose body had not arrived, or that waited for a
/// configuration or a quota.
#[derive(Debug)]
pub(crate) struct TakenRequest {
    node: Arc<Node>,
    id: String,
    is_logged: bool,
}

impl TakenRequest {
    pub(crate) fn new(node: &Arc<Node>, id: &str) -> Self {
        Self {
            node: Arc::clone(node),
            id: id.to_owned(),
            is_logged: false,
        }
    }

    /// Ends this part: another line tells the end of the request.
    pub(crate) fn logged_elsewhere(mut self) {
        self.is_logged = true;
    }
}

impl Drop for TakenRequest {
    fn drop(&mut self) {
        if self.is_logged {
            return;
        }
        let outcome = self.node.unfinished_outcome();
        let labels = ["", outcome];
        let ended = &self.node.metrics.requests_ended;
        ended.with_label_values(&labels).inc();
        let setup = self.node.config().map(|config| config.version);
        self.node.log.caller_line(
            "unfinished",
            json!({ "id": self.id, "outcome": outcome, "setup": setup }),
        );
    }
}
