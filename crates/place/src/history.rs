//! State that the planner keeps between plans.

use base::prelude::*;
use std::collections::BTreeMap;

use crate::catalog::Catalog;
use crate::cell::{CellState, PlannedModel, Replica};
use crate::types::{PlacementReason, ResidentState};

/// Time after which a planned load that could have started but that no heartbeat
/// shows is planned again: its target was lost, or the agent refused it.
const PENDING_LOAD_MAX_MS: u64 = 10_000;

/// Time after which a planned removal that no heartbeat shows is dropped: the agent
/// follows another planner, or its running requests do not end.
const REMOVAL_MAX_MS: u64 = 60_000;

/// Time without waiting requests after which an unserved model is forgotten.
const UNSERVED_MAX_MS: u64 = 600_000;

/// Time constant of the long-term arrival rate.
const LONG_TERM_RATE_MS: f64 = 15_000.0;

/// A model on an accelerator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PlacementKey {
    agent: AgentId,
    accelerator: u32,
    model: ModelId,
}

/// A planned load that no heartbeat has shown yet.
#[derive(Debug, Clone, Copy)]
struct PendingLoad {
    version: u32,
    /// Earliest time at which the load could have started.
    startable_at: Instant,
    reason: PlacementReason,
}

/// A model with waiting requests that no agent can serve.
#[derive(Debug, Clone, Copy)]
struct Unserved {
    since: Instant,
    /// When requests were last seen waiting.
    last_waiting_at: Instant,
}

/// Decisions that heartbeats do not show yet, and demand over time.
///
/// Heartbeats lag behind. Without this history a plan would see the models as they
/// were before the last plans, place the same model again elsewhere, and move
/// twice.
#[derive(Debug, Default)]
pub(crate) struct PlanHistory {
    pending_loads: BTreeMap<PlacementKey, PendingLoad>,
    /// When each planned removal was decided.
    removals: BTreeMap<PlacementKey, Instant>,
    /// Models with waiting requests and no holder.
    unserved: BTreeMap<ModelId, Unserved>,
    /// Long-term arrival rate per second of each base model's group.
    long_term_rates: BTreeMap<ModelId, f64>,
    last_plan_at: Option<Instant>,
}

impl PlanHistory {
    /// Applies the decisions of earlier plans to the reported state of the cell.
    pub(crate) fn apply_to(
        &mut self,
        now: Instant,
        cell: &mut CellState<'_>,
        catalog: &mut Catalog<'_>,
    ) {
        self.drop_settled(now, cell, catalog);
        self.apply_removals(cell, catalog);
        for adapters in [false, true] {
            self.apply_loads(now, cell, catalog, adapters);
        }
        self.update_long_term_rates(now, catalog);
        self.update_wait_times(now, cell, catalog);
    }

