//! What operators see of an entry.

use line::{Event, EventFilter};
use oper::{OperatorApi, ProcessUsage};
use role::entry::EntryEvent;
use std::sync::Arc;

use crate::metrics::{self, Seen};
use crate::node::Node;

/// An entry behind its operators' listener.
#[derive(Debug)]
pub(crate) struct OperatedEntry {
    node: Arc<Node>,
}

impl OperatedEntry {
    /// The view on a node.
    pub(crate) const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl OperatorApi for OperatedEntry {
    fn ready(&self) -> bool {
        self.node.is_ready()
    }

    fn status(&self) -> serde_json::Value {
        let status = serde_json::to_value(self.node.role().status());
        status.unwrap_or(serde_json::Value::Null)
    }

    fn metrics(&self) -> String {
        let seen = Seen {
            counters: self.node.role().counters(),
            links_up: self.node.links().up(),
            in_progress: self.node.calls().len(),
            revision: self.node.role().revision(),
            ready: self.node.is_ready(),
            process: ProcessUsage::read(),
        };
        metrics::text(self.node.meters(), &seen)
    }

    fn timeline(&self, filter: &EventFilter) -> Vec<Event> {
        self.node.recorder().events(filter)
    }

    fn explain_model(&self, model: &str) -> Vec<String> {
        self.node.role().explain_model(model)
    }

    fn drain(&self) {
        self.node.tell(EntryEvent::Drain);
    }
}
