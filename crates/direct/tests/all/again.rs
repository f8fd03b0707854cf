//! What may follow a try, over every kind of request and every outcome.

use direct::{Next, Outcome, RouteKind, Tried, after};

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::NonIdempotent,
    RouteKind::ResumableStream,
    RouteKind::Stream,
];
const OUTCOMES: [Outcome; 4] = [
    Outcome::NotSent,
    Outcome::Refused,
    Outcome::Unknown,
    Outcome::Failed,
];

fn tried(upstreams: u32, may_have_run: bool) -> Tried {
    Tried {
        upstreams,
        upstreams_max: 2,
        may_have_run,
    }
}

/// A caller orders parts. The upstream takes the order and its answer is lost.
/// Sent again, the crew would get the parts twice, so the request ends as "may
/// have run", whatever is left of its tries.
#[test]
fn what_may_have_run_and_must_not_run_twice_is_never_sent_again() {
    for kind in [RouteKind::NonIdempotent, RouteKind::Stream] {
        for outcome in OUTCOMES {
            for before in [false, true] {
                let next = after(kind, tried(1, before), outcome);
                let ran =
                    before || matches!(outcome, Outcome::Unknown | Outcome::Failed);
                if ran {
                    assert_eq!(next, Next::EndMayHaveRun, "{kind:?} {outcome:?}");
                } else {
                    assert_ne!(next, Next::EndMayHaveRun, "{kind:?} {outcome:?}");
                }
            }
        }
    }
}

/// "Not run" is a promise on which callers send non-idempotent requests again.
/// It is given only if every try was refused or never left this process.
#[test]
fn not_run_is_said_only_if_no_try_may_have_run() {
    for kind in KINDS {
        for outcome in OUTCOMES {
            for before in [false, true] {
                let next = after(kind, tried(2, before), outcome);
                if next == Next::EndNotRun {
                    assert!(!before, "{kind:?} {outcome:?}");
                    assert_eq!(outcome, Outcome::Refused);
                }
            }
        }
    }
}

#[test]
fn a_refused_request_goes_to_another_upstream_while_it_may() {
    for kind in KINDS {
        assert_eq!(after(kind, tried(1, false), Outcome::Refused), Next::Repeat);
        assert_eq!(
            after(kind, tried(2, false), Outcome::Refused),
            Next::EndNotRun
        );
    }
}

#[test]
fn a_request_that_never_left_is_no_repeat() {
    for kind in KINDS {
        assert_eq!(after(kind, tried(0, false), Outcome::NotSent), Next::Other);
        assert_eq!(after(kind, tried(2, false), Outcome::NotSent), Next::Other);
    }
}

#[test]
fn what_may_run_again_is_repeated_up_to_its_upstreams() {
    for kind in [RouteKind::Idempotent, RouteKind::ResumableStream] {
        for outcome in [Outcome::Unknown, Outcome::Failed] {
            assert_eq!(after(kind, tried(1, false), outcome), Next::Repeat);
            assert_eq!(after(kind, tried(2, false), outcome), Next::EndMayHaveRun);
        }
    }
}
