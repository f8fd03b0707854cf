//! The operators' API of an agent.

use line::{Event, EventFilter};
use oper::OperatorApi;
use role::agent::{AgentEvent, AgentStatus};
use std::sync::Arc;

use crate::driver::AgentDriver;
use crate::metrics::{self, MetricsSnapshot};

/// Maximum number of timeline events in the explanation of a model.
const EXPLAIN_EVENTS_MAX: usize = 20;

/// Answers operators' requests from the driver's state.
#[derive(Debug)]
pub(crate) struct AgentOperatorApi {
    driver: Arc<AgentDriver>,
}

impl AgentOperatorApi {
    /// Creates the API of an agent.
    pub(crate) const fn new(driver: Arc<AgentDriver>) -> Self {
        Self { driver }
    }
}

impl OperatorApi for AgentOperatorApi {
    fn ready(&self) -> bool {
        self.driver.is_ready()
    }

    fn status(&self) -> serde_json::Value {
        let status = self.driver.role().status();
        serde_json::to_value(status).unwrap_or(serde_json::Value::Null)
    }

    fn metrics(&self) -> String {
        let (counters, status) = {
            let role = self.driver.role();
            (role.counters(), role.status())
        };
        let snapshot = MetricsSnapshot {
            counters,
            status,
            links_up: self.driver.links().count(),
            attempts: self.driver.attempts().len(),
            ready: self.driver.is_ready(),
        };
        metrics::render(self.driver.metrics(), &snapshot)
    }

    fn timeline(&self, filter: &EventFilter) -> Vec<Event> {
        self.driver.timeline(filter)
    }

    fn explain_model(&self, model: &str) -> Vec<String> {
        let status = self.driver.role().status();
        let filter = EventFilter {
            model: Some(model.to_owned()),
            ..EventFilter::default()
        };
        let events = self.driver.timeline(&filter);
        let newest = events.len().saturating_sub(EXPLAIN_EVENTS_MAX);
        let mut lines = describe_model(&status, model);
        lines.extend(events[newest..].iter().map(line::render));
        lines
    }

    fn drain(&self) {
        self.driver.handle_event(AgentEvent::Drain);
    }
}

/// Describes which accelerators hold the model and which orders for it may still take
/// effect.
fn describe_model(status: &AgentStatus, model: &str) -> Vec<String> {
    let mut lines = Vec::new();
    for (index, accelerator) in status.accelerators.iter().enumerate() {
        let is_version_of_model = |resident: &&String| {
            let name = resident.rsplit_once('@').map(|(name, _)| name);
            name == Some(model)
        };
        for resident in accelerator.residents.iter().filter(is_version_of_model) {
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
