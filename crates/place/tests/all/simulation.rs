//! A simulated cell whose agents follow the plans, and checks that apply to every
//! plan.

use arbtest::arbitrary::{Result, Unstructured};
use base::Revision;
use base::prelude::*;
use conf::Config;
use place::{
    AgentView, ModelDemand, Plan, PlanInput, Planner, ResidentState, ResidentView,
};
use schema::settings::{Adapter, Fleet, Model, Pool, Store, Weights};
use std::collections::BTreeSet;

pub const GIB: u32 = 1_024;
pub const PLAN_MS: u64 = 500;
pub const LOAD_MS: u64 = 2_000;

/// Number of random cells; fixed so that each run checks the same cells.
pub const CASES: u64 = 400;

/// Base models `b00`, `b01`, ... of 70 GiB, and adapters `x00`, `x01`, ... of 1 GiB
/// that are spread over the base models.
pub fn fleet(bases: u32, adapters: u32) -> Fleet {
    let mut fleet = Fleet {
        weights: Some(Weights {
            attainment: 1.0,
            move_cost: 1.0,
            min_residence_ms: 5_000,
            wait_max_ms: 30_000,
        }),
        store: Some(Store {
            loads_per_s: 2.0,
            full_speed_loads: 6,
            load_time_ms: LOAD_MS as u32,
        }),
        ..Fleet::default()
    };
    let pool = Pool {
        kind: "engine".into(),
        concurrent_max: 16,
        ..Pool::default()
    };
    fleet.pools.insert("engines".into(), pool);
    for base in 0..bases {
        let model = Model {
            size_mib: 70 * GIB,
            version: 1,
            pool: "engines".into(),
        };
        fleet.models.insert(format!("b{base:02}"), model);
    }
    for adapter in 0..adapters {
        let base = format!("b{:02}", adapter % bases.max(1));
        let spec = Adapter {
            base,
            size_mib: GIB,
            version: 1,
        };
        fleet.adapters.insert(format!("x{adapter:02}"), spec);
    }
    fleet
}

pub fn agent(index: usize, accelerators_mib: &[u32]) -> AgentView {
    AgentView {
        id: AgentId::new(&format!("s{index:02}")),
        domain: FailureDomainId::new(&format!("d{}", index % 3)),
        pool: PoolId::new("engines"),
        accelerators_mib: accelerators_mib.to_vec(),
        residents: Vec::new(),
        leaving: false,
    }
}

pub fn resident(model: &str, state: ResidentState, since_ms: u64) -> ResidentView {
    ResidentView {
        model: ModelId::new(model),
        version: 1,
        accelerator: 0,
        size_mib: if model.starts_with('b') {
            70 * GIB
        } else {
            GIB
        },
        state,
        since: Instant::from_ms(since_ms),
    }
}

pub fn demand(model: &str, rate_per_s: f64, waiting: u32) -> ModelDemand {
    ModelDemand {
        model: ModelId::new(model),
        rate_per_s,
        waiting,
        oldest_wait_ms: 0,
        service_time_ms: 1_000,
        value: 1.0,
    }
}

/// A planner and agents that follow its plans.
pub struct SimulatedCell {
    pub config: Config,
    pub planner: Planner,
    pub agents: Vec<AgentView>,
    pub demands: Vec<ModelDemand>,
    pub now_ms: u64,
    pub store_share: f64,
    pub load_times_ms: Vec<u64>,
    pub unloads: usize,
}

impl SimulatedCell {
    pub fn new(
        fleet: Fleet,
        agents: Vec<AgentView>,
        demands: Vec<ModelDemand>,
    ) -> Self {
        Self {
            config: Config::new(Revision(1), fleet),
            planner: Planner::new(),
            agents,
            demands,
            now_ms: 100_000,
            store_share: 1.0,
            load_times_ms: Vec::new(),
            unloads: 0,
        }
    }

    pub fn plan(&mut self) -> Plan {
        let input = PlanInput {
            now: Instant::from_ms(self.now_ms),
            config: &self.config,
            agents: &self.agents,
            demands: &self.demands,
            store_share: self.store_share,
        };
        let plan = self.planner.plan(&input);
        check_feasible(&input, &plan);
        plan
    }

    /// Makes one plan and lets the agents act on it until the next plan.
    pub fn step(&mut self) -> Plan {
        let plan = self.plan();
        let now = Instant::from_ms(self.now_ms);
        for (agent, target) in self.agents.iter_mut().zip(&plan.targets) {
            agent
                .residents
                .retain(|held| held.state != ResidentState::Unloading);
            for held in &mut agent.residents {
                let wanted = target.models.iter().any(|model| {
                    (&model.model, model.version) == (&held.model, held.version)
                });
                let age_ms = now.ms_since(held.since);
                if !wanted {
                    held.state = ResidentState::Unloading;
                    held.since = now;
                    self.unloads += 1;
                } else if held.state == ResidentState::Loading && age_ms >= LOAD_MS {
                    held.state = ResidentState::Loaded;
                    held.since = now;
                }
            }
            for model in &target.models {
                let spec = self.config.model(model.model.as_str());
                let size_mib = spec.map_or(0, |spec| spec.size_mib);
                let here = agent.residents.iter();
                let used: u32 = here.clone().map(|held| held.size_mib).sum();
                let held = here.clone().any(|held| held.model == model.model);
                if held || used + size_mib > agent.accelerators_mib[0] {
                    continue;
                }
                self.load_times_ms.push(self.now_ms);
                agent.residents.push(ResidentView {
                    model: model.model.clone(),
                    version: model.version,
                    accelerator: model.accelerator,
                    size_mib,
                    state: ResidentState::Loading,
                    since: now,
                });
            }
        }
        self.now_ms += PLAN_MS;
        plan
    }

