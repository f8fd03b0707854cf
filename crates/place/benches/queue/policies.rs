//! Placement policies to compare.

use base::prelude::*;
use conf::Config;
use place::{AgentView, ModelDemand, PlanInput, Planner, ResidentState, ResidentView};
use schema::settings::Weights;
use std::collections::VecDeque;

use super::cell::{Cell, Stage};
use super::setup::Setup;
use super::traffic::{Workload, popularity};

/// Decides which models the accelerators hold.
pub trait Policy {
    /// Returns new targets by server, or `None` to keep the current ones.
    fn targets(&mut self, cell: &Cell, now_ms: u64) -> Option<Vec<Vec<usize>>>;
}

/// Places the most popular models, one replica each, with as many adapters as fit.
pub fn static_targets(setup: &Setup) -> Vec<Vec<usize>> {
    let popular = popularity(setup);
    let mut order: Vec<usize> = (0..setup.bases).collect();
    order.sort_by(|a, b| popular[*b].total_cmp(&popular[*a]).then(a.cmp(b)));
    let mut targets = vec![Vec::new(); setup.servers];
    for (nth, base) in order
        .iter()
        .enumerate()
        .take(setup.servers * setup.bases_per_accelerator())
    {
        targets[nth % setup.servers].push(*base);
    }
    for models in &mut targets {
        for adapter in setup.bases..setup.models() {
            let used: u32 = models.iter().map(|model| setup.size_mib[*model]).sum();
            if models.contains(&setup.base(adapter))
                && used + setup.size_mib[adapter] <= setup.capacity_mib
            {
                models.push(adapter);
            }
        }
    }
    targets
}

/// Keeps the initial placement.
#[derive(Debug, Default)]
pub struct Static;

impl Policy for Static {
    fn targets(&mut self, _cell: &Cell, _now_ms: u64) -> Option<Vec<Vec<usize>>> {
        None
    }
}

/// Loads requested models in place of the least recently used ones.
#[derive(Debug, Default)]
pub struct Lru {
    /// Whether to load a further replica when more than one batch of requests
    /// waits.
    pub replicas: bool,
}

impl Policy for Lru {
    fn targets(&mut self, cell: &Cell, now_ms: u64) -> Option<Vec<Vec<usize>>> {
        let setup = &cell.setup;
        // Displacing a model for a load that the store can't start yet would only
        // leave the accelerator empty.
        let mut available_starts = cell.available_load_starts();
        let mut targets: Vec<Vec<usize>> = (0..setup.servers)
            .map(|server| cell.target(server).to_vec())
            .collect();
        let mut requested_models: Vec<usize> = (0..setup.models())
            .filter(|model| cell.waiting(*model) > 0)
            .collect();
        requested_models.sort_by_key(|model| {
            std::cmp::Reverse(cell.oldest_wait_ms(*model, now_ms))
        });
        for model in requested_models {
            if available_starts == 0 {
                break;
            }
            let waiting = cell.waiting(model);
            let base = setup.base(model);
            let holders: Vec<usize> = (0..setup.servers)
                .filter(|server| targets[*server].contains(&base))
                .filter(|server| cell.is_listed(*server, now_ms))
                .collect();
            let ready = holders.iter().all(|server| {
                let mut residents = cell.servers[*server].residents.iter();
                residents.any(|r| r.model == base && r.stage == Stage::Loaded)
            });
            let more = self.replicas && ready && waiting > setup.slots;
            if holders.is_empty() || more {
                available_starts -=
                    usize::from(load_base(base, cell, now_ms, &mut targets));
            } else if model != base
                && !holders
                    .iter()
                    .any(|server| targets[*server].contains(&model))
            {
                available_starts -=
                    usize::from(load_adapter(model, cell, &mut targets[holders[0]]));
            }
        }
        Some(targets)
    }
}

/// Adds a base model to the target of a server with room, or of the one whose base
/// model was least recently used; returns whether it could.
fn load_base(
    base: usize,
    cell: &Cell,
    now_ms: u64,
    targets: &mut [Vec<usize>],
) -> bool {
    let setup = &cell.setup;
    let mut best: Option<(u64, usize, Option<usize>)> = None;
    for (server, target) in targets.iter().enumerate() {
        if !cell.is_listed(server, now_ms) || target.contains(&base) {
            continue;
        }
        let all_loaded = target.iter().all(|model| {
            let mut residents = cell.servers[server].residents.iter();
            *model >= setup.bases
                || residents.any(|r| r.model == *model && r.stage == Stage::Loaded)
        });
        if !all_loaded {
            continue;
        }
        let bases = target.iter().filter(|model| **model < setup.bases);
        let candidate = if bases.clone().count() < setup.bases_per_accelerator() {
            (0, server, None)
        } else {
            let oldest = bases
                .min_by_key(|model| cell.last_started_ms[**model])
                .copied();
            let used = oldest.map_or(0, |oldest| cell.last_started_ms[oldest] + 1);
            (used, server, oldest)
        };
        if best.is_none_or(|best| (candidate.0, candidate.1) < (best.0, best.1)) {
            best = Some(candidate);
        }
    }
    let Some((_, server, displaced)) = best else {
        return false;
    };
    if let Some(displaced) = displaced {
        targets[server].retain(|model| setup.base(*model) != displaced);
    }
    // Remove adapters of the other base model if the new one needs their memory.
    let size = |models: &[usize]| -> u32 {
        models.iter().map(|model| setup.size_mib[*model]).sum()
    };
    while size(&targets[server]) + setup.size_mib[base] > setup.capacity_mib {
        let Some(adapter) = targets[server]
            .iter()
            .position(|model| *model >= setup.bases)
        else {
            return false;
        };
        targets[server].remove(adapter);
    }
    targets[server].push(base);
    true
}

