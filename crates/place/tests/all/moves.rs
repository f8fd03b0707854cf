//! Placed models stay where they are unless there is a reason to move them.

use crate::simulation::*;
use place::{PlacementReason, Plan, ResidentState};

// Guards against removing a model that has just been loaded, which would waste the
// load. A second model with far higher demand may displace it only after the
// minimum residence.
#[test]
fn a_loaded_model_stays_for_its_minimum_residence() {
    for (age_ms, moved) in [(0, false), (4_900, false), (5_000, true)] {
        let mut holder = agent(0, &[80 * GIB]);
        let since_ms = 100_000 - age_ms;
        let young = resident("b00", ResidentState::Loaded, since_ms);
        holder.residents.push(young);
        let demands = vec![demand("b01", 9.0, 90)];
        let mut cell = SimulatedCell::new(fleet(2, 0), vec![holder], demands);
        let plan = cell.plan();
        let wanted = &plan.targets[0].models[0];
        let expected = if moved { "b01" } else { "b00" };
        assert_eq!(wanted.model.as_str(), expected, "at {age_ms} ms");
        if !moved {
            assert_eq!(wanted.reason, PlacementReason::MinResidence);
        }
    }
}

// Guards against needless loads when two models compete for one accelerator and
// their smoothed rates fluctuate by a quarter, so that the larger of the two keeps
// changing.
#[test]
fn demand_noise_moves_nothing() {
    let mut holder = agent(0, &[80 * GIB]);
    holder
        .residents
        .push(resident("b00", ResidentState::Loaded, 0));
    let demands = vec![demand("b00", 4.0, 0), demand("b01", 4.0, 0)];
    let mut cell = SimulatedCell::new(fleet(2, 0), vec![holder], demands);
    cell.run(20_000);
    for nth in 0..240u32 {
        let factor = if nth / 8 % 2 == 0 { 0.75 } else { 1.25 };
        cell.demands[0].rate_per_s = 4.0 * factor;
        cell.demands[1].rate_per_s = 4.0 * (2.0 - factor);
        cell.step();
    }
    assert_eq!(
        cell.load_times_ms.len(),
        0,
        "loads at {:?}",
        cell.load_times_ms
    );
}

// Guards against moves without a reason: once constant demand has been placed, all
// further plans must be the same.
#[test]
fn steady_demand_gives_a_constant_plan() {
    let agents = (0..4).map(|index| agent(index, &[160 * GIB])).collect();
    let names = ["b00", "b01", "b02", "b03", "x00", "x01", "x04"];
    let demands = names.iter().map(|name| demand(name, 2.0, 0)).collect();
    let mut cell = SimulatedCell::new(fleet(4, 5), agents, demands);
    cell.run(20_000);
    let loads = cell.load_times_ms.len();
    let before: Vec<_> = cell.plan().targets.iter().map(placed).collect();
    cell.run(20_000);
    let after: Vec<_> = cell.plan().targets.iter().map(placed).collect();
    assert_eq!(before, after);
    assert_eq!((cell.load_times_ms.len(), cell.unloads), (loads, 0));
    assert_eq!(loads, names.len());
}

fn placed(target: &place::AgentTarget) -> Vec<(String, u32)> {
    let models = target.models.iter();
    models
        .map(|model| (model.model.to_string(), model.accelerator))
        .collect()
}

// Guards against reversing or repeating a decision that the agents are carrying
// out. Heartbeats lag behind, so the following plans still see the old state, while
// the demand changes to favor the displaced models.
#[test]
fn unreported_decisions_are_kept() {
    let mut agents: Vec<_> = (0..2).map(|index| agent(index, &[80 * GIB])).collect();
    for (agent, name) in agents.iter_mut().zip(["b00", "b01"]) {
        let held = resident(name, ResidentState::Loaded, 0);
        agent.residents.push(held);
    }
    let demands = ["b00", "b01", "b02", "b03"].map(|name| demand(name, 0.0, 0));
    let mut cell = SimulatedCell::new(fleet(4, 0), agents, demands.to_vec());
    cell.demands[1].rate_per_s = 5.0;
    cell.demands[2].rate_per_s = 8.0;
    let wanted = |plan: &Plan| plan.targets.iter().map(placed).collect::<Vec<_>>();
    let first = wanted(&cell.plan());
    assert_eq!(first, [[("b02".into(), 0)], [("b01".into(), 0)]]);
    cell.demands[0].rate_per_s = 40.0;
    cell.demands[3].rate_per_s = 50.0;
    cell.store_share = 0.0;
    for _ in 0..6 {
        cell.now_ms += PLAN_MS;
        assert_eq!(wanted(&cell.plan()), first, "at {} ms", cell.now_ms);
    }
}
