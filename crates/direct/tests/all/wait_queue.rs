//! Requests that wait at an entry, and the order in which they are sent.

use crate::support::{at, name};
use direct::{Place, PlaceDecision, WaitCheck, WaitQueue, WaitingRequest};
use std::sync::Arc;

/// A request of a service whose shortest target is 500 ms.
pub fn request(now_ms: u64, priority: u32, target_ms: u64) -> WaitingRequest {
    WaitingRequest {
        arrived_at: at(now_ms),
        since: at(now_ms),
        priority,
        latency_target_ms: target_ms,
        admitted_target_ms: target_ms,
        urgent_target_ms: 500,
        first_answer_deadline: at(now_ms + (4 * target_ms).clamp(3_200, 12_000)),
        engine_ms: 70,
        share_rank: 0,
        body_bytes: 10_000,
    }
}

fn urgent(now_ms: u64) -> WaitingRequest {
    request(now_ms, 0, 500)
}

fn patient(now_ms: u64) -> WaitingRequest {
    request(now_ms, 2, 8_000)
}

/// An engine with this time of prompts left, all as urgent as the request.
pub fn place(upstream: &Arc<str>, unread_ms: u64) -> Place<'_> {
    Place {
        upstream,
        queue_ms: unread_ms,
        prefill_ms: 70,
        mean_prefill_ms: 70,
        unread_ms,
    }
}

