use base::prelude::*;
use route::{CallerLimits, RetryBudget};

/// Guards against retries that multiply the load on a failing pool. While all
/// attempts fail for ten minutes, retries must stay within the budget in each
/// window.
#[test]
fn retries_stay_within_the_budget() {
    let cases = [(10, 100, 60), (10, 1, 2), (0, 100, 2), (50, 100, 260)];
    for (percent, per_s, expected_retries) in cases {
        let mut budget = RetryBudget::new(percent);
        let mut window = std::collections::VecDeque::new();
        for ms in (0..600_000u64).step_by(1_000 / per_s) {
            let now = Instant::from_ms(ms);
            budget.record_first_attempt(now);
            for _ in 0..3 {
                if budget.try_acquire(now) {
                    window.push_back(ms);
                }
            }
            while window.front().is_some_and(|taken| taken + 10_000 <= ms) {
                window.pop_front();
            }
            let bound = 2 + percent as usize * per_s * 10 / 100;
            assert!(window.len() <= bound + bound / 9, "{percent}% at {ms} ms");
        }
        assert!(
            window.len() >= expected_retries / 2,
            "{percent}%: {window:?}"
        );
    }
}

/// Guards against a rarely used model that can't be retried at all, and against old
/// retries that still count.
#[test]
fn a_rare_model_can_retry() {
    let mut budget = RetryBudget::new(10);
    for hour in 0..10 {
        let now = Instant::from_ms(hour * 3_601_000);
        budget.record_first_attempt(now);
        let taken = [(); 3].map(|()| budget.try_acquire(now));
        assert_eq!(taken, [true, true, false], "hour {hour}");
    }
}

/// Guards against one caller's burst that fills the queue. Other callers must still
/// be able to queue requests.
#[test]
fn a_burst_leaves_room_for_other_callers() {
    let mut limits = CallerLimits::new();
    let callers = ["a", "b", "c"].map(CallerId::new);
    let accepted = callers.each_ref().map(|caller| {
        (0..1_000)
            .filter(|_| limits.try_enqueue(caller, 90))
            .count()
    });
    assert_eq!(accepted, [60, 20, 7]);
    assert_eq!(limits.waiting(), 87);

    for _ in 0..60 {
        limits.dequeue(&callers[0]);
    }
    assert!(
        limits.try_enqueue(&callers[2], 90),
        "freed capacity can be used again"
    );
    limits.dequeue(&CallerId::new("unknown"));
    let idle = CallerId::new("d");
    assert!(limits.try_start_request(&idle, 1));
    limits.dequeue(&idle);
    assert_eq!(limits.waiting(), 28);
}

/// Each caller has its own limit on requests in progress, and releases without a
/// matching start free nothing.
#[test]
fn each_caller_has_its_own_limit() {
    let mut limits = CallerLimits::new();
    let (a, b) = (CallerId::new("a"), CallerId::new("b"));
    let started = (0..5).filter(|_| limits.try_start_request(&a, 3)).count();
    assert_eq!(started, 3);
    assert!(
        limits.try_start_request(&b, 3),
        "another caller has its own limit"
    );
    limits.finish_request(&a);
    assert!(limits.try_start_request(&a, 3));
    assert!(!limits.try_start_request(&a, 3));
    for _ in 0..9 {
        limits.finish_request(&a);
    }
    assert_eq!(limits.in_progress(&a), 0);
    assert!(
        !limits.try_start_request(&a, 0),
        "a limit of zero admits nothing"
    );
}
