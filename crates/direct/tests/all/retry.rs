//! What follows an attempt, for every kind of request and every outcome.

use direct::{AttemptHistory, AttemptOutcome, RetryDecision, RouteKind, decide_retry};

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::ResumableStream,
    RouteKind::Stream,
];
const OUTCOMES: [AttemptOutcome; 4] = [
    AttemptOutcome::NotSent,
    AttemptOutcome::Refused,
    AttemptOutcome::Unknown,
    AttemptOutcome::Failed,
];

fn history(upstreams: u32, may_have_run: bool) -> AttemptHistory {
    AttemptHistory {
        upstreams,
        upstreams_max: 2,
        may_have_run,
    }
}

/// A caller orders parts. The upstream takes the order and its answer is lost. A second
/// attempt would deliver the parts twice, so the request ends as "may have run",
/// however many attempts are left.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_never_sent_again() {
    for kind in [RouteKind::NonIdempotent, RouteKind::Stream] {
        for outcome in OUTCOMES {
            for before in [false, true] {
                let next = decide_retry(kind, history(1, before), outcome);
                let ran = before
                    || matches!(
                        outcome,
                        AttemptOutcome::Unknown | AttemptOutcome::Failed
                    );
                if ran {
                    assert_eq!(
                        next,
                        RetryDecision::FailMayHaveRun,
                        "{kind:?} {outcome:?}"
                    );
                } else {
                    assert_ne!(
                        next,
                        RetryDecision::FailMayHaveRun,
                        "{kind:?} {outcome:?}"
                    );
                }
            }
        }
    }
}

/// "Not run" is a promise on which callers send non-idempotent requests again. It is
/// given only if every attempt was refused or never left this process.
#[test]
fn not_run_is_reported_only_if_no_attempt_may_have_run() {
    for kind in KINDS {
        for outcome in OUTCOMES {
            for before in [false, true] {
                let next = decide_retry(kind, history(2, before), outcome);
                if next == RetryDecision::FailNotRun {
                    assert!(!before, "{kind:?} {outcome:?}");
                    assert_eq!(outcome, AttemptOutcome::Refused);
                }
            }
        }
    }
}

#[test]
fn a_refused_request_is_retried_up_to_its_upstream_limit() {
    for kind in KINDS {
        assert_eq!(
            decide_retry(kind, history(1, false), AttemptOutcome::Refused),
            RetryDecision::Retry
        );
        assert_eq!(
            decide_retry(kind, history(2, false), AttemptOutcome::Refused),
            RetryDecision::FailNotRun
        );
    }
}

#[test]
fn a_request_that_was_never_sent_is_resent_without_a_retry() {
    for kind in KINDS {
        assert_eq!(
            decide_retry(kind, history(0, false), AttemptOutcome::NotSent),
            RetryDecision::Resend
        );
        assert_eq!(
            decide_retry(kind, history(2, false), AttemptOutcome::NotSent),
            RetryDecision::Resend
        );
    }
}

#[test]
fn an_idempotent_request_is_retried_up_to_its_upstream_limit() {
    for kind in [RouteKind::Idempotent, RouteKind::ResumableStream] {
        for outcome in [AttemptOutcome::Unknown, AttemptOutcome::Failed] {
            assert_eq!(
                decide_retry(kind, history(1, false), outcome),
                RetryDecision::Retry
            );
            assert_eq!(
                decide_retry(kind, history(2, false), outcome),
                RetryDecision::FailMayHaveRun
            );
        }
    }
}