    /// Records the loads and removals that a plan decides.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        cell: &CellState<'_>,
        catalog: &Catalog<'_>,
    ) {
        for accelerator in &cell.accelerators {
            let agent = &cell.agents[accelerator.agent];
            let key = |model: usize| PlacementKey {
                agent: agent.id.clone(),
                accelerator: accelerator.index,
                model: catalog.models[model].spec.id.clone(),
            };
            for planned in accelerator
                .models()
                .filter(|planned| planned.state.is_none())
            {
                self.pending_loads
                    .entry(key(planned.model))
                    .or_insert(PendingLoad {
                        version: planned.version,
                        startable_at: now,
                        reason: planned.reason,
                    });
            }
            let residents_here = agent.residents.iter().filter(|resident| {
                resident.accelerator == accelerator.index
                    && resident.state != ResidentState::Unloading
            });
            for model in residents_here
                .filter_map(|resident| catalog.find(resident.model.as_str()))
            {
                if accelerator.models().any(|planned| planned.model == model) {
                    self.removals.remove(&key(model));
                } else {
                    self.removals.entry(key(model)).or_insert(now);
                }
            }
        }
    }

    /// Drops decisions that heartbeats confirm, that are obsolete, or that timed
    /// out.
    fn drop_settled(
        &mut self,
        now: Instant,
        cell: &CellState<'_>,
        catalog: &Catalog<'_>,
    ) {
        self.pending_loads.retain(|key, load| {
            let Some(accelerator) = cell.accelerator_index(&key.agent, key.accelerator)
            else {
                return false;
            };
            let Some(model) = catalog.find(key.model.as_str()) else {
                return false;
            };
            let reported = cell.accelerators[accelerator].models().any(|planned| {
                planned.model == model && planned.version == load.version
            });
            let current = catalog.models[model].spec.version == load.version;
            !reported
                && current
                && now.ms_since(load.startable_at) < PENDING_LOAD_MAX_MS
        });
        self.removals.retain(|key, at| {
            let accelerator = cell.accelerator_index(&key.agent, key.accelerator);
            let model = catalog.find(key.model.as_str());
            let (Some(accelerator), Some(model)) = (accelerator, model) else {
                return false;
            };
            now.ms_since(*at) < REMOVAL_MAX_MS
                && cell.accelerators[accelerator]
                    .models()
                    .any(|planned| planned.model == model)
        });
    }

    /// Stops wanting the models whose removal was planned but is not reported yet.
    fn apply_removals(&self, cell: &mut CellState<'_>, catalog: &Catalog<'_>) {
        for key in self.removals.keys() {
            let accelerator = cell.accelerator_index(&key.agent, key.accelerator);
            let model = catalog.find(key.model.as_str());
            if let (Some(accelerator), Some(model)) = (accelerator, model) {
                cell.accelerators[accelerator].mark_unloading(model);
            }
        }
    }

    /// Adds the loads that were planned but are not reported yet: those of adapters
    /// or those of base models.
    fn apply_loads(
        &mut self,
        now: Instant,
        cell: &mut CellState<'_>,
        catalog: &Catalog<'_>,
        adapters: bool,
    ) {
        self.pending_loads.retain(|key, load| {
            let accelerator = cell.accelerator_index(&key.agent, key.accelerator);
            let model = catalog.find(key.model.as_str());
            let (Some(accelerator), Some(model)) = (accelerator, model) else {
                return false;
            };
            let configured = &catalog.models[model];
            if configured.spec.base.is_some() != adapters {
                return true;
            }
            let accelerator = &mut cell.accelerators[accelerator];
            let size_mib = u64::from(configured.spec.size_mib);
            if accelerator.leaving
                || accelerator.wanted_mib() + size_mib > accelerator.capacity_mib
            {
                return false;
            }
            if accelerator.unloading_mib > 0 {
                // The load can't start before the unloads are done.
                load.startable_at = now;
            }
            let planned = PlannedModel {
                model,
                version: load.version,
                size_mib: configured.spec.size_mib,
                state: None,
                since: now,
                reason: load.reason,
            };
            accelerator.add_pending_load(configured.group, planned, adapters)
        });
    }

    /// Updates the long-term arrival rates.
    ///
    /// The reported rate of a rarely used model fluctuates with each request. The
    /// loss of a replica is computed from the larger of both rates, so that a
    /// fluctuation alone displaces nothing, while gains follow a burst at once.
    fn update_long_term_rates(&mut self, now: Instant, catalog: &mut Catalog<'_>) {
        let passed_ms = self
            .last_plan_at
            .map(|last_plan_at| now.ms_since(last_plan_at));
        self.last_plan_at = Some(now);
        for group in &mut catalog.groups {
            let id = &catalog.models[group.base].spec.id;
            let rate = group.demand.rate_per_s;
            let long_term = match (self.long_term_rates.get(id), passed_ms) {
                (Some(previous), Some(passed_ms)) => {
                    let keep = (-(passed_ms as f64) / LONG_TERM_RATE_MS).exp();
                    previous * keep + rate * (1.0 - keep)
                }
                _ => rate,
            };
            group.long_term_rate_per_s = long_term;
            if long_term > 1e-6 {
                self.long_term_rates.insert(id.clone(), long_term);
            } else {
                self.long_term_rates.remove(id);
            }
        }
    }

    /// Updates how long each model with waiting requests has had no holder.
    ///
    /// A request that misses its deadline no longer counts towards the oldest wait.
    /// If that alone were used, a model whose requests keep expiring would never
    /// reach the wait bound.
    fn update_wait_times(
        &mut self,
        now: Instant,
        cell: &CellState<'_>,
        catalog: &mut Catalog<'_>,
    ) {
        let mut servable = vec![false; catalog.models.len()];
        for accelerator in cell
            .accelerators
            .iter()
            .filter(|accelerator| !accelerator.leaving)
        {
            for replica in accelerator
                .replicas
                .iter()
                .filter(|replica| replica.serves())
            {
                servable[replica.base.model] = true;
                for planned in replica
                    .adapters
                    .iter()
                    .filter(|planned| planned.is_loaded())
                {
                    servable[planned.model] = true;
                }
            }
        }
        for (model, servable) in catalog.models.iter_mut().zip(servable) {
            let id = &model.spec.id;
            if servable {
                self.unserved.remove(id);
                continue;
            }
            if model.demand.waiting > 0.0 {
                let new = Unserved {
                    since: now,
                    last_waiting_at: now,
                };
                let unserved = self.unserved.entry(id.clone()).or_insert(new);
                unserved.last_waiting_at = now;
            }
            let Some(unserved) = self.unserved.get(id) else {
                continue;
            };
            let unserved_ms = now.ms_since(unserved.since);
            model.wait_ms = model.demand.oldest_wait_ms.max(unserved_ms);
        }
        self.unserved.retain(|id, unserved| {
            now.ms_since(unserved.last_waiting_at) < UNSERVED_MAX_MS
                && catalog.find(id.as_str()).is_some()
        });
    }
}

impl crate::cell::Accelerator {
    /// Adds a load planned earlier; returns false if an adapter's base model is
    /// gone.
    fn add_pending_load(
        &mut self,
        group: usize,
        planned: PlannedModel,
        adapter: bool,
    ) -> bool {
        if !adapter {
            self.replicas.push(Replica {
                group,
                base: planned,
                adapters: Vec::new(),
                outdated: false,
            });
            return true;
        }
        let Some(replica) = self.adapter_host(group) else {
            return false;
        };
        replica.adapters.push(planned);
        true
    }
}
