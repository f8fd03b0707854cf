//! Instances that shut down and failure domains that are lost.

use crate::simulation::*;
use base::prelude::*;
use place::{PlacementReason, ResidentState};
use std::collections::BTreeSet;

// Guards against models that become unavailable because the only instance that
// holds them shuts down. They must be loaded elsewhere before they are removed,
// whatever the configured cost of a move, and then the instance must be emptied.
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
    let mut cell = SimulatedCell::new(fleet, agents, demands);
    let mut emptied = false;
    for _ in 0..20 {
        let plan = cell.step();
        let still_wanted = &plan.targets[0].models;
        let elsewhere = |name: &str| cell.holders(name).iter().any(|index| *index != 0);
        for name in ["b00", "b01"] {
            let kept = still_wanted
                .iter()
                .any(|model| model.model.as_str() == name);
            assert!(
                kept || elsewhere(name),
                "{name} was removed before it was placed elsewhere"
            );
        }
        assert!(
            still_wanted
                .iter()
                .all(|m| m.reason == PlacementReason::Leaving)
        );
        emptied |= still_wanted.is_empty();
    }
    assert!(emptied, "models stayed on the leaving instance");
    assert_eq!(cell.load_times_ms.len(), 2);
}

// Guards against models that stay unavailable after a failure domain with a third
// of the accelerators is lost. Models held only there must come back elsewhere, in
// place of models without demand. A model with two replicas must have them in
// different domains beforehand.
#[test]
fn a_lost_failure_domain_is_replaced() {
    let mut agents: Vec<_> = (0..9).map(|index| agent(index, &[80 * GIB])).collect();
    for (index, agent) in agents.iter_mut().enumerate() {
        agent.domain = FailureDomainId::new(&format!("d{}", index / 3));
    }
    let mut demands: Vec<_> = (0..8)
        .map(|base| demand(&format!("b{base:02}"), 3.0, 0))
        .collect();
    demands[0].rate_per_s = 25.0;
    let mut cell = SimulatedCell::new(fleet(8, 0), agents, demands);
    cell.run(20_000);
    let domains = |cell: &SimulatedCell, name: &str| -> BTreeSet<FailureDomainId> {
        let holders = cell.holders(name);
        let domains = holders.iter().map(|index| &cell.agents[*index].domain);
        domains.cloned().collect()
    };
    assert_eq!(cell.holders("b00").len(), 2);
    assert_eq!(domains(&cell, "b00").len(), 2);
    let lost_domain = FailureDomainId::new("d0");
    cell.agents.retain(|agent| agent.domain != lost_domain);
    for demand in &mut cell.demands[5..] {
        demand.rate_per_s = 0.0;
    }
    cell.run(20_000);
    for base in 0..5 {
        let name = format!("b{base:02}");
        assert!(
            !cell.holders(&name).is_empty(),
            "{name} was not loaded again"
        );
    }
}
