//! One cell's plan against its agents and models.

use super::clock::{median_ns, samples};
use super::messages::{self, Fleet};
use crate::fit::{Growth, Series};
use base::Revision;
use base::prelude::*;
use conf::Config;
use place::{AgentView, ModelDemand, PlanInput, Planner, ResidentState, ResidentView};
use std::hint::black_box;

const AGENTS: [usize; 5] = [4, 16, 64, 128, 256];
const MODELS: [usize; 5] = [25, 100, 400, 800, 1_600];
const MODELS_FIXED: usize = 200;
const AGENTS_FIXED: usize = 64;
const PLANS: usize = 15;

/// A plan of 200 models against the cell's agents, in nanoseconds.
pub fn by_agents() -> Series {
    Series {
        name: "plan a cell with 200 models",
        size_of: "agents",
        unit: "ns",
        growth: Growth::Power,
        samples: samples(&AGENTS, |agents| one(agents, MODELS_FIXED)),
    }
}

/// A plan of 64 agents against the models with demand, in nanoseconds.
pub fn by_models() -> Series {
    Series {
        name: "plan a cell of 64 agents",
        size_of: "models",
        unit: "ns",
        growth: Growth::Power,
        samples: samples(&MODELS, |models| one(AGENTS_FIXED, models)),
    }
}

fn one(agents: usize, models: usize) -> f64 {
    let fleet = messages::document(&Fleet::of(models));
    let fleet = serde_json::from_value(fleet).expect("the document has its shape");
    let config = Config::new(Revision(1), fleet);
    let views: Vec<AgentView> = (0..agents).map(|nth| view(nth, models)).collect();
    let mut planner = Planner::new();
    median_ns(PLANS, |nth| {
        let demands: Vec<ModelDemand> =
            (0..models).map(|model| demand(model, nth)).collect();
        let input = PlanInput {
            now: Instant::from_ms(100_000 + nth as u64 * 500),
            config: &config,
            agents: &views,
            demands: &demands,
            store_share: 1.0,
        };
        black_box(planner.plan(&input));
    })
}

fn view(nth: usize, models: usize) -> AgentView {
    let resident = |accelerator: u32| ResidentView {
        model: ModelId::new(&messages::model(
            (nth * 4 + accelerator as usize) % models,
        )),
        version: 1,
        accelerator,
        size_mib: messages::MODEL_MIB,
        state: ResidentState::Loaded,
        since: Instant::ZERO,
    };
    AgentView {
        id: AgentId::new(&messages::agent(nth)),
        domain: FailureDomainId::new("spanish-town"),
        pool: PoolId::new(messages::POOL),
        accelerators_mib: vec![messages::ACCELERATOR_MIB; 4],
        residents: (0..4).map(resident).collect(),
        leaving: false,
    }
}

/// Demand whose ranking differs from plan to plan.
fn demand(model: usize, nth: usize) -> ModelDemand {
    ModelDemand {
        model: ModelId::new(&messages::model(model)),
        rate_per_s: ((model * 31 + nth * 17) % 97) as f64 / 4.0,
        waiting: ((model + nth) % 5) as u32,
        oldest_wait_ms: (model + nth) as u64 % 7 * 1_000,
        service_time_ms: 1_000,
        value: 1.0,
    }
}
