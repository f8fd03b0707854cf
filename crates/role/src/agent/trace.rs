//! Events of the time line.

use super::AgentAction;
use base::AttemptId;
use schema::timeline::{Event, EventKind};

/// An event of a kind, with no more said.
pub(super) fn event(kind: EventKind) -> Event {
    Event {
        kind: kind.into(),
        ..Event::default()
    }
}

/// Records an event about an attempt.
pub(super) fn attempt(
    kind: EventKind,
    id: AttemptId,
    code: u32,
    out: &mut Vec<AgentAction>,
) {
    out.push(AgentAction::RecordEvent(Event {
        code,
        detail: format!("attempt {id}"),
        ..event(kind)
    }));
}

/// Records an event with one sentence.
pub(super) fn note(kind: EventKind, detail: String, out: &mut Vec<AgentAction>) {
    out.push(AgentAction::RecordEvent(Event {
        detail,
        ..event(kind)
    }));
}

/// Records an event about a model.
pub(super) fn model(
    kind: EventKind,
    model: &str,
    detail: String,
    out: &mut Vec<AgentAction>,
) {
    out.push(AgentAction::RecordEvent(Event {
        model: model.to_owned(),
        detail,
        ..event(kind)
    }));
}
