//! The process behind an operators' listener.

use line::{Event, EventFilter};
use std::fmt::Debug;

/// A process that operators look at and may drain.
pub trait OperatorApi: Debug + Send + Sync {
    /// Whether the process takes work.
    fn ready(&self) -> bool;

    /// The process's state.
    fn status(&self) -> serde_json::Value;

    /// Counters and gauges in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// Events of the time line that the filter takes, oldest first.
    fn timeline(&self, filter: &EventFilter) -> Vec<Event>;

    /// What the process knows on a model and why it is where it is, one
    /// sentence a line.
    fn explain_model(&self, model: &str) -> Vec<String>;

    /// Starts to drain; a second call changes nothing.
    fn drain(&self);
}
