//! Execution of one request on an accelerator.

use tokio::sync::mpsc::UnboundedSender;

/// Event that a run sends to its connection. If the channel closes before
/// [`RunEvent::Done`], the run was aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunEvent {
    /// The token at this index was generated.
    Token(u64),
    /// The response is complete.
    Done,
}

/// A request that waits for a batch or is in one.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) request_id: String,
    pub(super) model: String,
    pub(super) version: u32,
    /// Base model, for an adapter.
    pub(super) base: Option<String>,
    pub(super) prompt: String,
    pub(super) priority: u64,
    /// Index of the next token.
    pub(super) next_token: u64,
    /// Tokens of the complete response.
    pub(super) total_tokens: u64,
    /// Prompt tokens that remain to be prefilled.
    pub(super) prefill_remaining: u64,
    /// Index of the token before which a fault aborts the run.
    pub(super) abort_at: Option<u64>,
    pub(super) crashes_engine: bool,
    pub(super) events: UnboundedSender<RunEvent>,
}

/// Status of a run after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StepOutcome {
    Continue,
    Finished,
    Aborted,
    Cancelled,
}

impl Run {
    /// Returns whether the run uses a model, directly or as the base of its adapter.
    pub(super) fn uses_model(&self, model: &str, version: u32) -> bool {
        let is_model = self.model == model && self.version == version;
        is_model || self.base.as_deref() == Some(model)
    }

    /// Prefills part of the prompt or, after the prefill, generates one token.
    pub(super) fn step(&mut self, prefill_tokens: u64) -> StepOutcome {
        if self.events.is_closed() {
            return StepOutcome::Cancelled;
        }
        if self.prefill_remaining > 0 {
            self.prefill_remaining =
                self.prefill_remaining.saturating_sub(prefill_tokens);
            if self.prefill_remaining > 0 {
                return StepOutcome::Continue;
            }
        }
        if self.abort_at == Some(self.next_token) {
            return StepOutcome::Aborted;
        }
        if self.next_token < self.total_tokens {
            // If the receiver was dropped since the check above, the next step notices.
            let _ = self.events.send(RunEvent::Token(self.next_token));
            self.next_token += 1;
        }
        if self.next_token < self.total_tokens {
            return StepOutcome::Continue;
        }
        let _ = self.events.send(RunEvent::Done);
        StepOutcome::Finished
    }
}
