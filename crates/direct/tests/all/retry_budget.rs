//! The bound on retries over several entries.

use crate::support::{at, name};
use direct::RetryBudget;

const WINDOW_MS: u64 = 10_000;

fn budget_after_startup(entries: u32) -> RetryBudget {
    let mut budget = RetryBudget::new(at(0), 0.2, 40.0, WINDOW_MS);
    budget.set_entries(entries);
    budget
}

/// A service fails, and four entries that can't reach one another retry as much as they
/// may. Together they stay within the common bound, because each uses only its own
/// part.
#[test]
fn four_entries_without_connection_stay_within_the_common_bound() {
    let service = name("oracle");
    let mut taken = 0;
    let mut requests = 0;
    for _ in 0..4 {
        let mut entry = budget_after_startup(4);
        for ms in (20_000..30_000).step_by(100) {
            entry.record_request(at(ms), &service);
            requests += 1;
            for _ in 0..5 {
                taken += u32::from(entry.try_take(at(ms), &service));
            }
        }
    }
    let allowed = f64::from(requests) * 0.2 + 40.0;
    assert!(f64::from(taken) <= allowed, "{taken} of {allowed}");
    assert!(f64::from(taken) > allowed / 2.0, "{taken} of {allowed}");
}

/// All processes are killed at once and restart. Their earlier retries still count at
/// the upstreams, so the burst isn't available again until the window has passed.
#[test]
fn a_new_process_has_no_burst_at_first() {
    let service = name("oracle");
    let mut entry = budget_after_startup(1);
    let mut at_once = 0;
    while entry.try_take(at(10), &service) {
        at_once += 1;
    }
    assert_eq!(at_once, 0);
    let mut later = 0;
    while entry.try_take(at(WINDOW_MS), &service) {
        later += 1;
    }
    assert!((20..=40).contains(&later), "{later}");
}

#[test]
fn retries_leave_the_window_and_services_have_separate_budgets() {
    let (oracle, desk) = (name("oracle"), name("desk"));
    let mut entry = budget_after_startup(1);
    while entry.try_take(at(20_000), &oracle) {}
    assert!(!entry.try_take(at(25_000), &oracle));
    assert!(entry.try_take(at(25_000), &desk));
    assert!(entry.try_take(at(31_000), &oracle));
}
