//! Choosing events.

use schema::timeline::Event;

/// Which events are asked for; the default asks for all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Earliest clock, in microseconds since the Unix epoch.
    pub since_us: u64,
    /// Only events of this request, as `origin-sequence` in hexadecimal.
    pub request: Option<String>,
    /// Only events of this model.
    pub model: Option<String>,
}

impl EventFilter {
    /// Whether an event is asked for.
    pub fn matches(&self, event: &Event) -> bool {
        let same = |asked: &Option<String>, held: &str| {
            asked.as_deref().is_none_or(|asked| asked == held)
        };
        event.clock_us >= self.since_us
            && same(&self.request, &event.request)
            && same(&self.model, &event.model)
    }
}
