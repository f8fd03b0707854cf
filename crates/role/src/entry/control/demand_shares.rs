//! Divides the demand for models between the planning cells.
//!
//! If each cell planned for the whole demand, each would load every model. So a base
//! model with its adapters is assigned to one cell, or to several, each with a share
//! of the demand, if one accelerator can't serve it. All entries compute the same
//! assignment from the same gossip; while two of them differ, a model may be loaded
//! in one cell too many.

use base::prelude::*;
use conf::Config;
use live::rendezvous_rank;
use place::{ModelDemand, ResidentState};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

use super::cells::PlanningCell;

/// Planned utilization of an accelerator's slots.
const TARGET_UTILIZATION: f64 = 0.7;

/// Slots counted for each waiting request, in addition to the slots kept busy by
/// arrivals. Below 1, as the queue drains by itself once the model is loaded.
const WAITING_WEIGHT: f64 = 0.25;

/// Service time assumed until one was measured.
const SERVICE_TIME_DEFAULT_MS: u32 = 1_000;

/// Weight of a cell without loads in the division of the weight store's load rate.
const IDLE_CELL_STORE_WEIGHT: f64 = 0.25;

/// The part of one planning cell.
#[derive(Debug, Default)]
pub(super) struct CellDemand {
    /// Its part of the demand, in order of model name.
    pub(super) demands: Vec<ModelDemand>,
    /// Its part of the weight store's load rate, 0 to 1.
    pub(super) store_share: f64,
}

/// Models held in one cell. Never iterated, so its random order has no effect.
type HeldModels<'a> = HashSet<&'a ModelId>;

/// Demand for a base model and its adapters.
#[derive(Debug)]
struct ModelGroup<'a> {
    base: &'a ModelId,
    pool: &'a PoolId,
    size_mib: u64,
    /// Number of slots that the demand keeps busy.
    busy_slots: f64,
    members: Vec<&'a ModelDemand>,
}

/// Divides the demand between cells; the result has one item for each cell.
pub(super) fn share_demand(
    config: &Config,
    cells: &[PlanningCell],
    demands: &[ModelDemand],
) -> Vec<CellDemand> {
    let mut shares: Vec<CellDemand> =
        cells.iter().map(|_| CellDemand::default()).collect();
    let mut unassigned_mib: Vec<u64> = cells.iter().map(capacity_mib).collect();
    let mut weights = vec![IDLE_CELL_STORE_WEIGHT; cells.len()];
    let held_by_cell: Vec<HeldModels<'_>> = cells.iter().map(held_models).collect();
    for group in groups(config, demands) {
        let replicas = replica_count(config, &group);
        let counts =
            assign_cells(cells, &held_by_cell, &group, replicas, &mut unassigned_mib);
        for (index, count) in counts {
            let share = f64::from(count) / f64::from(replicas);
            let members = group.members.iter();
            shares[index]
                .demands
                .extend(members.map(|demand| scaled(demand, share)));
            if !held_by_cell[index].contains(group.base) {
                weights[index] += f64::from(count);
            }
        }
    }
    let sum: f64 = weights.iter().sum();
    for (share, weight) in shares.iter_mut().zip(weights) {
        share.demands.sort_by(|a, b| a.model.cmp(&b.model));
        share.store_share = weight / sum;
    }
    shares
}

/// Groups with demand, those with the most busy slots first.
fn groups<'a>(config: &'a Config, demands: &'a [ModelDemand]) -> Vec<ModelGroup<'a>> {
    let mut groups: BTreeMap<&ModelId, ModelGroup<'a>> = BTreeMap::new();
    for demand in demands {
        let Some(spec) = config.model(demand.model.as_str()) else {
            continue;
        };
        let base = spec.base.as_ref().unwrap_or(&spec.id);
        let base_size = config.model(base.as_str()).map_or(0, |spec| spec.size_mib);
        let group = groups.entry(base).or_insert_with(|| ModelGroup {
            base,
            pool: &spec.pool,
            size_mib: u64::from(base_size),
            busy_slots: 0.0,
            members: Vec::new(),
        });
        group.busy_slots += busy_slots(demand);
        group.members.push(demand);
    }
    let mut groups: Vec<ModelGroup<'a>> = groups.into_values().collect();
    groups.sort_by(|a, b| {
        b.busy_slots
            .total_cmp(&a.busy_slots)
            .then(a.base.cmp(b.base))
    });
    groups
}

