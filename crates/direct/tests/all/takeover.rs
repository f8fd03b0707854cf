//! Whether a request in flight leaves an upstream that sends nothing, for every kind of
//! request and everything that may be missing elsewhere.

use direct::{
    InFlightDecision, InFlightRequest, RouteKind, TakeoverResources, decide_in_flight,
};

/// What other upstreams and the retry budget offer.
#[derive(Debug)]
struct Offer {
    has_alternative: bool,
    retries: u32,
}

impl TakeoverResources for Offer {
    fn has_alternative(&self) -> bool {
        self.has_alternative
    }

    fn take_retry(&mut self) -> bool {
        let granted = self.retries > 0;
        self.retries = self.retries.saturating_sub(1);
        granted
    }
}

const fn silent(kind: RouteKind, upstreams: u32) -> InFlightRequest {
    InFlightRequest {
        kind,
        incarnation_ended: false,
        upstream_silent: true,
        upstreams,
        upstreams_max: 2,
    }
}

const RERUNNABLE: [RouteKind; 2] = [RouteKind::Idempotent, RouteKind::ResumableStream];
const RUN_ONCE: [RouteKind; 2] = [RouteKind::NonIdempotent, RouteKind::Stream];

/// Guards against waiting for a dead upstream although another one can run the request.
#[test]
fn a_request_leaves_a_silent_upstream_if_another_one_can_run_it() {
    for kind in RERUNNABLE {
        let mut offer = Offer {
            has_alternative: true,
            retries: 1,
        };
        let decision = decide_in_flight(&silent(kind, 1), &mut offer);
        assert_eq!(decision, InFlightDecision::TakeOver, "{kind:?}");
        assert_eq!(offer.retries, 0);
    }
}

/// Guards against ending a request for a suspicion when nothing can run it elsewhere.
#[test]
fn silence_ends_no_request_that_nothing_can_take_over() {
    for kind in RERUNNABLE {
        for (upstreams, has_alternative, retries) in
            [(1, false, 1), (1, true, 0), (2, true, 1)]
        {
            let mut offer = Offer {
                has_alternative,
                retries,
            };
            let decision = decide_in_flight(&silent(kind, upstreams), &mut offer);
            assert_eq!(decision, InFlightDecision::Wait, "{kind:?} {offer:?}");
        }
    }
    for kind in RUN_ONCE {
        let mut offer = Offer {
            has_alternative: true,
            retries: 1,
        };
        let decision = decide_in_flight(&silent(kind, 1), &mut offer);
        assert_eq!(decision, InFlightDecision::Wait, "{kind:?}");
    }
}

/// Guards against a retry that is spent although the request stays where it is.
#[test]
fn a_request_that_stays_spends_no_retry() {
    for kind in RERUNNABLE.into_iter().chain(RUN_ONCE) {
        for request in [
            InFlightRequest {
                upstream_silent: false,
                ..silent(kind, 1)
            },
            silent(kind, 2),
        ] {
            let mut offer = Offer {
                has_alternative: true,
                retries: 1,
            };
            let decision = decide_in_flight(&request, &mut offer);
            assert_eq!((decision, offer.retries), (InFlightDecision::Wait, 1));
        }
        let mut offer = Offer {
            has_alternative: false,
            retries: 1,
        };
        decide_in_flight(&silent(kind, 1), &mut offer);
        assert_eq!(offer.retries, 1);
    }
}

/// Guards against waiting for a process that has ended, whatever is possible elsewhere.
#[test]
fn a_request_of_an_ended_incarnation_ends() {
    for kind in RERUNNABLE.into_iter().chain(RUN_ONCE) {
        let request = InFlightRequest {
            incarnation_ended: true,
            ..silent(kind, 1)
        };
        let mut offer = Offer {
            has_alternative: false,
            retries: 0,
        };
        let decision = decide_in_flight(&request, &mut offer);
        assert_eq!(decision, InFlightDecision::Ended, "{kind:?}");
    }
}