/// Adds an adapter to a server's target in place of the least recently used
/// adapters; returns whether it could.
fn load_adapter(adapter: usize, cell: &Cell, target: &mut Vec<usize>) -> bool {
    let setup = &cell.setup;
    let size = |models: &[usize]| -> u32 {
        models.iter().map(|model| setup.size_mib[*model]).sum()
    };
    while size(target) + setup.size_mib[adapter] > setup.capacity_mib {
        let adapters = target.iter().filter(|model| **model >= setup.bases);
        let oldest = adapters
            .min_by_key(|model| cell.last_started_ms[**model])
            .copied();
        let Some(oldest) = oldest else {
            return false;
        };
        target.retain(|model| *model != oldest);
    }
    target.push(adapter);
    true
}

/// The planner of this crate, called twice a second with outdated reports.
pub struct PlannerPolicy {
    config: Config,
    planner: Planner,
    reports: VecDeque<(Vec<AgentView>, Vec<ModelDemand>)>,
    /// Number of planning intervals by which reports are late.
    report_lag: usize,
}

/// Interval between plans, and between reports.
const PLAN_MS: u64 = 500;

impl PlannerPolicy {
    pub fn new(setup: &Setup, workload: Workload, weights: Weights) -> Self {
        Self {
            config: setup.config(weights),
            planner: Planner::new(),
            reports: VecDeque::new(),
            report_lag: if workload == Workload::LateReports {
                6
            } else {
                1
            },
        }
    }
}

impl Policy for PlannerPolicy {
    fn targets(&mut self, cell: &Cell, now_ms: u64) -> Option<Vec<Vec<usize>>> {
        if !now_ms.is_multiple_of(PLAN_MS) {
            return None;
        }
        self.reports
            .push_back((agents(cell, now_ms), demands(cell, now_ms)));
        if self.reports.len() > self.report_lag + 1 {
            self.reports.pop_front();
        }
        let (agents, demands) = self.reports.front()?;
        let plan = self.planner.plan(&PlanInput {
            now: Instant::from_ms(now_ms),
            config: &self.config,
            agents,
            demands,
            store_share: 1.0,
        });
        let mut targets: Vec<Vec<usize>> = (0..cell.setup.servers)
            .map(|server| cell.target(server).to_vec())
            .collect();
        for target in &plan.targets {
            let server: usize = target.agent.as_str()[1..].parse().unwrap_or(0);
            targets[server] = target
                .models
                .iter()
                .map(|assigned| index(&cell.setup, assigned.model.as_str()))
                .collect();
        }
        Some(targets)
    }
}

fn index(setup: &Setup, name: &str) -> usize {
    let number: usize = name[5..].parse().unwrap_or(0);
    if name.starts_with("base") {
        number
    } else {
        setup.bases + number
    }
}

fn agents(cell: &Cell, now_ms: u64) -> Vec<AgentView> {
    let setup = &cell.setup;
    let listed = (0..setup.servers).filter(|server| cell.is_listed(*server, now_ms));
    listed
        .map(|server| AgentView {
            id: AgentId::new(&format!("s{server:02}")),
            domain: FailureDomainId::new(&format!("d{}", setup.domain(server))),
            pool: PoolId::new("engines"),
            accelerators_mib: vec![setup.capacity_mib],
            residents: cell.servers[server]
                .residents
                .iter()
                .map(|resident| ResidentView {
                    model: ModelId::new(&setup.name(resident.model)),
                    version: 1,
                    accelerator: 0,
                    size_mib: setup.size_mib[resident.model],
                    state: match resident.stage {
                        Stage::Queued | Stage::Loading => ResidentState::Loading,
                        Stage::Loaded | Stage::Draining => ResidentState::Loaded,
                        Stage::Unloading => ResidentState::Unloading,
                    },
                    since: Instant::from_ms(resident.since_ms),
                })
                .collect(),
            leaving: false,
        })
        .collect()
}

fn demands(cell: &Cell, now_ms: u64) -> Vec<ModelDemand> {
    let setup = &cell.setup;
    (0..setup.models())
        .map(|model| ModelDemand {
            model: ModelId::new(&setup.name(model)),
            rate_per_s: cell.rate_per_s[model],
            waiting: cell.waiting(model) as u32,
            oldest_wait_ms: cell.oldest_wait_ms(model, now_ms),
            service_time_ms: (100 * setup.step_us / 1_000) as u32,
            value: 1.0,
        })
        .collect()
}
