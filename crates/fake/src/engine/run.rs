//! One request on an accelerator.

use tokio::sync::mpsc::UnboundedSender;

/// What a run tells its connection. The channel's end without [`Event::Done`] is
/// a cut answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// The token at this place.
    Token(u64),
    /// The answer is whole.
    Done,
}

/// One request that waits or runs.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request: String,
    pub(super) model: String,
    pub(super) version: u32,
    /// Base model, for an adapter.
    pub(super) base: Option<String>,
    pub(super) prompt: String,
    pub(super) priority: u64,
    /// Place of the next token.
    pub(super) next: u64,
    /// Tokens of the whole answer.
    pub(super) total: u64,
    /// Prompt tokens still to prefill.
    pub(super) prefill_left: u64,
    /// The run is cut before it gives this token.
    pub(super) break_at: Option<u64>,
    pub(super) crashes: bool,
    pub(super) events: UnboundedSender<Event>,
}

/// How a run goes on after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum After {
    GoesOn,
    Finished,
    Cut,
    Cancelled,
}

impl Run {
    /// Whether it needs this model, as its own or as its base.
    pub(super) fn needs(&self, model: &str, version: u32) -> bool {
        let own = self.model == model && self.version == version;
        own || self.base.as_deref() == Some(model)
    }

    /// One step: prefill, or one token.
    pub(super) fn step(&mut self, prefill_tokens: u64) -> After {
        if self.events.is_closed() {
            return After::Cancelled;
        }
        if self.prefill_left > 0 {
            self.prefill_left = self.prefill_left.saturating_sub(prefill_tokens);
            if self.prefill_left > 0 {
                return After::GoesOn;
            }
        }
        if self.break_at == Some(self.next) {
            return After::Cut;
        }
        if self.next < self.total {
            // A receiver gone since the check above shows at the next step.
            let _ = self.events.send(Event::Token(self.next));
            self.next += 1;
        }
        if self.next < self.total {
            return After::GoesOn;
        }
        let _ = self.events.send(Event::Done);
        After::Finished
    }
}
