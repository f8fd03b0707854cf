//! Helpers that build events of the timeline.

use super::AgentAction;
use base::AttemptId;
use schema::timeline::{Event, EventKind};

/// Builds an event that has only a kind.
pub(super) fn new_event(kind: EventKind) -> Event {
    Event {
        kind: kind.into(),
        ..Event::default()
    }
}

/// Records an event about an attempt.
pub(super) fn attempt_event(
    kind: EventKind,
    id: AttemptId,
    code: u32,
    out: &mut Vec<AgentAction>,
) {
    out.push(AgentAction::RecordEvent(Event {
        code,
        detail: format!("attempt {id}"),
        ..new_event(kind)
    }));
}

/// Records an event of the process, with a detail text that may be empty.
pub(super) fn process_event(
    kind: EventKind,
    detail: String,
    out: &mut Vec<AgentAction>,
) {
    out.push(AgentAction::RecordEvent(Event {
        detail,
        ..new_event(kind)
    }));
}

/// Records an event about a model.
pub(super) fn model_event(
    kind: EventKind,
    model: &str,
    detail: String,
    out: &mut Vec<AgentAction>,
) {
    out.push(AgentAction::RecordEvent(Event {
        model: model.to_owned(),
        detail,
        ..new_event(kind)
    }));
}
