//! Models that are placed stay where they are without a reason to move.

use crate::world::*;
use place::{PlacementReason, Plan, ResidentState};

// A model that has just been loaded serves nobody yet, and taking it off again
// would waste the load. Demand for another model is far higher; it may come once
// the minimum residence is over and not before.
#[test]
fn a_loaded_model_stays_for_its_minimum_residence() {
    for (age_ms, moved) in [(0, false), (4_900, false), (5_000, true)] {
        let mut holder = agent(0, &[80 * GIB]);
        let since_ms = 100_000 - age_ms;
        let young = resident("b00", ResidentState::Loaded, since_ms);
        holder.residents.push(young);
        let demands = vec![demand("b01", 9.0, 90)];
        let mut world = World::new(fleet(2, 0), vec![holder], demands);
        let plan = world.plan();
        let wanted = &plan.targets[0].models[0];
        let expected = if moved { "b01" } else { "b00" };
        assert_eq!(wanted.model.as_str(), expected, "at {age_ms} ms");
        if !moved {
            assert_eq!(wanted.reason, PlacementReason::MinResidence);
        }
    }
}

// Two models ask for the same place and their smoothed rates swing by a quarter, so
// that now the one and now the other is ahead. Moving at each swing would cost a
// load every few seconds and gain nothing.
#[test]
fn noise_in_the_demand_moves_nothing() {
    let mut holder = agent(0, &[80 * GIB]);
    holder
        .residents
        .push(resident("b00", ResidentState::Loaded, 0));
    let demands = vec![demand("b00", 4.0, 0), demand("b01", 4.0, 0)];
    let mut world = World::new(fleet(2, 0), vec![holder], demands);
    world.run(20_000);
    for nth in 0..240u32 {
        let swing = if nth / 8 % 2 == 0 { 0.75 } else { 1.25 };
        world.demands[0].rate_per_s = 4.0 * swing;
        world.demands[1].rate_per_s = 4.0 * (2.0 - swing);
        world.step();
    }
    assert_eq!(world.loads.len(), 0, "loads at {:?}", world.loads);
}

// Nothing changes in what is asked for. Once the demand is placed, each further
// plan has to be the same, or models would move for no reason.
#[test]
fn steady_demand_comes_to_rest() {
    let agents = (0..4).map(|index| agent(index, &[160 * GIB])).collect();
    let names = ["b00", "b01", "b02", "b03", "x00", "x01", "x04"];
    let demands = names.iter().map(|name| demand(name, 2.0, 0)).collect();
    let mut world = World::new(fleet(4, 5), agents, demands);
    world.run(20_000);
    let loads = world.loads.len();
    let before: Vec<_> = world.plan().targets.iter().map(placed).collect();
    world.run(20_000);
    let after: Vec<_> = world.plan().targets.iter().map(placed).collect();
    assert_eq!(before, after);
    assert_eq!((world.loads.len(), world.unloads), (loads, 0));
    assert_eq!(loads, names.len());
}

fn placed(target: &place::AgentTarget) -> Vec<(String, u32)> {
    let models = target.models.iter();
    models
        .map(|model| (model.model.to_string(), model.accelerator))
        .collect()
}

// Heartbeats are behind, so the plans after the first see the residency of before
// it. Meanwhile the demand turns round. A planner that forgot what it had decided
// would call the move off, or plan it elsewhere, while the agent carries it out.
#[test]
fn decisions_that_are_not_shown_yet_are_kept() {
    let mut agents: Vec<_> = (0..2).map(|index| agent(index, &[80 * GIB])).collect();
    for (agent, name) in agents.iter_mut().zip(["b00", "b01"]) {
        let held = resident(name, ResidentState::Loaded, 0);
        agent.residents.push(held);
    }
    let demands = ["b00", "b01", "b02", "b03"].map(|name| demand(name, 0.0, 0));
    let mut world = World::new(fleet(4, 0), agents, demands.to_vec());
    world.demands[1].rate_per_s = 5.0;
    world.demands[2].rate_per_s = 8.0;
    let wanted = |plan: &Plan| plan.targets.iter().map(placed).collect::<Vec<_>>();
    let first = wanted(&world.plan());
    assert_eq!(first, [[("b02".into(), 0)], [("b01".into(), 0)]]);
    world.demands[0].rate_per_s = 40.0;
    world.demands[3].rate_per_s = 50.0;
    world.share = 0.0;
    for _ in 0..6 {
        world.now_ms += PLAN_MS;
        assert_eq!(wanted(&world.plan()), first, "at {} ms", world.now_ms);
    }
}
