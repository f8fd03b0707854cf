//! Loads stay within the weight store's budget.

use crate::simulation::*;
use place::ResidentState;

// Guards against overloading the weight store when all models are wanted after a
// cold start. The store serves six loads at full speed and starts two per second,
// and a planner with a share of the budget must keep to its share.
#[test]
fn loads_stay_within_the_stores_budget() {
    for (share, per_10_s, at_once) in [(1.0, 21, 6), (0.5, 11, 3), (0.0, 0, 0)] {
        let agents = (0..18).map(|index| agent(index, &[80 * GIB])).collect();
        let demands = (0..40).map(|base| demand(&format!("b{base:02}"), 5.0, 20));
        let mut cell = SimulatedCell::new(fleet(40, 0), agents, demands.collect());
        cell.store_share = share;
        for _ in 0..20 {
            cell.step();
            let residents = cell.agents.iter().flat_map(|agent| &agent.residents);
            let loading = residents
                .filter(|held| held.state == ResidentState::Loading)
                .count();
            assert!(loading <= at_once, "{loading} loads at once for {share}");
        }
        assert!(
            cell.load_times_ms.len() <= per_10_s,
            "{:?}",
            cell.load_times_ms
        );
        assert_eq!(cell.load_times_ms.is_empty(), share == 0.0);
    }
}

// Guards against two planners that each use the whole budget, for example after a
// network partition. Loads then take longer than at full speed, and a planner that
// sees this must halve its concurrent loads.
#[test]
fn slow_loads_halve_a_planners_loads() {
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
        let mut cell = SimulatedCell::new(fleet(8, 0), agents, demands.collect());
        let plan = cell.plan();
        let loads: usize = cell
            .agents
            .iter()
            .map(|agent| new_loads(agent, &plan).len())
            .sum();
        assert_eq!(loads, starts, "with loads {age_ms} ms old");
    }
}
