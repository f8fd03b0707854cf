//! What an entry provides to its operators' listener.

use line::{Event, EventFilter};
use oper::{OperatorApi, ProcessUsage};
use role::entry::EntryEvent;
use std::sync::Arc;

use crate::driver::Driver;
use crate::metrics::{self, MetricsSnapshot};

/// Implementation of [`OperatorApi`] for an entry.
#[derive(Debug)]
pub(crate) struct EntryOperatorApi {
    driver: Arc<Driver>,
}

impl EntryOperatorApi {
    /// The operators' interface of the process run by `driver`.
    pub(crate) const fn new(driver: Arc<Driver>) -> Self {
        Self { driver }
    }
}

impl OperatorApi for EntryOperatorApi {
    fn ready(&self) -> bool {
        self.driver.is_ready()
    }

    fn status(&self) -> serde_json::Value {
        let status = serde_json::to_value(self.driver.role().status());
        status.unwrap_or(serde_json::Value::Null)
    }

    fn metrics(&self) -> String {
        let snapshot = MetricsSnapshot {
            counters: self.driver.role().counters(),
            links_up: self.driver.links().up_count(),
            in_progress: self.driver.active_requests().len(),
            revision: self.driver.role().revision(),
            ready: self.driver.is_ready(),
            process: ProcessUsage::read(),
        };
        metrics::render(self.driver.metrics(), &snapshot)
    }

    fn timeline(&self, filter: &EventFilter) -> Vec<Event> {
        self.driver.recorder().events(filter)
    }

    fn explain_model(&self, model: &str) -> Vec<String> {
        self.driver.role().explain_model(model)
    }

    fn drain(&self) {
        self.driver.handle_event(EntryEvent::Drain);
    }
}
