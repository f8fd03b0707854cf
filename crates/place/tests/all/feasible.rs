//! Plans ask for what can be held, and say why something is left out.

use crate::world::*;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use place::{PlacementReason, ResidentState};

// An operator sees an agent refuse a target, or a model come up without its base,
// when a plan asks for what can't be held. Cells, demand and figures out of range
// are drawn at random, and plans are made while the view stays behind.
#[test]
fn every_plan_is_feasible_and_repeatable() {
    let property = |u: &mut Unstructured<'_>| {
        let fleet = fleet(u.int_in_range(1..=5)?, u.int_in_range(0..=5)?);
        let agents = random_agents(u, &fleet)?;
        let mut first = World::new(fleet.clone(), agents.clone(), Vec::new());
        let mut second = World::new(fleet.clone(), agents, Vec::new());
        for _ in 0..4 {
            let demands = random_demands(u, &fleet)?;
            first.demands.clone_from(&demands);
            second.demands = demands;
            let follow = u.arbitrary()?;
            let plans = [&mut first, &mut second].map(|world| {
                let plan = if follow { world.step() } else { world.plan() };
                format!("{plan:?}")
            });
            assert_eq!(plans[0], plans[1], "the same input, another plan");
        }
        Ok(())
    };
    for case in 0..CASES {
        // The low half of a seed is the length of the entropy.
        arbtest(property).seed(case << 32 | 4_096).run();
    }
}

// A load that is ordered while an unload still holds the memory is refused by the
// agent's ledger. The view shows a base being unloaded and room beside it that is
// too small; nothing may be planned there until the unload has ended.
#[test]
fn memory_of_an_unload_is_not_promised_again() {
    let mut holder = agent(0, &[80 * GIB]);
    holder
        .residents
        .push(resident("b00", ResidentState::Unloading, 99_000));
    let mut world = World::new(fleet(2, 0), vec![holder], vec![demand("b01", 9.0, 9)]);
    assert!(world.plan().targets[0].models.is_empty());
    world.agents[0].residents.clear();
    assert_eq!(world.plan().targets[0].models.len(), 1);
}

// An operator asks why a model waits. Each model with work and no holder has to be
// in the notes with a reason that fits.
#[test]
fn every_omission_has_a_reason() {
    let mut worth = fleet(3, 0);
    if let Some(weights) = &mut worth.weights {
        weights.move_cost = 1_000.0;
    }
    let mut large = fleet(1, 0);
    if let Some(model) = large.models.get_mut("b00") {
        model.size_mib = 90 * GIB;
    }
    let cases = [
        (worth, 1.0, 1.0, PlacementReason::NotWorthMove),
        (large, 5.0, 1.0, PlacementReason::NoRoom),
        (fleet(1, 0), 5.0, 0.0, PlacementReason::StoreBudget),
    ];
    for (fleet, rate_per_s, share, reason) in cases {
        let agents = vec![agent(0, &[80 * GIB])];
        let demands = vec![demand("b00", rate_per_s, 0)];
        let mut world = World::new(fleet, agents, demands);
        world.share = share;
        let notes = world.plan().notes;
        let found: Vec<_> = notes.iter().map(|note| note.reason).collect();
        assert_eq!(found, [reason]);
    }
}
