//! What entries do after watches of their own failed.

use direct::{AfterFailure, WatchFailures};

/// Guards against entries that all list when the platform is back, because their waits for
/// one another ran out while it was away. Calls are answered from `returns_after` calls on.
#[test]
fn no_outage_leads_to_a_list() {
    for returns_after in 0..200 {
        let mut failures = WatchFailures::new();
        let mut calls = 0;
        let mut is_answered = || {
            calls += 1;
            calls > returns_after
        };
        while !is_answered() {
            match failures.on_unanswered() {
                AfterFailure::Watch => {}
                AfterFailure::Probe => failures.on_probed(is_answered()),
                AfterFailure::Resync => panic!("listed, returns after {returns_after}"),
            }
        }
    }
}

/// Guards against an entry that never knows a change again, because watches fail while
/// other calls are answered.
#[test]
fn a_platform_whose_watches_alone_fail_is_listed() {
    let mut failures = WatchFailures::new();
    let mut watches = 0;
    loop {
        watches += 1;
        match failures.on_unanswered() {
            AfterFailure::Watch => {}
            AfterFailure::Probe => failures.on_probed(true),
            AfterFailure::Resync => break,
        }
    }
    assert!(watches <= 6, "{watches}");
}

/// Guards against failures of before that count after a watch that succeeded.
#[test]
fn failures_count_in_a_row() {
    let mut failures = WatchFailures::new();
    for _ in 0..20 {
        assert_eq!(failures.on_unanswered(), AfterFailure::Watch);
        assert_eq!(failures.on_unanswered(), AfterFailure::Watch);
        failures.on_answered();
    }
}
