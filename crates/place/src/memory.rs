//! What the planner remembers of earlier plans.

use base::prelude::*;
use std::collections::BTreeMap;

use crate::board::{Board, Held, Unit};
use crate::catalog::Catalog;
use crate::types::{PlacementReason, ResidentState};

/// A load that no heartbeat shows this long after its place was free is planned
/// anew: its target was lost, or the agent refused it.
const PENDING_MAX_MS: u64 = 10_000;

/// A removal that no heartbeat shows after this time is given up: the agent
/// follows another planner, or its running work does not end.
const REMOVAL_MAX_MS: u64 = 60_000;

/// A model that nobody asks for during this time wants no turn any more.
const WANTING_MAX_MS: u64 = 600_000;

/// Time constant of the steady rate.
const STEADY_MS: f64 = 15_000.0;

/// A model on an accelerator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Spot {
    agent: AgentId,
    accelerator: u32,
    model: ModelId,
}

/// A load that was planned and that no heartbeat has shown yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    version: u32,
    /// When it could have started.
    free_at: Instant,
    reason: PlacementReason,
}

/// A model with work that nothing could serve.
#[derive(Debug, Clone, Copy)]
struct Wanting {
    since: Instant,
    /// When work was last seen waiting.
    asked_at: Instant,
}

/// Decisions that heartbeats don't show yet, and demand over time.
///
/// Heartbeats are behind. Without this memory a plan would see the residency of
/// before the last plans, decide the same again elsewhere, and move twice.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    pending: BTreeMap<Spot, Pending>,
    removals: BTreeMap<Spot, Instant>,
    /// Since when a model with work has had no holder.
    wanting: BTreeMap<ModelId, Wanting>,
    steady: BTreeMap<ModelId, f64>,
    seen_at: Option<Instant>,
}

impl Memory {
    /// Puts on the board what earlier plans decided.
    pub(crate) fn recall(
        &mut self,
        now: Instant,
        board: &mut Board<'_>,
        catalog: &mut Catalog<'_>,
    ) {
        self.forget(now, board, catalog);
        self.recall_removals(board, catalog);
        for adapters in [false, true] {
            self.recall_loads(now, board, catalog, adapters);
        }
        self.watch_demand(now, catalog);
        self.watch_waits(now, board, catalog);
    }

    /// Notes the loads and removals that a plan decides.
    pub(crate) fn remember(
        &mut self,
        now: Instant,
        board: &Board<'_>,
        catalog: &Catalog<'_>,
    ) {
        for slot in &board.slots {
            let agent = &board.agents[slot.agent];
            let spot = |model: usize| Spot {
                agent: agent.id.clone(),
                accelerator: slot.accelerator,
                model: catalog.models[model].spec.id.clone(),
            };
            for held in slot.held().filter(|held| held.state.is_none()) {
                self.pending.entry(spot(held.model)).or_insert(Pending {
                    version: held.version,
                    free_at: now,
                    reason: held.reason,
                });
            }
            let here = agent.residents.iter().filter(|resident| {
                resident.accelerator == slot.accelerator
                    && resident.state != ResidentState::Unloading
            });
            for model in here.filter_map(|there| catalog.find(there.model.as_str())) {
                if slot.held().any(|held| held.model == model) {
                    self.removals.remove(&spot(model));
                } else {
                    self.removals.entry(spot(model)).or_insert(now);
                }
            }
        }
    }

    /// Drops what heartbeats show, and what never came.
    fn forget(&mut self, now: Instant, board: &Board<'_>, catalog: &Catalog<'_>) {
        self.pending.retain(|spot, pending| {
            let Some(slot) = board.slot_index(&spot.agent, spot.accelerator) else {
                return false;
            };
            let Some(model) = catalog.find(spot.model.as_str()) else {
                return false;
            };
            let shown = board.slots[slot]
                .held()
                .any(|held| held.model == model && held.version == pending.version);
            let current = catalog.models[model].spec.version == pending.version;
            !shown && current && now.ms_since(pending.free_at) < PENDING_MAX_MS
        });
        self.removals.retain(|spot, at| {
            let slot = board.slot_index(&spot.agent, spot.accelerator);
            let model = catalog.find(spot.model.as_str());
            let (Some(slot), Some(model)) = (slot, model) else {
                return false;
            };
            now.ms_since(*at) < REMOVAL_MAX_MS
                && board.slots[slot].held().any(|held| held.model == model)
        });
    }