fn busy_slots(demand: &ModelDemand) -> f64 {
    let service_time_ms = match demand.service_time_ms {
        0 => SERVICE_TIME_DEFAULT_MS,
        ms => ms,
    };
    let arriving = demand.rate_per_s * f64::from(service_time_ms) / 1_000.0;
    arriving + f64::from(demand.waiting) * WAITING_WEIGHT
}

/// Number of replicas needed to serve a group's demand; at least one.
fn replica_count(config: &Config, group: &ModelGroup<'_>) -> u32 {
    let pool = config.pool(group.pool.as_str());
    let slots = pool.map_or(1, |pool| pool.concurrent_max).max(1);
    let accelerators = pool.map_or(1, |pool| {
        let each = u32::try_from(pool.accelerators_mib.len()).unwrap_or(1);
        pool.instances.saturating_mul(each)
    });
    let needed = (group.busy_slots / (f64::from(slots) * TARGET_UTILIZATION)).ceil();
    (needed as u32).clamp(1, accelerators.max(1))
}

/// Assigns a group's replicas to cells, and returns the number for each cell.
///
/// For each replica, a cell with enough unassigned memory comes first, then the one with
/// the fewest replicas of the group, so that the loss of one cell leaves some. Next
/// comes a cell that already holds the model, which saves a load, and last the
/// rendezvous weight, which keeps the choice stable.
fn assign_cells(
    cells: &[PlanningCell],
    held_by_cell: &[HeldModels<'_>],
    group: &ModelGroup<'_>,
    replicas: u32,
    unassigned_mib: &mut [u64],
) -> BTreeMap<usize, u32> {
    let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
    for _ in 0..replicas {
        let candidates = (0..cells.len()).filter(|i| cells[*i].pool == *group.pool);
        let best = candidates.max_by_key(|index| {
            let assigned = counts.get(index).copied().unwrap_or(0);
            let fits = unassigned_mib[*index] >= group.size_mib;
            let already_held = held_by_cell[*index].contains(group.base);
            let rank = rendezvous_rank(group.base.as_str(), &cells[*index].key);
            (fits, Reverse(assigned), already_held, rank)
        });
        let Some(index) = best else {
            break;
        };
        unassigned_mib[index] = unassigned_mib[index].saturating_sub(group.size_mib);
        *counts.entry(index).or_default() += 1;
    }
    counts
}

fn capacity_mib(cell: &PlanningCell) -> u64 {
    let staying = cell.agents.iter().filter(|agent| !agent.leaving);
    let accelerators = staying.flat_map(|agent| &agent.accelerators_mib);
    accelerators.map(|mib| u64::from(*mib)).sum()
}

/// Models that are loaded or being loaded in a cell.
///
/// Collected once, since a search of all residents for each model and replica would
/// cost the product of the numbers of models and accelerators.
fn held_models(cell: &PlanningCell) -> HeldModels<'_> {
    let residents = cell.agents.iter().flat_map(|agent| &agent.residents);
    let staying =
        residents.filter(|resident| resident.state != ResidentState::Unloading);
    staying.map(|resident| &resident.model).collect()
}

fn scaled(demand: &ModelDemand, share: f64) -> ModelDemand {
    ModelDemand {
        rate_per_s: demand.rate_per_s * share,
        waiting: (f64::from(demand.waiting) * share).ceil() as u32,
        ..demand.clone()
    }
}
