//! Demand for models as it is smoothed.

use crate::support::{at, name};
use direct::{Arrival, DemandEstimate, DemandTracker};

fn load_of(demand: &DemandTracker, ms: u64, model: &str) -> DemandEstimate {
    let mut loads = demand.estimates(at(ms));
    loads
        .find(|(name, _)| ***name == *model)
        .map_or(DemandEstimate::default(), |(_, load)| load)
}

/// A request of about 100 ms.
const REQUEST: Arrival = Arrival {
    prompt_tokens: 1_800,
    answer_tokens: 120,
    time_factor: 1.0,
    latency_target_ms: 800,
};

/// Ten requests a second of about 100 ms each.
fn steady(demand: &mut DemandTracker, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..to_ms).step_by(100) {
        demand.record_arrival(&name("a"), &REQUEST);
        demand.update(at(ms));
    }
}

#[test]
fn steady_demand_is_found_and_forgotten() {
    let mut demand = DemandTracker::new();
    demand.update(at(0));
    steady(&mut demand, 100, 20_000);
    let load = load_of(&demand, 20_000, "a");
    assert!((900.0..1_100.0).contains(&load.recent_ms_per_s), "{load:?}");
    assert!(
        (900.0..1_100.0).contains(&load.sustained_ms_per_s),
        "{load:?}"
    );
    demand.update(at(80_000));
    assert_eq!(load_of(&demand, 80_000, "a"), DemandEstimate::default());
}

#[test]
fn a_rise_is_expected_to_go_on_and_a_fall_is_remembered() {
    let mut demand = DemandTracker::new();
    demand.update(at(0));
    steady(&mut demand, 100, 1_500);
    let rising = load_of(&demand, 1_500, "a");
    assert!(rising.recent_ms_per_s > rising.sustained_ms_per_s * 1.5);
    steady(&mut demand, 1_500, 20_000);
    demand.update(at(22_000));
    let falling = load_of(&demand, 22_000, "a");
    assert!(falling.recent_ms_per_s < 300.0, "{falling:?}");
    assert!(falling.retention_ms_per_s() > 500.0, "{falling:?}");
}

#[test]
fn one_request_is_no_certain_demand() {
    let mut demand = DemandTracker::new();
    demand.update(at(0));
    demand.record_arrival(&name("a"), &REQUEST);
    demand.update(at(100));
    let load = load_of(&demand, 100, "a");
    assert!(load.recent_ms_per_s > 0.0);
    assert_eq!(load.expected_ms_per_s(), 0.0);
}

#[test]
fn waits_are_counted_while_they_last() {
    let mut demand = DemandTracker::new();
    let model = name("a");
    demand.begin_wait(&model, at(100));
    demand.begin_wait(&model, at(300));
    let load = load_of(&demand, 1_000, "a");
    assert_eq!((load.waiting, load.oldest_wait_ms), (2, 900));
    demand.end_wait(&model, at(100));
    let load = load_of(&demand, 1_000, "a");
    assert_eq!((load.waiting, load.oldest_wait_ms), (1, 700));
}

/// A few long prompts for a rare model come from callers who can wait. Counted like those
/// of callers who can't, they would bring copies that take the places of busy models.
#[test]
fn demand_counts_less_if_its_callers_can_wait() {
    let demand_of = |aim_ms: u64| {
        let mut demand = DemandTracker::new();
        demand.update(at(0));
        for ms in (100..5_000).step_by(100) {
            demand.record_arrival(
                &name("a"),
                &Arrival {
                    latency_target_ms: aim_ms,
                    ..REQUEST
                },
            );
            demand.update(at(ms));
        }
        load_of(&demand, 4_900, "a")
    };
    let (urgent, patient) = (demand_of(800), demand_of(5_000));
    assert!(patient.recent_ms_per_s < urgent.recent_ms_per_s / 4.0);
    assert!(patient.is_wanted(), "{patient:?}");
    assert_eq!(demand_of(100).recent_ms_per_s, urgent.recent_ms_per_s);
}

/// Most of each prompt is kept by the upstreams that are found, and engines are faster
/// than the common pace: the same requests are less work.
#[test]
fn demand_is_what_engines_take() {
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
    let load = load_of(&demand, 9_900, "a");
    assert!((180.0..220.0).contains(&load.recent_ms_per_s), "{load:?}");
    assert!((15.0..25.0).contains(&load.request_ms), "{load:?}");
}

/// Two requests in a second are no certain demand, however long they are; many short
/// ones of the same work are.
#[test]
fn long_requests_make_demand_less_certain() {
    let load = |request_ms: f64| DemandEstimate {
        recent_ms_per_s: 400.0,
        sustained_ms_per_s: 400.0,
        request_ms,
        ..DemandEstimate::default()
    };
    assert_eq!(load(400.0).expected_ms_per_s(), 0.0);
    assert!(load(20.0).expected_ms_per_s() > 250.0);
}
