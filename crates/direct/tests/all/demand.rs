//! Smoothed demand for models.

use crate::support::{at, name};
use direct::{Arrival, DemandEstimate, DemandTracker};

fn estimate_of(demand: &DemandTracker, ms: u64, model: &str) -> DemandEstimate {
    let mut estimates = demand.estimates(at(ms));
    estimates
        .find(|(name, _)| ***name == *model)
        .map_or(DemandEstimate::default(), |(_, estimate)| estimate)
}

/// A request of about 100 ms of engine time.
const REQUEST: Arrival = Arrival {
    prompt_tokens: 1_800,
    answer_tokens: 120,
    time_factor: 1.0,
    latency_target_ms: 800,
};

/// Ten requests per second of about 100 ms each.
fn steady(demand: &mut DemandTracker, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..to_ms).step_by(100) {
        demand.record_arrival(&name("a"), &REQUEST);
        demand.update(at(ms));
    }
}

#[test]
fn steady_demand_is_measured_and_later_forgotten() {
    let mut demand = DemandTracker::new();
    demand.update(at(0));
    steady(&mut demand, 100, 20_000);
    let estimate = estimate_of(&demand, 20_000, "a");
    assert!(
        (900.0..1_100.0).contains(&estimate.recent_ms_per_s),
        "{estimate:?}"
    );
    assert!(
        (900.0..1_100.0).contains(&estimate.sustained_ms_per_s),
        "{estimate:?}"
    );
    demand.update(at(80_000));
    assert_eq!(estimate_of(&demand, 80_000, "a"), DemandEstimate::default());
}

#[test]
fn rising_demand_exceeds_sustained_demand_and_falling_demand_is_retained() {
    let mut demand = DemandTracker::new();
    demand.update(at(0));
    steady(&mut demand, 100, 1_500);
    let rising = estimate_of(&demand, 1_500, "a");
    assert!(rising.recent_ms_per_s > rising.sustained_ms_per_s * 1.5);
    steady(&mut demand, 1_500, 20_000);
    demand.update(at(22_000));
    let falling = estimate_of(&demand, 22_000, "a");
    assert!(falling.recent_ms_per_s < 300.0, "{falling:?}");
    assert!(falling.retention_ms_per_s() > 500.0, "{falling:?}");
}

#[test]
fn one_request_gives_no_expected_demand() {
    let mut demand = DemandTracker::new();
    demand.update(at(0));
    demand.record_arrival(&name("a"), &REQUEST);
    demand.update(at(100));
    let estimate = estimate_of(&demand, 100, "a");
    assert!(estimate.recent_ms_per_s > 0.0);
    assert_eq!(estimate.expected_ms_per_s(), 0.0);
}

#[test]
fn waits_are_counted_while_they_last() {
    let mut demand = DemandTracker::new();
    let model = name("a");
    demand.begin_wait(&model, at(100));
    demand.begin_wait(&model, at(300));
    let estimate = estimate_of(&demand, 1_000, "a");
    assert_eq!((estimate.waiting, estimate.oldest_wait_ms), (2, 900));
    demand.end_wait(&model, at(100));
    let estimate = estimate_of(&demand, 1_000, "a");
    assert_eq!((estimate.waiting, estimate.oldest_wait_ms), (1, 700));
}

/// A few long prompts for a rarely used model come from callers with a relaxed target
/// latency. If they counted like urgent ones, the model's copies would replace those of
/// busy models.
#[test]
fn requests_with_a_relaxed_target_count_less() {
    let demand_of = |target_ms: u64| {
        let mut demand = DemandTracker::new();
        demand.update(at(0));
        for ms in (100..5_000).step_by(100) {
            demand.record_arrival(
                &name("a"),
                &Arrival {
                    latency_target_ms: target_ms,
                    ..REQUEST
                },
            );
            demand.update(at(ms));
        }
        estimate_of(&demand, 4_900, "a")
    };
    let (urgent, patient) = (demand_of(800), demand_of(5_000));
    assert!(patient.recent_ms_per_s < urgent.recent_ms_per_s / 4.0);
    assert!(patient.is_wanted(), "{patient:?}");
    assert_eq!(demand_of(100).recent_ms_per_s, urgent.recent_ms_per_s);
}

/// Upstreams have most of each prompt cached, and engines have a time factor below 1:
/// the same requests are less work.
#[test]
fn demand_is_measured_in_engine_time() {
    let mut demand = DemandTracker::new();
    for _ in 0..500 {
        demand.record_sent(1_800, 600);
    }
    demand.update(at(0));
    for ms in (100..10_000).step_by(100) {
        let fast = Arrival {
            time_factor: 0.5,
            ..REQUEST
        };
        demand.record_arrival(&name("a"), &fast);
        demand.update(at(ms));
    }
    let estimate = estimate_of(&demand, 9_900, "a");
    assert!(
        (180.0..220.0).contains(&estimate.recent_ms_per_s),
        "{estimate:?}"
    );
    assert!((15.0..25.0).contains(&estimate.request_ms), "{estimate:?}");
}

/// Two requests within a second are no reliable demand, however long they are; many
/// short ones with the same total work are.
#[test]
fn long_requests_make_demand_less_certain() {
    let estimate = |request_ms: f64| DemandEstimate {
        recent_ms_per_s: 400.0,
        sustained_ms_per_s: 400.0,
        request_ms,
        ..DemandEstimate::default()
    };
    assert_eq!(estimate(400.0).expected_ms_per_s(), 0.0);
    assert!(estimate(20.0).expected_ms_per_s() > 250.0);
}
