//! Tests of the planner.

mod world;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use base::prelude::*;
use place::{PlaceReason, Plan, ResidentState};
use std::collections::BTreeSet;
use world::*;

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
            assert_eq!(wanted.reason, PlaceReason::MinResidence);
        }
    }
}

// A model that has waited beyond its bound may break a minimum residence, but not a
// load in progress: that would waste the store's budget and help nobody sooner.
#[test]
fn a_late_turn_displaces_a_young_model_but_no_load() {
    let states = [
        (ResidentState::Loaded, "b01", PlaceReason::WaitBound),
        (ResidentState::Loading, "b00", PlaceReason::Kept),
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
    assert_eq!(first[0].reason, PlaceReason::BaseOfAdapter);
    world.run(10_000);
    assert_eq!(world.holders("x00"), world.holders("b00"));
    assert_eq!(world.holders("x01"), world.holders("b00"));
    assert_eq!(world.holders("b00").len(), 1);
}

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
        assert!(left.iter().all(|m| m.reason == PlaceReason::Leaving));
        emptied |= left.is_empty();
    }
    assert!(emptied, "models stayed on the leaving instance");
    assert_eq!(world.loads.len(), 2);
}

// After a cold start everything is wanted at once. The store serves six loads at
// full speed and starts two a second; more would make each of them slower, and a
// planner with part of the budget has to keep to its part.
#[test]
fn loads_stay_within_the_stores_budget() {
    for (share, per_10_s, at_once) in [(1.0, 21, 6), (0.5, 11, 3), (0.0, 0, 0)] {
        let agents = (0..18).map(|index| agent(index, &[80 * GIB])).collect();
        let demands = (0..40).map(|base| demand(&format!("b{base:02}"), 5.0, 20));
        let mut world = World::new(fleet(40, 0), agents, demands.collect());
        world.share = share;
        for _ in 0..20 {
            world.step();
            let residents = world.agents.iter().flat_map(|agent| &agent.residents);
            let loading = residents
                .filter(|held| held.state == ResidentState::Loading)
                .count();
            assert!(loading <= at_once, "{loading} loads at once for {share}");
        }
        assert!(world.loads.len() <= per_10_s, "{:?}", world.loads);
        assert_eq!(world.loads.is_empty(), share == 0.0);
    }
}

// Two planners use the store at once and each keeps to the whole budget, as happens
// after a partition. Loads then take longer than at full speed, and each planner
// that sees this has to take only half.
#[test]
fn slow_loads_make_a_planner_take_less() {
    for (age_ms, starts) in [(1_000, 2), (4_100, 0)] {
        let mut agents: Vec<_> =
            (0..8).map(|index| agent(index, &[80 * GIB])).collect();
        for (index, agent) in agents.iter_mut().take(3).enumerate() {
            let since_ms = 100_000 - age_ms;
            let name = format!("b{index:02}");
            let held = resident(&name, ResidentState::Loading, since_ms);
            agent.residents.push(held);
        }
        let demands = (0..8).map(|base| demand(&format!("b{base:02}"), 5.0, 20));
        let mut world = World::new(fleet(8, 0), agents, demands.collect());
        let plan = world.plan();
        let loads: usize = world
            .agents
            .iter()
            .map(|agent| new_loads(agent, &plan).len())
            .sum();
        assert_eq!(loads, starts, "with loads {age_ms} ms old");
    }
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
            (2, PlaceReason::NewVersion)
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
        (worth, 1.0, 1.0, PlaceReason::NotWorthMove),
        (large, 5.0, 1.0, PlaceReason::NoRoom),
        (fleet(1, 0), 5.0, 0.0, PlaceReason::StoreBudget),
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
