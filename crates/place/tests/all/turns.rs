//! Models that wait get their turn within the bound.

use crate::world::*;
use place::{PlacementReason, ResidentState};

// Forty models are asked for at the same moment and eighteen accelerators can hold
// one each. The store starts two loads a second, so the last turn has to be planned
// while the first still waits; without that, the caller of a late model gives up.
#[test]
fn each_of_forty_models_gets_its_turn_within_the_bound() {
    let agents = (0..18).map(|index| agent(index, &[80 * GIB])).collect();
    let names: Vec<String> = (0..40).map(|base| format!("b{base:02}")).collect();
    let demands = names.iter().enumerate().map(|(index, name)| {
        // The first models are busy for good, so that worth alone keeps them.
        let rate = if index < 18 { 12.0 } else { 0.1 };
        demand(name, rate, 3)
    });
    let mut fleet = fleet(40, 0);
    if let Some(weights) = &mut fleet.weights {
        // No move is worth its price, so that every turn is one of the bound.
        weights.move_cost = 10_000.0;
    }
    let mut world = World::new(fleet, agents, demands.collect());
    let start_ms = world.now_ms;
    let mut served_ms = vec![None; names.len()];
    while world.now_ms < start_ms + 30_000 {
        for (index, name) in names.iter().enumerate() {
            let served = !world.holders(name).is_empty();
            if served && served_ms[index].is_none() {
                served_ms[index] = Some(world.now_ms - start_ms);
            }
            let waits = served_ms[index].is_none();
            world.demands[index].waiting = if waits { 3 } else { 0 };
            world.demands[index].oldest_wait_ms =
                if waits { world.now_ms - start_ms } else { 0 };
        }
        world.step();
    }
    let missed: Vec<_> = names
        .iter()
        .zip(&served_ms)
        .filter(|(_, served)| served.is_none())
        .collect();
    assert!(missed.is_empty(), "no turn within 30 s: {missed:?}");
}

// The requests of a rare model are given up on at their deadline, one by one, and
// each takes its age with it: no single request ever waits for long, yet nobody
// asking for the model is served. The model's wait counts over all of them.
#[test]
fn work_that_expires_does_not_reset_the_wait() {
    let mut holder = agent(0, &[80 * GIB]);
    holder
        .residents
        .push(resident("b00", ResidentState::Loaded, 0));
    let demands = vec![demand("b00", 20.0, 0), demand("b01", 0.1, 1)];
    let mut world = World::new(fleet(2, 0), vec![holder], demands);
    for nth in 0..60 {
        world.demands[1].oldest_wait_ms = nth % 8 * PLAN_MS;
        world.demands[1].waiting = u32::from(nth % 8 != 0);
        world.step();
        if !world.holders("b01").is_empty() {
            return;
        }
    }
    panic!("b01 got no turn within its bound of 30 s");
}

// A model that has waited beyond its bound may break a minimum residence, but not a
// load in progress: that would waste the store's budget and help nobody sooner.
#[test]
fn a_late_turn_displaces_a_young_model_but_no_load() {
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
        let mut world = World::new(fleet(2, 0), vec![holder], demands);
        let plan = world.plan();
        let wanted = &plan.targets[0].models[0];
        assert_eq!((wanted.model.as_str(), wanted.reason), (expected, reason));
    }
}
