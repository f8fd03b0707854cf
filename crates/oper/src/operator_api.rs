//! What the operators' listener needs of a process.

use line::{Event, EventFilter};
use std::fmt::Debug;

/// A process that operators can inspect and drain.
pub trait OperatorApi: Debug + Send + Sync {
    /// Whether the process accepts requests.
    fn ready(&self) -> bool;

    /// The process's state as JSON.
    fn status(&self) -> serde_json::Value;

    /// Metrics in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// Events of the timeline that match the filter, oldest first.
    fn timeline(&self, filter: &EventFilter) -> Vec<Event>;

    /// What the process knows about a model and why the model is loaded where it is,
    /// as one sentence per line.
    fn explain_model(&self, model: &str) -> Vec<String>;

    /// Starts draining; a second call has no effect.
    fn drain(&self);
}
