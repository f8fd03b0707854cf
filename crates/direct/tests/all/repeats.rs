//! The bound on repeats, over several entries.

use crate::support::{at, name};
use direct::RetryBudget;

const WINDOW_MS: u64 = 10_000;

fn grown_up(entries: u32) -> RetryBudget {
    let mut repeats = RetryBudget::new(at(0), 0.2, 40.0, WINDOW_MS);
    repeats.set_entries(entries);
    repeats
}

/// A service fails and four entries, cut off from one another, repeat as much as
/// they may. Together they stay under the bound of all, because each has only
/// its own part of it.
#[test]
fn four_entries_cut_off_from_one_another_keep_the_bound_of_all() {
    let service = name("oracle");
    let mut taken = 0;
    let mut requests = 0;
    for _ in 0..4 {
        let mut entry = grown_up(4);
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

/// All processes are killed at once and start again. What they repeated before
/// still counts at the upstreams, so the burst is not given out a second time
/// until the window has passed.
#[test]
fn a_process_that_starts_has_no_burst_at_once() {
    let service = name("oracle");
    let mut entry = grown_up(1);
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
fn repeats_leave_the_window_and_services_do_not_share() {
    let (oracle, desk) = (name("oracle"), name("desk"));
    let mut entry = grown_up(1);
    while entry.try_take(at(20_000), &oracle) {}
    assert!(!entry.try_take(at(25_000), &oracle));
    assert!(entry.try_take(at(25_000), &desk));
    assert!(entry.try_take(at(31_000), &oracle));
}
