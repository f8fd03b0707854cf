//! Builds timeline events.

use base::prelude::*;
use schema::timeline::{Event, EventKind};
use std::fmt::Display;

use super::EntryAction;

/// A timeline event under construction.
#[derive(Debug)]
pub(crate) struct TimelineEvent(Event);

impl TimelineEvent {
    /// Starts an event; `detail` is free text for operators.
    pub(crate) fn new(kind: EventKind, detail: impl Into<String>) -> Self {
        Self(Event {
            kind: kind as i32,
            detail: detail.into(),
            ..Event::default()
        })
    }

    /// Sets the request concerned.
    pub(crate) fn request(mut self, request: RequestId) -> Self {
        self.0.request = request.to_string();
        self
    }

    /// Sets the model or adapter concerned.
    pub(crate) fn model(mut self, model: &str) -> Self {
        model.clone_into(&mut self.0.model);
        self
    }

    /// Sets the other process concerned.
    pub(crate) fn peer(mut self, peer: &impl Display) -> Self {
        self.0.peer = peer.to_string();
        self
    }

    /// Sets the error code.
    pub(crate) const fn code(mut self, code: ErrorCode) -> Self {
        self.0.code = code.number();
        self
    }

    /// Sets the number of a routing or placement reason, in the same field as a code.
    pub(crate) const fn reason(mut self, reason: u32) -> Self {
        self.0.code = reason;
        self
    }

    /// Appends the action that records the event.
    pub(crate) fn record(self, out: &mut Vec<EntryAction>) {
        out.push(EntryAction::RecordEvent(self.0));
    }
}
