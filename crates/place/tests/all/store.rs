//! Loads and the weight store's budget.

use crate::world::*;
use place::ResidentState;

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
