//! Adapters with their base models, and new versions of models.

use crate::simulation::*;
use place::{PlacementReason, ResidentState};

// Two adapters share a base model without demand of its own. All three must be
// placed on one accelerator, the base model first.
#[test]
fn adapters_come_with_their_base() {
    let agents = (0..2).map(|index| agent(index, &[80 * GIB])).collect();
    let demands = vec![demand("x00", 3.0, 2), demand("x01", 3.0, 2)];
    let mut cell = SimulatedCell::new(fleet(1, 2), agents, demands);
    let plan = cell.plan();
    let first: Vec<_> = plan
        .targets
        .iter()
        .flat_map(|target| &target.models)
        .collect();
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].reason, PlacementReason::BaseOfAdapter);
    cell.run(10_000);
    assert_eq!(cell.holders("x00"), cell.holders("b00"));
    assert_eq!(cell.holders("x01"), cell.holders("b00"));
    assert_eq!(cell.holders("b00").len(), 1);
}

// Guards against an accelerator that keeps an old version, which no longer receives
// requests. The new version must replace it in place, even within the minimum
// residence and whatever the configured cost of a move.
#[test]
fn a_new_version_replaces_the_old_one() {
    for rate_per_s in [0.0, 2.0] {
        let mut fleet = fleet(1, 0);
        if let Some(weights) = &mut fleet.weights {
            weights.move_cost = 1_000.0;
        }
        if let Some(model) = fleet.models.get_mut("b00") {
            model.version = 2;
        }
        let mut holder = agent(0, &[80 * GIB]);
        let old = resident("b00", ResidentState::Loaded, 100_000);
        holder.residents.push(old);
        let demands = vec![demand("b00", rate_per_s, 0)];
        let mut cell = SimulatedCell::new(fleet, vec![holder], demands);
        let plan = cell.plan();
        let wanted = &plan.targets[0].models;
        assert_eq!(wanted.len(), 1);
        assert_eq!(
            (wanted[0].version, wanted[0].reason),
            (2, PlacementReason::NewVersion)
        );
    }
}

// Guards against planning an adapter twice while an accelerator holds the old
// version of its base model and loads the new one. The adapter counts as part of
// the new one.
#[test]
fn an_adapter_belongs_to_the_newest_base_beside_it() {
    let mut fleet = fleet(1, 1);
    if let Some(model) = fleet.models.get_mut("b00") {
        model.version = 2;
    }
    let mut holder = agent(0, &[160 * GIB]);
    let old = resident("b00", ResidentState::Loaded, 0);
    let mut new = resident("b00", ResidentState::Loading, 99_000);
    new.version = 2;
    let adapter = resident("x00", ResidentState::Loaded, 0);
    holder.residents.extend([old, new, adapter]);
    let demands = vec![demand("x00", 5.0, 5)];
    let mut cell = SimulatedCell::new(fleet, vec![holder], demands);
    let plan = cell.plan();
    let models = plan.targets[0].models.iter();
    let adapters = models.filter(|model| model.model.as_str() == "x00");
    assert_eq!(adapters.count(), 1);
}
