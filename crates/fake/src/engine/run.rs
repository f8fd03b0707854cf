//! Execution of one request on an accelerator.

use tokio::sync::mpsc::UnboundedSender;

/// Event that a run sends to its connection. If the channel closes before
/// [`Event::Done`], the run was aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// The token at this index was generated.
    Token(u64),
    /// The response is complete.
    Done,
}

/// A request that waits for a batch or is in one.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request: String,
    pub(super) model: String,
    pub(super) version: u32,
    /// Base model, for an adapter.
    pub(super) base: Option<String>,
    pub(super) prompt: String,
    pub(super) priority: u64,
    /// Index of the next token.
    pub(super) next: u64,
    /// Tokens of the complete response.
    pub(super) total: u64,
    /// Prompt tokens that remain to be prefilled.
    pub(super) prefill_left: u64,
    /// Index of the token before which a fault aborts the run.
    pub(super) break_at: Option<u64>,
    pub(super) crashes: bool,
    pub(super) events: UnboundedSender<Event>,
}

/// Status of a run after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum After {
    GoesOn,
    Finished,
    Cut,
    Cancelled,
}

impl Run {
    /// Returns whether the run uses a model, directly or as the base of its adapter.
    pub(super) fn needs(&self, model: &str, version: u32) -> bool {
        let own = self.model == model && self.version == version;
        own || self.base.as_deref() == Some(model)
    }

    /// Prefills part of the prompt or, after the prefill, generates one token.
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
            // If the receiver was dropped since the check above, the next step notices.
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
