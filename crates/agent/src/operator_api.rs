//! What operators see of an agent.

use line::{Event, EventFilter};
use oper::OperatorApi;
use role::agent::{AgentEvent, AgentStatus};
use std::sync::Arc;

use crate::driver::Node;
use crate::metrics::{self, Seen};

/// Newest events told in an explanation.
const EVENTS_TOLD: usize = 20;

/// An agent behind its operators' listener.
#[derive(Debug)]
pub(crate) struct OperatedAgent {
    node: Arc<Node>,
}

impl OperatedAgent {
    /// The view on a node.
    pub(crate) const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl OperatorApi for OperatedAgent {
    fn ready(&self) -> bool {
        self.node.is_ready()
    }

    fn status(&self) -> serde_json::Value {
        let status = self.node.role().status();
        serde_json::to_value(status).unwrap_or(serde_json::Value::Null)
    }

    fn metrics(&self) -> String {
        let (counters, status) = {
            let role = self.node.role();
            (role.counters(), role.status())
        };
        let seen = Seen {
            counters,
            status,
            links_up: self.node.links().up(),
            attempts: self.node.attempts().len(),
            ready: self.node.is_ready(),
        };
        metrics::text(self.node.meters(), &seen)
    }

    fn timeline(&self, filter: &EventFilter) -> Vec<Event> {
        self.node.timeline(filter)
    }

    fn explain_model(&self, model: &str) -> Vec<String> {
        let status = self.node.role().status();
        let filter = EventFilter {
            model: Some(model.to_owned()),
            ..EventFilter::default()
        };
        let events = self.node.timeline(&filter);
        let newest = events.len().saturating_sub(EVENTS_TOLD);
        let mut lines = held(&status, model);
        lines.extend(events[newest..].iter().map(line::render));
        lines
    }

    fn drain(&self) {
        self.node.tell(AgentEvent::Drain);
    }
}

/// Where the model is and which orders for it may still take effect.
fn held(status: &AgentStatus, model: &str) -> Vec<String> {
    let mut lines = Vec::new();
    for (index, accelerator) in status.accelerators.iter().enumerate() {
        let version_of = |held: &&String| {
            let name = held.rsplit_once('@').map(|(name, _)| name);
            name == Some(model)
        };
        for resident in accelerator.residents.iter().filter(version_of) {
            lines.push(format!("{resident} is on accelerator {index}"));
        }
    }
    if lines.is_empty() {
        lines.push(format!("{model} is on no accelerator"));
    }
    for order in status.orders.iter().filter(|order| order.model == model) {
        lines.push(format!(
            "order {} of epoch {} to {} version {} on accelerator {} may still take \
             effect; given {} times",
            order.order,
            order.epoch,
            order.kind,
            order.version,
            order.accelerator,
            order.sends
        ));
    }
    lines
}
