//! Outcomes of attempts.

use base::{AttemptId, RunStatus};
use role::agent::UpstreamEvent;

/// How an attempt ended at the upstream.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The answer is complete.
    Completed {
        /// HTTP status.
        status: u16,
        /// Content type of the answer.
        content_type: String,
    },
    /// There is no complete answer.
    Failed {
        /// Whether the attempt ran.
        ran: RunStatus,
        /// HTTP status; 0 if none was received.
        status: u16,
        /// The connection was lost.
        broken: bool,
    },
}

impl AttemptOutcome {
    /// The connection was lost after the response's head had arrived.
    pub(super) const fn connection_lost(status: u16) -> Self {
        Self::Failed {
            ran: RunStatus::Ran,
            status,
            broken: true,
        }
    }

    /// The upstream violated its protocol or responded with an error.
    pub(super) const fn upstream_fault(status: u16) -> Self {
        Self::Failed {
            ran: RunStatus::Ran,
            status,
            broken: false,
        }
    }

    /// The request was not sent, or the upstream stated that it did not run it.
    pub(super) const fn not_run(status: u16) -> Self {
        Self::Failed {
            ran: RunStatus::NotRun,
            status,
            broken: false,
        }
    }

    /// Converts the outcome to the event for the state machine.
    pub(super) fn into_event(self, attempt: AttemptId) -> UpstreamEvent {
        match self {
            Self::Completed {
                status,
                content_type,
            } => UpstreamEvent::Done {
                attempt,
                status,
                content_type,
            },
            Self::Failed {
                ran,
                status,
                broken,
            } => UpstreamEvent::Failed {
                attempt,
                ran,
                status,
                broken,
            },
        }
    }
}
