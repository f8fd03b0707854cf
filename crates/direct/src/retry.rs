//! Decision on what follows an attempt that failed.

use crate::RouteKind;

/// How an attempt at an upstream ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request left this process.
    NotSent,
    /// The upstream says that it has not run the request and won't.
    Refused,
    /// The request was sent, and it is unknown whether it ran.
    Unknown,
    /// The request ran and failed.
    Failed,
}

impl AttemptOutcome {
    /// Whether the request may have run.
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Unknown | Self::Failed)
    }

    /// Value of the outcome in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

/// The attempts made for a request so far.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHistory {
    /// Number of upstreams that the request was sent to, including this attempt's.
    pub upstreams: u32,
    /// Maximum number of upstreams that the request may be sent to.
    pub upstreams_max: u32,
    /// Whether the request may have run in any earlier attempt.
    pub may_have_run: bool,
}

/// What follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request may be sent to another upstream without using the retry budget.
    Resend,
    /// The request may be sent to another upstream if the retry budget allows it.
    Retry,
    /// The request may not be sent again and certainly has not run.
    FailNotRun,
    /// The request may not be sent again and may have run.
    FailMayHaveRun,
}

/// Decides what follows an attempt.
///
/// A caller that is told "not run" sends a non-idempotent request again, so this is
/// only reported if every attempt was refused or never sent. A missing answer never
/// counts as a refusal: the upstream may have run the request and lost the answer, and
/// a second attempt would run it twice.
pub const fn decide_retry(
    kind: RouteKind,
    history: AttemptHistory,
    outcome: AttemptOutcome,
) -> RetryDecision {
    let may_have_run = history.may_have_run || outcome.may_have_run();
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
