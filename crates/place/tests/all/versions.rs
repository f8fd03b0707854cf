//! Adapters and their bases, and new versions of models.

use crate::world::*;
use place::{PlacementReason, ResidentState};

// Two adapters share a base that nobody asks for by its own name. All three have to
// come to one accelerator, the base first, and they leave it together.
#[test]
fn adapters_come_with_their_base() {
    let agents = (0..2).map(|index| agent(index, &[80 * GIB])).collect();
    let demands = vec![demand("x00", 3.0, 2), demand("x01", 3.0, 2)];
    let mut world = World::new(fleet(1, 2), agents, demands);
    let plan = world.plan();
    let first: Vec<_> = plan
        .targets
        .iter()
        .flat_map(|target| &target.models)
        .collect();
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].reason, PlacementReason::BaseOfAdapter);
    world.run(10_000);
    assert_eq!(world.holders("x00"), world.holders("b00"));
    assert_eq!(world.holders("x01"), world.holders("b00"));
    assert_eq!(world.holders("b00").len(), 1);
}

// A new version is published. Requests are sent to it at once, so what holds the
// old one serves nobody: the new one replaces it in place, though the old one is
// within its minimum residence and the move's price is above its worth.
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
        let mut world = World::new(fleet, vec![holder], demands);
        let plan = world.plan();
        let wanted = &plan.targets[0].models;
        assert_eq!(wanted.len(), 1);
        assert_eq!(
            (wanted[0].version, wanted[0].reason),
            (2, PlacementReason::NewVersion)
        );
    }
}

// Both versions of a base are on one accelerator while the new one loads, with an
// adapter beside them. It must be wanted once: were it counted to the old version
// only, the plan would want it again for the new one.
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
    let mut world = World::new(fleet, vec![holder], demands);
    let plan = world.plan();
    let models = plan.targets[0].models.iter();
    let adapters = models.filter(|model| model.model.as_str() == "x00");
    assert_eq!(adapters.count(), 1);
}
