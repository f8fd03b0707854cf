//! Models with waiting requests are loaded within the configured bound.

use crate::simulation::*;
use place::{PlacementReason, ResidentState};

// Guards against models that wait beyond the bound when forty are requested at once
// and eighteen accelerators hold one each. The store starts two loads per second,
// so loads for the last models must be planned long before their own bound is
// close.
#[test]
fn every_model_is_loaded_within_the_wait_bound() {
    let agents = (0..18).map(|index| agent(index, &[80 * GIB])).collect();
    let names: Vec<String> = (0..40).map(|base| format!("b{base:02}")).collect();
    let demands = names.iter().enumerate().map(|(index, name)| {
        // The first models have constant high demand, so that by value alone they
        // would stay.
        let rate = if index < 18 { 12.0 } else { 0.1 };
        demand(name, rate, 3)
    });
    let mut fleet = fleet(40, 0);
    if let Some(weights) = &mut fleet.weights {
        // No move is justified by its gain, so that every load is due to the wait
        // bound.
        weights.move_cost = 10_000.0;
    }
    let mut cell = SimulatedCell::new(fleet, agents, demands.collect());
    let start_ms = cell.now_ms;
    let mut served_ms = vec![None; names.len()];
    while cell.now_ms < start_ms + 30_000 {
        for (index, name) in names.iter().enumerate() {
            let served = !cell.holders(name).is_empty();
            if served && served_ms[index].is_none() {
                served_ms[index] = Some(cell.now_ms - start_ms);
            }
            let waits = served_ms[index].is_none();
            cell.demands[index].waiting = if waits { 3 } else { 0 };
            cell.demands[index].oldest_wait_ms =
                if waits { cell.now_ms - start_ms } else { 0 };
        }
        cell.step();
    }
    let missed: Vec<_> = names
        .iter()
        .zip(&served_ms)
        .filter(|(_, served)| served.is_none())
        .collect();
    assert!(missed.is_empty(), "not loaded within 30 s: {missed:?}");
}

// Guards against a rarely used model that is never loaded because its requests
// expire one by one, so that no single request waits for long. The model's wait
// must count across requests.
#[test]
fn expired_requests_do_not_reset_the_wait() {
    let mut holder = agent(0, &[80 * GIB]);
    holder
        .residents
        .push(resident("b00", ResidentState::Loaded, 0));
    let demands = vec![demand("b00", 20.0, 0), demand("b01", 0.1, 1)];
    let mut cell = SimulatedCell::new(fleet(2, 0), vec![holder], demands);
    for nth in 0..60 {
        cell.demands[1].oldest_wait_ms = nth % 8 * PLAN_MS;
        cell.demands[1].waiting = u32::from(nth % 8 != 0);
        cell.step();
        if !cell.holders("b01").is_empty() {
            return;
        }
    }
    panic!("b01 was not loaded within its bound of 30 s");
}

// A model that misses its bound may displace a model within its minimum residence,
// but not a load in progress: aborting it would waste the store's budget without
// freeing the accelerator sooner.
#[test]
fn an_overdue_model_displaces_a_loaded_model_but_no_load() {
    let states = [
        (ResidentState::Loaded, "b01", PlacementReason::WaitBound),
        (ResidentState::Loading, "b00", PlacementReason::Kept),
    ];
    for (state, expected, reason) in states {
        let mut holder = agent(0, &[80 * GIB]);
        holder.residents.push(resident("b00", state, 99_000));
        let mut late = demand("b01", 0.1, 1);
        late.oldest_wait_ms = 30_000;
        let demands = vec![demand("b00", 9.0, 9), late];
        let mut cell = SimulatedCell::new(fleet(2, 0), vec![holder], demands);
        let plan = cell.plan();
        let wanted = &plan.targets[0].models[0];
        assert_eq!((wanted.model.as_str(), wanted.reason), (expected, reason));
    }
}
