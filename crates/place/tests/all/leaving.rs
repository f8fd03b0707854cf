//! Instances and failure domains that go.

use crate::world::*;
use base::prelude::*;
use place::{PlacementReason, ResidentState};
use std::collections::BTreeSet;

// An instance is about to go and holds the only copies of two models. They have to
// be loaded elsewhere while it is still there; once they are, it is emptied. The
// store's price of a move does not keep them from being placed.
#[test]
fn a_leaving_instance_is_emptied_once_its_models_are_elsewhere() {
    let mut fleet = fleet(3, 1);
    if let Some(weights) = &mut fleet.weights {
        weights.move_cost = 1_000.0;
    }
    let mut agents: Vec<_> = (0..3).map(|index| agent(index, &[160 * GIB])).collect();
    for name in ["b00", "b01", "b02"] {
        let held = resident(name, ResidentState::Loaded, 0);
        agents[0].residents.push(held);
        agents[0].accelerators_mib[0] = 240 * GIB;
    }
    agents[0].leaving = true;
    let demands = vec![demand("b00", 2.0, 0), demand("b01", 0.5, 0)];
    let mut world = World::new(fleet, agents, demands);
    let mut emptied = false;
    for _ in 0..20 {
        let plan = world.step();
        let left = &plan.targets[0].models;
        let elsewhere =
            |name: &str| world.holders(name).iter().any(|index| *index != 0);
        for name in ["b00", "b01"] {
            let kept = left.iter().any(|model| model.model.as_str() == name);
            assert!(kept || elsewhere(name), "{name} went before it was placed");
        }
        assert!(left.iter().all(|m| m.reason == PlacementReason::Leaving));
        emptied |= left.is_empty();
    }
    assert!(emptied, "models stayed on the leaving instance");
    assert_eq!(world.loads.len(), 2);
}

// A failure domain is lost with a third of the accelerators. Models that only it
// held are asked for at once, and come back elsewhere in place of models that are
// asked for less; a model with two replicas had them in different domains.
#[test]
fn a_lost_failure_domain_is_replaced() {
    let mut agents: Vec<_> = (0..9).map(|index| agent(index, &[80 * GIB])).collect();
    for (index, agent) in agents.iter_mut().enumerate() {
        agent.domain = DomainId::new(&format!("d{}", index / 3));
    }
    let mut demands: Vec<_> = (0..8)
        .map(|base| demand(&format!("b{base:02}"), 3.0, 0))
        .collect();
    demands[0].rate_per_s = 25.0;
    let mut world = World::new(fleet(8, 0), agents, demands);
    world.run(20_000);
    let domains = |world: &World, name: &str| -> BTreeSet<DomainId> {
        let holders = world.holders(name);
        let domains = holders.iter().map(|index| &world.agents[*index].domain);
        domains.cloned().collect()
    };
    assert_eq!(world.holders("b00").len(), 2);
    assert_eq!(domains(&world, "b00").len(), 2);
    let gone = DomainId::new("d0");
    world.agents.retain(|agent| agent.domain != gone);
    for demand in &mut world.demands[5..] {
        demand.rate_per_s = 0.0;
    }
    world.run(20_000);
    for base in 0..5 {
        let name = format!("b{base:02}");
        assert!(!world.holders(&name).is_empty(), "{name} did not come back");
    }
}