    pub fn run(&mut self, time_ms: u64) {
        for _ in 0..time_ms / PLAN_MS {
            self.step();
        }
    }

    /// Indices of the agents that can serve a model.
    pub fn holders(&self, model: &str) -> Vec<usize> {
        let agents = self.agents.iter().enumerate();
        let holds = agents.filter(|(_, agent)| {
            agent.residents.iter().any(|held| {
                held.model.as_str() == model && held.state == ResidentState::Loaded
            })
        });
        holds.map(|(index, _)| index).collect()
    }
}

/// Models of a target that the agent neither holds nor loads.
pub fn new_loads<'p>(
    agent: &'p AgentView,
    plan: &'p Plan,
) -> Vec<&'p place::Assignment> {
    let target = plan.targets.iter().find(|target| target.agent == agent.id);
    let models = target.into_iter().flat_map(|target| &target.models);
    models
        .filter(|model| {
            !agent.residents.iter().any(|held| {
                held.state != ResidentState::Unloading
                    && (&held.model, held.version, held.accelerator)
                        == (&model.model, model.version, model.accelerator)
            })
        })
        .collect()
}

/// Checks that a plan is feasible whatever its input.
pub fn check_feasible(input: &PlanInput<'_>, plan: &Plan) {
    assert_eq!(plan.targets.len(), input.agents.len());
    for (agent, target) in input.agents.iter().zip(&plan.targets) {
        assert_eq!(agent.id, target.agent);
        for (accelerator, capacity) in (0u32..).zip(&agent.accelerators_mib) {
            let wanted: Vec<_> = target
                .models
                .iter()
                .filter(|model| model.accelerator == accelerator)
                .collect();
            let names: BTreeSet<_> = wanted
                .iter()
                .map(|model| (&model.model, model.version))
                .collect();
            assert_eq!(names.len(), wanted.len(), "wanted twice: {wanted:?}");
            let mut size_mib = 0;
            for model in &wanted {
                let spec = input.config.model(model.model.as_str());
                let spec = spec.expect("a plan names configured models only");
                assert_eq!(spec.pool, agent.pool, "in another pool");
                let held = agent.residents.iter().find(|held| {
                    (&held.model, held.version, held.accelerator)
                        == (&model.model, model.version, accelerator)
                });
                size_mib += held.map_or(spec.size_mib, |held| held.size_mib);
                if let Some(base) = &spec.base {
                    let base_wanted = wanted.iter().any(|other| other.model == *base);
                    assert!(base_wanted, "{} without its base", model.model);
                }
            }
            assert!(size_mib <= *capacity, "{size_mib} of {capacity} MiB wanted");
        }
    }
}

/// Random agents whose resident models fit their accelerators.
pub fn random_agents(
    u: &mut Unstructured<'_>,
    fleet: &Fleet,
) -> Result<Vec<AgentView>> {
    let mut agents = Vec::new();
    for index in 0..u.int_in_range(1..=6)? {
        let capacity = u.int_in_range(60..=170)? * GIB;
        let mut view = agent(index, &[capacity]);
        view.leaving = u.ratio(1, 5)?;
        let mut free = capacity;
        for name in fleet.models.keys().chain(fleet.adapters.keys()) {
            let state = *u.choose(&[
                ResidentState::Loaded,
                ResidentState::Loading,
                ResidentState::Unloading,
            ])?;
            let mut held = resident(name, state, u.int_in_range(0..=100_000)?);
            held.version = u.int_in_range(1..=2)?;
            if u.ratio(1, 3)? && held.size_mib <= free {
                free -= held.size_mib;
                view.residents.push(held);
            }
        }
        agents.push(view);
    }
    Ok(agents)
}

pub fn random_demands(
    u: &mut Unstructured<'_>,
    fleet: &Fleet,
) -> Result<Vec<ModelDemand>> {
    let mut demands = Vec::new();
    for name in fleet.models.keys().chain(fleet.adapters.keys()) {
        if u.ratio(1, 2)? {
            let figures = [0.0, f64::NAN, -1.0, 0.3, 2.0, 3.0, 5.0, 8.0, 13.0, 40.0];
            let mut demand =
                demand(name, *u.choose(&figures)?, u.int_in_range(0..=50)?);
            demand.oldest_wait_ms = u.int_in_range(0..=60_000)?;
            demand.service_time_ms = u.int_in_range(0..=3_000)?;
            demand.value = *u.choose(&figures)?;
            demands.push(demand);
        }
    }
    Ok(demands)
}
