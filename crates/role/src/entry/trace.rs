//! Events of the time line.

use base::prelude::*;
use schema::timeline::{Event, EventKind};
use std::fmt::Display;

use super::EntryAction;

/// An event being put together.
#[derive(Debug)]
pub(crate) struct Note(Event);

impl Note {
    /// An event with a sentence for an operator.
    pub(crate) fn new(kind: EventKind, detail: impl Into<String>) -> Self {
        Self(Event {
            kind: kind as i32,
            detail: detail.into(),
            ..Event::default()
        })
    }

    /// The request concerned.
    pub(crate) fn request(mut self, request: RequestId) -> Self {
        self.0.request = request.to_string();
        self
    }

    /// The model or adapter concerned.
    pub(crate) fn model(mut self, model: &str) -> Self {
        model.clone_into(&mut self.0.model);
        self
    }

    /// The other process concerned.
    pub(crate) fn peer(mut self, peer: &impl Display) -> Self {
        self.0.peer = peer.to_string();
        self
    }

    /// A result code.
    pub(crate) const fn code(mut self, code: Code) -> Self {
        self.0.code = code.number();
        self
    }

    /// A reason number.
    pub(crate) const fn reason(mut self, reason: u32) -> Self {
        self.0.code = reason;
        self
    }

    /// Records it.
    pub(crate) fn put(self, out: &mut Vec<EntryAction>) {
        out.push(EntryAction::RecordEvent(self.0));
    }
}
