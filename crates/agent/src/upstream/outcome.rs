//! Ends of attempts.

use base::{AttemptId, RunStatus};
use role::agent::UpstreamEvent;

/// How an attempt ended at the upstream.
#[derive(Debug)]
pub(super) enum Ending {
    /// In good order.
    Whole {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// In any other way.
    Failed {
        /// Whether it was run.
        ran: RunStatus,
        /// HTTP status, or 0.
        status: u16,
        /// The connection broke.
        broken: bool,
    },
}

impl Ending {
    /// The answer broke off after its head.
    pub(super) const fn broken(status: u16) -> Self {
        Self::Failed {
            ran: RunStatus::Ran,
            status,
            broken: true,
        }
    }

    /// The upstream broke its protocol, or refused.
    pub(super) const fn fault(status: u16) -> Self {
        Self::Failed {
            ran: RunStatus::Ran,
            status,
            broken: false,
        }
    }

    /// The upstream never had it.
    pub(super) const fn not_run(status: u16) -> Self {
        Self::Failed {
            ran: RunStatus::NotRun,
            status,
            broken: false,
        }
    }

    /// What the machine is told.
    pub(super) fn event(self, attempt: AttemptId) -> UpstreamEvent {
        match self {
            Self::Whole {
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
