//! Selection of timeline events.

use schema::timeline::Event;

/// Criteria that selected events must meet; the default selects all events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Earliest clock value, in microseconds since the Unix epoch.
    pub since_us: u64,
    /// Select only events of this request, written as `origin-sequence` in
    /// hexadecimal.
    pub request: Option<String>,
    /// Select only events of this model.
    pub model: Option<String>,
}

impl EventFilter {
    /// Returns whether the event meets all criteria.
    pub fn matches(&self, event: &Event) -> bool {
        let equals = |wanted: &Option<String>, actual: &str| {
            wanted.as_deref().is_none_or(|wanted| wanted == actual)
        };
        event.clock_us >= self.since_us
            && equals(&self.request, &event.request)
            && equals(&self.model, &event.model)
    }
}
