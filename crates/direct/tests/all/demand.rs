//! Demand for models as it is smoothed.

use crate::support::{at, name};
use direct::{Demand, Load};

fn load_of(demand: &Demand, ms: u64, model: &str) -> Load {
    let mut loads = demand.loads(at(ms));
    loads
        .find(|(name, _)| ***name == *model)
        .map_or(Load::default(), |(_, load)| load)
}

/// Ten requests a second of about 100 ms each.
fn steady(demand: &mut Demand, from_ms: u64, to_ms: u64) {
    for ms in (from_ms..to_ms).step_by(100) {
        demand.arrived(&name("a"), 1_800, 120);
        demand.update(at(ms));
    }
}

#[test]
fn steady_demand_is_found_and_forgotten() {
    let mut demand = Demand::new();
    demand.update(at(0));
    steady(&mut demand, 100, 20_000);
    let load = load_of(&demand, 20_000, "a");
    assert!((900.0..1_100.0).contains(&load.newest_ms_per_s), "{load:?}");
    assert!(
        (900.0..1_100.0).contains(&load.lasting_ms_per_s),
        "{load:?}"
    );
    demand.update(at(80_000));
    assert_eq!(load_of(&demand, 80_000, "a"), Load::default());
}

#[test]
fn a_rise_is_expected_to_go_on_and_a_fall_is_remembered() {
    let mut demand = Demand::new();
    demand.update(at(0));
    steady(&mut demand, 100, 1_500);
    let rising = load_of(&demand, 1_500, "a");
    assert!(rising.newest_ms_per_s > rising.lasting_ms_per_s * 1.5);
    steady(&mut demand, 1_500, 20_000);
    demand.update(at(22_000));
    let falling = load_of(&demand, 22_000, "a");
    assert!(falling.newest_ms_per_s < 300.0, "{falling:?}");
    assert!(falling.kept_ms_per_s() > 500.0, "{falling:?}");
}

#[test]
fn one_request_is_no_certain_demand() {
    let mut demand = Demand::new();
    demand.update(at(0));
    demand.arrived(&name("a"), 1_800, 120);
    demand.update(at(100));
    let load = load_of(&demand, 100, "a");
    assert!(load.newest_ms_per_s > 0.0);
    assert_eq!(load.expected_ms_per_s(), 0.0);
}

#[test]
fn waits_are_counted_while_they_last() {
    let mut demand = Demand::new();
    let model = name("a");
    demand.wait(&model, at(100));
    demand.wait(&model, at(300));
    let load = load_of(&demand, 1_000, "a");
    assert_eq!((load.waiting, load.oldest_wait_ms), (2, 900));
    demand.wait_ended(&model, at(100));
    let load = load_of(&demand, 1_000, "a");
    assert_eq!((load.waiting, load.oldest_wait_ms), (1, 700));
}
