//! Plans are feasible, and notes explain why models are not placed.

use crate::simulation::*;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use place::{PlacementReason, ResidentState};

// Guards against plans that agents have to refuse: more memory than an accelerator
// has, or an adapter without its base model. Cells, demand and out-of-range figures
// are random, and agents follow only some of the plans. The same input has to give
// the same plan.
#[test]
fn every_plan_is_feasible_and_repeatable() {
    let property = |u: &mut Unstructured<'_>| {
        let fleet = fleet(u.int_in_range(1..=5)?, u.int_in_range(0..=5)?);
        let agents = random_agents(u, &fleet)?;
        let mut first = SimulatedCell::new(fleet.clone(), agents.clone(), Vec::new());
        let mut second = SimulatedCell::new(fleet.clone(), agents, Vec::new());
        for _ in 0..4 {
            let demands = random_demands(u, &fleet)?;
            first.demands.clone_from(&demands);
            second.demands = demands;
            let agents_follow = u.arbitrary()?;
            let plans = [&mut first, &mut second].map(|cell| {
                let plan = if agents_follow {
                    cell.step()
                } else {
                    cell.plan()
                };
                format!("{plan:?}")
            });
            assert_eq!(plans[0], plans[1], "the same input gave different plans");
        }
        Ok(())
    };
    for case in 0..CASES {
        // The low 32 bits of an arbtest seed are the length of its entropy.
        arbtest(property).seed(case << 32 | 4_096).run();
    }
}

// Guards against a load that the agent's ledger would refuse because the memory is
// still occupied by an unload. The accelerator is unloading a base model and has
// too little free memory next to it, so nothing may be planned there until it is
// gone.
#[test]
fn memory_of_an_unload_is_not_reused_early() {
    let mut holder = agent(0, &[80 * GIB]);
    holder
        .residents
        .push(resident("b00", ResidentState::Unloading, 99_000));
    let mut cell =
        SimulatedCell::new(fleet(2, 0), vec![holder], vec![demand("b01", 9.0, 9)]);
    assert!(cell.plan().targets[0].models.is_empty());
    cell.agents[0].residents.clear();
    assert_eq!(cell.plan().targets[0].models.len(), 1);
}

// Guards against a model with demand that is neither placed nor explained: its
// notes must state the reason.
#[test]
fn every_unplaced_model_has_a_note() {
    let mut costly_moves = fleet(3, 0);
    if let Some(weights) = &mut costly_moves.weights {
        weights.move_cost = 1_000.0;
    }
    let mut large_model = fleet(1, 0);
    if let Some(model) = large_model.models.get_mut("b00") {
        model.size_mib = 90 * GIB;
    }
    let cases = [
        (costly_moves, 1.0, 1.0, PlacementReason::NotWorthMove),
        (large_model, 5.0, 1.0, PlacementReason::NoRoom),
        (fleet(1, 0), 5.0, 0.0, PlacementReason::StoreBudget),
    ];
    for (fleet, rate_per_s, share, reason) in cases {
        let agents = vec![agent(0, &[80 * GIB])];
        let demands = vec![demand("b00", rate_per_s, 0)];
        let mut cell = SimulatedCell::new(fleet, agents, demands);
        cell.store_share = share;
        let notes = cell.plan().notes;
        let found: Vec<_> = notes.iter().map(|note| note.reason).collect();
        assert_eq!(found, [reason]);
    }
}
