//! Measures the time of one plan for different sizes of the cell.
//!
//! Run with `cargo bench -p place --bench plan`. Each row gives the median and the
//! maximum over the plans of a cell with full accelerators whose demand changes
//! with each plan.
#![allow(missing_docs)]

use base::Revision;
use base::prelude::*;
use conf::Config;
use place::{AgentView, ModelDemand, PlanInput, Planner, ResidentState, ResidentView};
use schema::settings::{Fleet, Model, Pool, Store, Weights};
use std::time;

const GIB: u32 = 1_024;
const PLANS: u64 = 41;

fn main() {
    println!(
        "{:>7} {:>7} {:>12} {:>12}",
        "agents", "models", "median ns", "most ns"
    );
    for agents in [4, 16, 64, 256] {
        for models in [10, 50, 200, 800] {
            let config = config(models);
            let agents_view = views(agents, models);
            let mut planner = Planner::new();
            let mut times_ns = Vec::new();
            for nth in 0..PLANS {
                let demands = demands(models, nth);
                let input = PlanInput {
                    now: Instant::from_ms(100_000 + nth * 500),
                    config: &config,
                    agents: &agents_view,
                    demands: &demands,
                    store_share: 1.0,
                };
                let start = time::Instant::now();
                std::hint::black_box(planner.plan(&input));
                times_ns.push(start.elapsed().as_nanos());
            }
            times_ns.sort_unstable();
            let median = times_ns[times_ns.len() / 2];
            let most = times_ns[times_ns.len() - 1];
            println!("{agents:>7} {models:>7} {median:>12} {most:>12}");
        }
    }
}

fn name(model: usize) -> String {
    format!("base-{model:04}")
}

fn config(models: usize) -> Config {
    let mut fleet = Fleet {
        weights: Some(Weights {
            attainment: 1.0,
            move_cost: 1.0,
            min_residence_ms: 5_000,
            wait_max_ms: 60_000,
        }),
        store: Some(Store {
            loads_per_s: 8.0,
            full_speed_loads: 32,
            load_time_ms: 2_000,
        }),
        ..Fleet::default()
    };
    let pool = Pool {
        kind: "engine".into(),
        concurrent_max: 16,
        ..Pool::default()
    };
    fleet.pools.insert("engines".into(), pool);
    for model in 0..models {
        let spec = Model {
            size_mib: 70 * GIB,
            version: 1,
            pool: "engines".into(),
        };
        fleet.models.insert(name(model), spec);
    }
    Config::new(Revision(1), fleet)
}

fn views(agents: usize, models: usize) -> Vec<AgentView> {
    (0..agents)
        .map(|index| AgentView {
            id: AgentId::new(&format!("s{index:03}")),
            domain: FailureDomainId::new(&format!("d{}", index % 4)),
            pool: PoolId::new("engines"),
            accelerators_mib: vec![80 * GIB],
            residents: vec![ResidentView {
                model: ModelId::new(&name(index % models)),
                version: 1,
                accelerator: 0,
                size_mib: 70 * GIB,
                state: ResidentState::Loaded,
                since: Instant::ZERO,
            }],
            leaving: false,
        })
        .collect()
}

/// Demand whose order by value differs from plan to plan.
fn demands(models: usize, nth: u64) -> Vec<ModelDemand> {
    (0..models)
        .map(|model| ModelDemand {
            model: ModelId::new(&name(model)),
            rate_per_s: ((model as u64 * 31 + nth * 17) % 97) as f64 / 4.0,
            waiting: ((model as u64 + nth) % 5) as u32,
            oldest_wait_ms: (model as u64 + nth) % 7 * 1_000,
            service_time_ms: 1_000,
            value: 1.0,
        })
        .collect()
}