pub fn check(place: Option<Place<'_>>, random: u64) -> WaitCheck<'_> {
    WaitCheck {
        place,
        share_rank: 0,
        entries: 1,
        random,
    }
}

fn is_wait(decision: PlaceDecision) -> bool {
    matches!(decision, PlaceDecision::Wait(_))
}

/// An urgent request behind 300 ms of prompts is in time. A patient one sent to the same
/// engine would make the next urgent one late.
#[test]
fn patient_requests_wait_where_urgent_ones_are_sent() {
    let engine = name("e-1");
    let mut queue = WaitQueue::default();
    assert!(queue.takes_at_once(at(0), &urgent(0), &place(&engine, 300)));
    assert!(!queue.takes_at_once(at(0), &patient(0), &place(&engine, 300)));
    let id = queue
        .join(at(0), patient(0), 7)
        .expect("the queue is empty");
    let busy = place(&engine, 300);
    assert!(is_wait(queue.decide(at(0), id, &check(Some(busy), 0))));
    let idle = place(&engine, 60);
    let decision = queue.decide(at(2_000), id, &check(Some(idle), 0));
    assert_eq!(decision, PlaceDecision::Take);
}

/// A place that becomes free goes to the most urgent request that waits for it, even if a
/// patient request was there first or comes at that moment.
#[test]
fn a_free_place_goes_to_the_most_urgent() {
    let engine = name("e-1");
    let (busy, idle) = (place(&engine, 500), place(&engine, 30));
    let mut queue = WaitQueue::default();
    let first = queue.join(at(0), patient(0), 0).expect("a place");
    let second = queue.join(at(100), urgent(100), 0).expect("a place");
    for id in [first, second] {
        let decision = queue.decide(at(100), id, &check(Some(busy), 0));
        assert!(is_wait(decision), "{decision:?}");
    }
    let now = at(200);
    assert_eq!(queue.to_wake(now, "e-1"), [second, first]);
    assert!(is_wait(queue.decide(now, first, &check(Some(idle), 0))));
    assert!(!queue.takes_at_once(now, &patient(200), &idle));
    for id in [second, first] {
        let decision = queue.decide(now, id, &check(Some(idle), 0));
        assert_eq!(decision, PlaceDecision::Take);
        queue.leave(id);
    }
}

/// Of two workspaces' requests that must begin at about the same time, the one of the
/// workspace that took less goes first.
#[test]
fn the_share_orders_requests_of_similar_latest_start() {
    let engine = name("e-1");
    let busy = place(&engine, 500);
    let mut queue = WaitQueue::default();
    let served = WaitingRequest {
        share_rank: 9,
        ..urgent(0)
    };
    let first = queue.join(at(0), served, 0).expect("a place");
    let second = queue.join(at(2), urgent(2), 0).expect("a place");
    for (id, share_rank) in [(first, 9), (second, 0)] {
        let check = WaitCheck {
            share_rank,
            ..check(Some(busy), 0)
        };
        assert!(is_wait(queue.decide(at(2), id, &check)));
    }
    assert_eq!(queue.to_wake(at(3), "e-1"), [second, first]);
}

/// No caller is held for more than half of its target. One that can't be in time is
/// refused at once, with a time to come back within which its caller still would.
#[test]
fn waiting_ends_early_with_a_time_to_come_back() {
    let engine = name("e-1");
    let (busy, endless) = (place(&engine, 500), place(&engine, 20_000));
    for (request, until_ms, back_ms) in
        [(urgent(0), 250, 640), (patient(0), 4_000, 2_400)]
    {
        let mut queue = WaitQueue::default();
        let id = queue.join(at(0), request, 0).expect("a place");
        for place in [Some(busy), None] {
            assert!(is_wait(queue.decide(at(0), id, &check(place, 0))));
        }
        let decision = queue.decide(at(until_ms), id, &check(None, 0));
        assert_eq!(decision, PlaceDecision::Refuse(250));
        let id = queue.join(at(0), request, 0).expect("a place");
        let decision = queue.decide(at(0), id, &check(Some(endless), 0));
        assert_eq!(decision, PlaceDecision::Refuse(back_ms));
    }
}

/// A request that is late because its model was loading is admitted as long as its
/// answer is useful, as it was before requests could wait.
#[test]
fn a_request_that_waited_for_its_model_is_sent() {
    let engine = name("e-1");
    let queue = WaitQueue::default();
    let late = WaitingRequest {
        since: at(1_000),
        ..urgent(0)
    };
    assert!(queue.takes_at_once(at(1_000), &late, &place(&engine, 2_000)));
    assert!(!queue.takes_at_once(at(1_000), &late, &place(&engine, 2_200)));
}

/// If refused callers got the same time, they would all come back at once.
#[test]
fn refused_callers_come_back_at_different_times() {
    let mut queue = WaitQueue::default();
    let id = queue.join(at(0), urgent(0), 0).expect("a place");
    let mut times: Vec<_> = (0..100)
        .map(|random| queue.decide(at(2_000), id, &check(None, random)))
        .map(|decision| match decision {
            PlaceDecision::Refuse(ms) => ms,
            other => panic!("{other:?}"),
        })
        .collect();
    times.dedup();
    assert_eq!(times.len(), 100);
    assert!(times.iter().all(|ms| (250..=375).contains(ms)), "{times:?}");
}

/// A burst of patient requests fills the queue. An urgent one must still be taken in,
/// and a patient one more must not make the queue longer. The same holds for its bytes.
#[test]
fn a_full_queue_refuses_the_last_in_order() {
    for (body_bytes, capacity) in [(10_000, 64), (4 << 20, 2)] {
        let mut queue = WaitQueue::default();
        let big = |request| WaitingRequest {
            body_bytes,
            ..request
        };
        for number in 0..capacity {
            queue
                .join(at(number), big(patient(number)), 0)
                .expect("a place");
        }
        assert!(queue.join(at(99), big(patient(99)), 0).is_err());
        let id = queue
            .join(at(99), big(urgent(99)), 0)
            .expect("it displaces a patient one");
        let displaced: Vec<_> = queue.displaced().collect();
        assert_eq!(displaced.len(), 1);
        assert!(!displaced.contains(&id));
        let decision = queue.decide(at(99), displaced[0], &check(None, 0));
        assert!(matches!(decision, PlaceDecision::Refuse(_)));
        queue.leave(displaced[0]);
        assert_eq!(queue.len(), capacity as usize);
    }
}

/// A request that can't fit must not make others leave.
#[test]
fn a_request_that_does_not_fit_displaces_none() {
    let mut queue = WaitQueue::default();
    queue.join(at(0), patient(0), 0).expect("a place");
    let too_big = WaitingRequest {
        body_bytes: 9 << 20,
        ..urgent(1)
    };
    assert!(queue.join(at(1), too_big, 0).is_err());
    assert_eq!(queue.displaced().count(), 0);
}

/// Guards against requests of a workspace over its share that get in before others
/// because a shorter target makes them look more urgent.
#[test]
fn a_workspace_over_its_share_is_not_more_urgent() {
    let engine = name("e-1");
    let over_share = |request: WaitingRequest| WaitingRequest {
        admitted_target_ms: request.latency_target_ms / 2,
        ..request
    };
    let queue = WaitQueue::default();
    let busy = place(&engine, 300);
    assert!(!queue.takes_at_once(at(0), &over_share(patient(0)), &busy));
    assert!(queue.takes_at_once(at(0), &urgent(0), &busy));
    assert!(!queue.takes_at_once(at(0), &over_share(urgent(0)), &busy));
    assert!(!over_share(urgent(0)).is_too_late(at(0), &busy));
}

/// Guards against entries that leave an engine idle where prompts are short, and fill it
/// at once where they are long.
#[test]
fn entries_spread_by_the_time_of_a_prompt() {
    let engine = name("e-1");
    for (mean_prefill_ms, spread_ms) in [(10, 15), (70, 105), (200, 300)] {
        let idle = Place {
            mean_prefill_ms,
            ..place(&engine, 0)
        };
        let check_with = |random| WaitCheck {
            entries: 4,
            ..check(Some(idle), random)
        };
        let mut queue = WaitQueue::default();
        let id = queue.join(at(0), patient(0), 0).expect("a place");
        for ms in [0, spread_ms - 1] {
            let decision = queue.decide(at(ms), id, &check_with(spread_ms));
            assert!(is_wait(decision), "{mean_prefill_ms} {ms}");
        }
        let decision = queue.decide(at(spread_ms), id, &check_with(spread_ms));
        assert_eq!(decision, PlaceDecision::Take, "{mean_prefill_ms}");
        // None sends later.
        let mut queue = WaitQueue::default();
        let id = queue.join(at(0), patient(0), 0).expect("a place");
        queue.decide(at(0), id, &check_with(100));
        let decision = queue.decide(at(spread_ms), id, &check_with(100));
        assert_eq!(decision, PlaceDecision::Take, "{mean_prefill_ms}");
    }
}

/// Guards against a loop without pauses: a request whose place is gone before its random
/// time is over must wait for the next check.
#[test]
fn a_place_that_is_gone_again_is_not_waited_for() {
    let engine = name("e-1");
    let mut queue = WaitQueue::default();
    let id = queue.join(at(0), patient(0), 0).expect("a place");
    let spread = WaitCheck {
        entries: 300,
        ..check(Some(place(&engine, 0)), 500)
    };
    assert!(is_wait(queue.decide(at(0), id, &spread)));
    for ms in [600, 700, 800] {
        let decision = queue.decide(at(ms), id, &check(None, 0));
        assert!(
            matches!(decision, PlaceDecision::Wait(10..)),
            "{decision:?}"
        );
    }
}
