//! What may follow a try that did not end well.

use crate::RouteKind;

/// How a try at an upstream ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request left this process.
    NotSent,
    /// The upstream says that it did not and will not run it.
    Refused,
    /// It was sent, and nothing says whether it ran.
    Unknown,
    /// It ran and failed.
    Failed,
}

impl AttemptOutcome {
    /// The word used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

/// What has been tried of a request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHistory {
    /// Upstreams that the request was sent to, this try's included.
    pub upstreams: u32,
    /// Most upstreams that it may be sent to.
    pub upstreams_max: u32,
    /// Whether any try before this one may have run.
    pub may_have_run: bool,
}

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// It may be sent to another upstream; this does not count as a repeat.
    Resend,
    /// It may be sent to another upstream if the budget of repeats allows it.
    Retry,
    /// It may not be sent again and provably has not run.
    FailNotRun,
    /// It may not be sent again and may have run.
    FailMayHaveRun,
}

/// Decides what may follow a try.
///
/// A caller that hears "not run" sends a non-idempotent request again, so that
/// word is given only when every try was refused or never sent. An answer that
/// is missing is never taken for a refusal: the upstream may have taken the
/// order and lost the answer, and a second send would do it twice.
pub const fn decide_retry(
    kind: RouteKind,
    history: AttemptHistory,
    outcome: AttemptOutcome,
) -> RetryDecision {
    let may_have_run = history.may_have_run
        || matches!(outcome, AttemptOutcome::Unknown | AttemptOutcome::Failed);
    if matches!(outcome, AttemptOutcome::NotSent) && !may_have_run {
        return RetryDecision::Resend;
    }
    if may_have_run && !kind.may_rerun() {
        return RetryDecision::FailMayHaveRun;
    }
    if history.upstreams < history.upstreams_max {
        return RetryDecision::Retry;
    }
    if may_have_run {
        RetryDecision::FailMayHaveRun
    } else {
        RetryDecision::FailNotRun
    }
}