    fn recall_removals(&self, board: &mut Board<'_>, catalog: &Catalog<'_>) {
        for spot in self.removals.keys() {
            let slot = board.slot_index(&spot.agent, spot.accelerator);
            let model = catalog.find(spot.model.as_str());
            if let (Some(slot), Some(model)) = (slot, model) {
                board.slots[slot].going(model);
            }
        }
    }

    fn recall_loads(
        &mut self,
        now: Instant,
        board: &mut Board<'_>,
        catalog: &Catalog<'_>,
        adapters: bool,
    ) {
        self.pending.retain(|spot, pending| {
            let slot = board.slot_index(&spot.agent, spot.accelerator);
            let model = catalog.find(spot.model.as_str());
            let (Some(slot), Some(model)) = (slot, model) else {
                return false;
            };
            let known = &catalog.models[model];
            if known.spec.base.is_some() != adapters {
                return true;
            }
            let slot = &mut board.slots[slot];
            let size = u64::from(known.spec.size_mib);
            if slot.leaving || slot.wanted_mib() + size > slot.capacity_mib {
                return false;
            }
            if slot.going_mib > 0 {
                // The load can't start before the removals have ended.
                pending.free_at = now;
            }
            let held = Held {
                model,
                version: pending.version,
                size_mib: known.spec.size_mib,
                state: None,
                since: now,
                reason: pending.reason,
            };
            slot.recall(known.group, held, adapters)
        });
    }

    /// Averages the rates over a longer time.
    ///
    /// The reported rate of a rare model swings with each request. A unit is
    /// taken off by the larger of both rates, so that a swing alone moves
    /// nothing, and a burst still counts at once where it gains.
    fn watch_demand(&mut self, now: Instant, catalog: &mut Catalog<'_>) {
        let passed_ms = self.seen_at.map(|seen| now.ms_since(seen));
        self.seen_at = Some(now);
        for group in &mut catalog.groups {
            let id = &catalog.models[group.base].spec.id;
            let rate = group.work.rate_per_s;
            let steady = match (self.steady.get(id), passed_ms) {
                (Some(held), Some(passed_ms)) => {
                    let keep = (-(passed_ms as f64) / STEADY_MS).exp();
                    held * keep + rate * (1.0 - keep)
                }
                _ => rate,
            };
            group.steady_rate_per_s = steady;
            if steady > 1e-6 {
                self.steady.insert(id.clone(), steady);
            } else {
                self.steady.remove(id);
            }
        }
    }

    /// Keeps the time for which each model with work has had no holder.
    ///
    /// Requests that are given up on take their age with them: by the oldest
    /// request alone, a model whose work expires would never be due.
    fn watch_waits(
        &mut self,
        now: Instant,
        board: &Board<'_>,
        catalog: &mut Catalog<'_>,
    ) {
        let mut servable = vec![false; catalog.models.len()];
        for slot in board.slots.iter().filter(|slot| !slot.leaving) {
            for unit in slot.units.iter().filter(|unit| unit.serves()) {
                servable[unit.base.model] = true;
                for held in unit.adapters.iter().filter(|held| held.is_loaded()) {
                    servable[held.model] = true;
                }
            }
        }
        for (model, servable) in catalog.models.iter_mut().zip(servable) {
            let id = &model.spec.id;
            if servable {
                self.wanting.remove(id);
                continue;
            }
            if model.work.waiting > 0.0 {
                let first = Wanting {
                    since: now,
                    asked_at: now,
                };
                let wanting = self.wanting.entry(id.clone()).or_insert(first);
                wanting.asked_at = now;
            }
            let Some(wanting) = self.wanting.get(id) else {
                continue;
            };
            let wanting_ms = now.ms_since(wanting.since);
            model.wait_ms = model.work.oldest_wait_ms.max(wanting_ms);
        }
        self.wanting.retain(|id, wanting| {
            now.ms_since(wanting.asked_at) < WANTING_MAX_MS
                && catalog.find(id.as_str()).is_some()
        });
    }
}

impl crate::board::Slot {
    /// Wants a planned load again; false if its base is gone.
    fn recall(&mut self, group: usize, held: Held, adapter: bool) -> bool {
        if !adapter {
            self.units.push(Unit {
                group,
                base: held,
                adapters: Vec::new(),
                outdated: false,
            });
            return true;
        }
        let Some(unit) = self.unit_for(group) else {
            return false;
        };
        unit.adapters.push(held);
        true
    }
}
