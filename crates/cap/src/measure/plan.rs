//! Cost of planning one cell, against its agents and models.

use super::messages::{self, Fleet};
use super::sampling::{measure_at_sizes, median_ns};
use crate::fit::{Growth, Series};
use base::Revision;
use base::prelude::*;
use conf::Config;
use place::{AgentView, ModelDemand, PlanInput, Planner, ResidentState, ResidentView};
use std::hint::black_box;

const AGENT_COUNTS: [usize; 5] = [4, 16, 64, 128, 256];
const MODEL_COUNTS: [usize; 5] = [25, 100, 400, 800, 1_600];
const MODELS_PER_CELL: usize = 200;
const AGENTS_PER_CELL: usize = 64;
const PLANS_PER_SIZE: usize = 15;

/// Duration of a plan for 200 models, against the cell's agents, in
/// nanoseconds.
pub fn by_agents() -> Series {
    Series {
        name: "plan a cell with 200 models",
        size_of: "agents",
        unit: "ns",
        growth: Growth::PowerLaw,
        samples: measure_at_sizes(&AGENT_COUNTS, |agents| {
            measure(agents, MODELS_PER_CELL)
        }),
    }
}

/// Duration of a plan for 64 agents, against the models with demand, in
/// nanoseconds.
pub fn by_models() -> Series {
    Series {
        name: "plan a cell of 64 agents",
        size_of: "models",
        unit: "ns",
        growth: Growth::PowerLaw,
        samples: measure_at_sizes(&MODEL_COUNTS, |models| {
            measure(AGENTS_PER_CELL, models)
        }),
    }
}

fn measure(agents: usize, models: usize) -> f64 {
    let fleet = messages::document(&Fleet::with_models(models));
    let fleet = serde_json::from_value(fleet).expect("the document has its shape");
    let config = Config::new(Revision(1), fleet);
    let views: Vec<AgentView> =
        (0..agents).map(|index| agent_view(index, models)).collect();
    let mut planner = Planner::new();
    median_ns(PLANS_PER_SIZE, |index| {
        let demands: Vec<ModelDemand> =
            (0..models).map(|model| demand(model, index)).collect();
        let input = PlanInput {
            now: Instant::from_ms(100_000 + index as u64 * 500),
            config: &config,
            agents: &views,
            demands: &demands,
            store_share: 1.0,
        };
        black_box(planner.plan(&input));
    })
}

fn agent_view(index: usize, models: usize) -> AgentView {
    let resident = |accelerator: u32| ResidentView {
        model: ModelId::new(&messages::model(
            (index * 4 + accelerator as usize) % models,
        )),
        version: 1,
        accelerator,
        size_mib: messages::MODEL_MIB,
        state: ResidentState::Loaded,
        since: Instant::ZERO,
    };
    AgentView {
        id: AgentId::new(&messages::agent(index)),
        domain: FailureDomainId::new("spanish-town"),
        pool: PoolId::new(messages::POOL),
        accelerators_mib: vec![messages::ACCELERATOR_MIB; 4],
        residents: (0..4).map(resident).collect(),
        leaving: false,
    }
}

/// Demand for one model; the order of the models by demand differs between
/// plans.
fn demand(model: usize, index: usize) -> ModelDemand {
    ModelDemand {
        model: ModelId::new(&messages::model(model)),
        rate_per_s: ((model * 31 + index * 17) % 97) as f64 / 4.0,
        waiting: ((model + index) % 5) as u32,
        oldest_wait_ms: (model + index) as u64 % 7 * 1_000,
        service_time_ms: 1_000,
        value: 1.0,
    }
}
