//! Which cells serve which models.
//!
//! If each cell planned for the whole demand, each failure domain would load
//! every model. So a base model with its adapters gets home cells: one, or more
//! when one accelerator does not serve the demand, each with its share. Every
//! entry computes the same from the same gossip; where two differ for a moment,
//! a model is loaded once too often.

use base::prelude::*;
use conf::Config;
use live::rendezvous;
use place::{ModelDemand, ResidentState};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};

use super::cells::PlanningCell;

/// Part of an accelerator's slots that demand is planned to fill.
const TARGET_UTILIZATION: f64 = 0.7;

/// What a waiting request counts beside an arriving one's busy time: the queue
/// shrinks by itself once the model is there.
const WAITING_WEIGHT: f64 = 0.25;

/// Service time assumed before one was seen.
const SERVICE_TIME_DEFAULT_MS: u32 = 1_000;

/// Store weight of a cell that has nothing to load.
const IDLE_CELL_STORE_WEIGHT: f64 = 0.25;

/// What one cell is to plan for.
#[derive(Debug, Default)]
pub(super) struct CellDemand {
    /// Its part of the demand, in order of name.
    pub(super) demands: Vec<ModelDemand>,
    /// Its part of the weight store's budget, 0 to 1.
    pub(super) store_share: f64,
}

/// Models held by one cell; its order never shows.
type HeldModels<'a> = HashSet<&'a ModelId>;

/// A base model with its adapters.
#[derive(Debug)]
struct ModelGroup<'a> {
    base: &'a ModelId,
    pool: &'a PoolId,
    size_mib: u64,
    /// Places kept busy.
    busy_slots: f64,
    members: Vec<&'a ModelDemand>,
}

/// Shares demand out over cells; the answer has one item for each cell.
pub(super) fn share_demand(
    config: &Config,
    cells: &[PlanningCell],
    demands: &[ModelDemand],
) -> Vec<CellDemand> {
    let mut shares: Vec<CellDemand> =
        cells.iter().map(|_| CellDemand::default()).collect();
    let mut room_mib: Vec<u64> = cells.iter().map(capacity_mib).collect();
    let mut weights = vec![IDLE_CELL_STORE_WEIGHT; cells.len()];
    let held: Vec<HeldModels<'_>> = cells.iter().map(held_models).collect();
    for group in groups(config, demands) {
        let replicas = replica_count(config, &group);
        let counts = assign_cells(cells, &held, &group, replicas, &mut room_mib);
        for (index, count) in counts {
            let share = f64::from(count) / f64::from(replicas);
            let members = group.members.iter();
            shares[index]
                .demands
                .extend(members.map(|demand| scaled(demand, share)));
            if !held[index].contains(group.base) {
                weights[index] += f64::from(count);
            }
        }
    }
    let sum: f64 = weights.iter().sum();
    for (shares, weight) in shares.iter_mut().zip(weights) {
        shares.demands.sort_by(|a, b| a.model.cmp(&b.model));
        shares.store_share = weight / sum;
    }
    shares
}

/// Groups with demand, the neediest first.
fn groups<'a>(config: &'a Config, demands: &'a [ModelDemand]) -> Vec<ModelGroup<'a>> {
    let mut groups: BTreeMap<&ModelId, ModelGroup<'a>> = BTreeMap::new();
    for demand in demands {
        let Some(spec) = config.model(demand.model.as_str()) else {
            continue;
        };
        let base = spec.base.as_ref().unwrap_or(&spec.id);
        let base_size = config.model(base.as_str()).map_or(0, |held| held.size_mib);
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

/// Accelerators that the group's demand fills; one at least.
fn replica_count(config: &Config, group: &ModelGroup<'_>) -> u32 {
    let pool = config.pool(group.pool.as_str());
    let slots = pool.map_or(1, |pool| pool.concurrent_max).max(1);
    let accelerators = pool.map_or(1, |pool| {
        let each = u32::try_from(pool.accelerators_mib.len()).unwrap_or(1);
        pool.instances.saturating_mul(each)
    });
    let wanted = (group.busy_slots / (f64::from(slots) * TARGET_UTILIZATION)).ceil();
    (wanted as u32).clamp(1, accelerators.max(1))
}

/// Cells for a group's replicas, with how many each takes.
///
/// Replicas go to different cells first, so that one failure domain's end
/// leaves some. Then come cells with room, those that hold the model already
/// (no move), and last the rendezvous rank, which keeps the choice stable.
fn assign_cells(
    cells: &[PlanningCell],
    held: &[HeldModels<'_>],
    group: &ModelGroup<'_>,
    replicas: u32,
    room_mib: &mut [u64],
) -> BTreeMap<usize, u32> {
    let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
    for _ in 0..replicas {
        let candidates = (0..cells.len()).filter(|i| cells[*i].pool == *group.pool);
        let best = candidates.max_by_key(|index| {
            let taken = counts.get(index).copied().unwrap_or(0);
            let fits = room_mib[*index] >= group.size_mib;
            let here = held[*index].contains(group.base);
            let rank = rendezvous(group.base.as_str(), &cells[*index].key);
            (fits, Reverse(taken), here, rank)
        });
        let Some(index) = best else {
            break;
        };
        room_mib[index] = room_mib[index].saturating_sub(group.size_mib);
        *counts.entry(index).or_default() += 1;
    }
    counts
}

fn capacity_mib(cell: &PlanningCell) -> u64 {
    let staying = cell.agents.iter().filter(|agent| !agent.leaving);
    let accelerators = staying.flat_map(|agent| &agent.accelerators_mib);
    accelerators.map(|mib| u64::from(*mib)).sum()
}

/// Models that the agents of a cell hold or load.
///
/// Looking through all residents for each model and replica would cost an entry
/// the product of models and accelerators.
fn held_models(cell: &PlanningCell) -> HeldModels<'_> {
    let residents = cell.agents.iter().flat_map(|agent| &agent.residents);
    let staying = residents.filter(|held| held.state != ResidentState::Unloading);
    staying.map(|held| &held.model).collect()
}

fn scaled(demand: &ModelDemand, share: f64) -> ModelDemand {
    ModelDemand {
        rate_per_s: demand.rate_per_s * share,
        waiting: (f64::from(demand.waiting) * share).ceil() as u32,
        ..demand.clone()
    }
}
