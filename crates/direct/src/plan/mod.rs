//! Construction of one load plan.

mod index_set;
mod model_index;
mod obstacle;
mod placement;
mod relief;
mod spare;
mod timely;
mod urgency;

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::forecast::DemandForecast;
use crate::unserved::{OVERDUE_AFTER_MS, UnservedModels, guaranteed_residence_ms};
use crate::{
    CapacityPressure, DemandEstimate, EngineSpec, LoadReason, ModelSpec, MoveDelay,
    PlannedLoad, UpstreamState,
};
use index_set::IndexSet;
use model_index::ModelIndex;
use placement::CopyPlacement;
use relief::{CandidateMove, ForecastLoads, per_copy_load};
use timely::TimelyFacts;
use urgency::MIN_CROWDED_WORK;

/// Time for which a loaded model is not evicted.
const MIN_RESIDENCE_MS: u64 = 3_000;

/// Time beyond which a model with demand and no holder no longer waits for its turn
/// behind models with urgent callers. Without a bound, patient callers would never be
/// served where as many models have urgent ones as there is room for.
const MAX_TURN_WAIT_MS: u64 = 20_000;

/// Cost of evicting the last copy of a model without demand, in the unit of relief.
const LAST_COPY_LOSS: f64 = 0.5;

/// Time after which a model with demand and no holder is overdue where copies are made
/// in time, where models with patient callers lose their places earlier. A longer time
/// makes the answers of patient callers late; after a shorter one, models lose their
/// places as soon as they are in use.
const TIMELY_OVERDUE_AFTER_MS: u64 = 3_000;

/// Maximum number of loads in one plan.
const MAX_PLANNED_LOADS: usize = 8;

/// A plan under construction: what each upstream will hold after the loads planned so
/// far.
#[derive(Debug)]
pub(crate) struct PlanBuilder<'a> {
    now: Instant,
    engine: &'a EngineSpec,
    /// Models that the engine is configured with, that have demand or that are held.
    models: ModelIndex,
    model_facts: Vec<ModelFacts<'a>>,
    upstreams: Vec<UpstreamPlan<'a>>,
    /// Possible developments of demand and the upstream loads that follow from each.
    forecasts: Vec<ForecastLoads>,
    store_loads_left: usize,
    /// Set where copies have to be made in time.
    timely: Option<TimelyFacts>,
    pub(crate) planned: Vec<PlannedLoad>,
}

/// Properties of one model that are constant during a plan.
#[derive(Debug)]
struct ModelFacts<'a> {
    spec: Option<&'a ModelSpec>,
    demand: Option<&'a DemandEstimate>,
    /// Time for which the model has had demand and no holder, beyond the time after
    /// which it is overdue.
    overdue_ms: u64,
    guaranteed_residence_ms: u64,
    /// Whether copies have to be made in time. Demand that has left is then forgotten
    /// sooner: the last copy of a busy model would hold its place for tens of seconds.
    in_time: bool,
}

impl ModelFacts<'_> {
    fn is_wanted(&self) -> bool {
        if self.in_time {
            self.demand.is_some_and(DemandEstimate::is_requested)
        } else {
            self.demand.is_some_and(DemandEstimate::is_wanted)
        }
    }

    fn is_awaited(&self) -> bool {
        self.demand.is_some_and(|demand| demand.waiting > 0)
    }
}

/// Planned state of one upstream.
#[derive(Debug)]
struct UpstreamPlan<'a> {
    state: &'a UpstreamState,
    idle: bool,
    free_mb: f64,
    models: Vec<HeldModel>,
    /// Models that the upstream can load without the weight store.
    local_weights: IndexSet,
}

/// A model, with its adapters, on one upstream.
#[derive(Debug)]
struct HeldModel {
    model: usize,
    size_mb: f64,
    unloading: bool,
    since: Instant,
}

/// Demand as input to a plan.
#[derive(Debug)]
pub(crate) struct DemandInput<'a> {
    /// Demand by model.
    pub(crate) demand: &'a BTreeMap<Arc<str>, DemandEstimate>,
    /// Models that have demand and no holder, with the time since when.
    pub(crate) unserved: &'a UnservedModels,
    /// Possible developments of demand.
    pub(crate) forecasts: &'a [DemandForecast],
    /// Set where copies have to be made in time.
    pub(crate) pressure: Option<&'a CapacityPressure>,
    /// Whether demand was observed for long enough to know which models have none.
    pub(crate) demand_is_known: bool,
}

impl<'a> PlanBuilder<'a> {
    pub(crate) fn new(
        now: Instant,
        engine: &'a EngineSpec,
        upstream_states: &'a [UpstreamState],
        input: &DemandInput<'a>,
        store_loads_left: usize,
    ) -> Self {
        let mut models = ModelIndex::default();
        for name in engine.models.keys().chain(input.demand.keys()) {
            models.intern(name);
        }
        let upstreams: Vec<UpstreamPlan<'a>> = upstream_states
            .iter()
            .map(|state| UpstreamPlan::new(state, &mut models))
            .collect();
        for (index, upstream) in upstreams.iter().enumerate() {
            for held in upstream.models.iter().filter(|held| !held.unloading) {
                models.add_copy(held.model, index);
            }
        }
        let timely = input.pressure.map(|pressure| {
            let names: Vec<&Arc<str>> = upstream_states
                .iter()
                .map(|state| &state.upstream)
                .collect();
            let request_ms = input.demand.values().map(|demand| demand.request_ms);
            let request_ms = request_ms.fold(0.0, f64::max);
            TimelyFacts::new(
                pressure,
                &mut models,
                &names,
                request_ms,
                input.demand_is_known,
            )
        });
        let facts = models.names().iter().map(|name| ModelFacts {
            spec: engine.models.get(name),
            demand: input.demand.get(name),
            overdue_ms: input
                .unserved
                .overdue_ms(now, name, overdue_after_ms(input)),
            guaranteed_residence_ms: guaranteed_residence_ms(engine, name),
            in_time: input.pressure.is_some(),
        });
        let facts = facts.collect();
        let forecasts = input.forecasts.iter();
        let forecasts = forecasts.map(|forecast| forecast_loads(forecast, &models));
        let mut builder = Self {
            now,
            engine,
            forecasts: forecasts.collect(),
            models,
            model_facts: facts,
            upstreams,
            store_loads_left,
            timely,
            planned: Vec::new(),
        };
        builder.recompute_loads();
        builder
    }

    /// Loads models that requests wait for and no upstream holds. Overdue models come
    /// first, then those with the longest wait.
    pub(crate) fn load_awaited_models(&mut self) {
        let waiting = (0..self.models.len()).filter(|model| {
            self.is_awaited(*model) && self.models.copy_count(*model) == 0
        });
        let mut waiting: Vec<(bool, u64, u64, &Arc<str>, usize)> = waiting
            .map(|model| {
                let facts = &self.model_facts[model];
                let oldest_wait_ms =
                    facts.demand.map_or(0, |demand| demand.oldest_wait_ms);
                (
                    self.is_urgent(model),
                    facts.overdue_ms,
                    oldest_wait_ms,
                    self.models.name(model),
                    model,
                )
            })
            .collect();
        waiting.sort_by(|a, b| b.cmp(a));
        let waiting: Vec<usize> = waiting.iter().map(|(.., model)| *model).collect();
        for model in waiting {
            if let Some(placement) = self.best_placement(model, true)
                && self.is_worth_waiting_for(model, &placement)
            {
                self.commit(model, &placement, LoadReason::Waited);
            }
        }
    }

    /// Adds copies of models whose holders are too busy.
    pub(crate) fn add_copies_of_busy_models(&mut self) {
        while self.planned.len() < MAX_PLANNED_LOADS {
            let Some((model, placement)) = self.best_extra_copy() else {
                return;
            };
            self.commit(model, &placement, LoadReason::Busy);
        }
    }

    /// Loads models that no upstream holds wherever there is free memory.
    ///
    /// While requests are refused where copies are made in time, it loads none: each
    /// such load keeps its upstream from taking an order for seconds.
    pub(crate) fn load_missing_models(&mut self) {
        if self.timely.is_some() {
            self.load_spare_copies();
        }
        if self
            .timely
            .as_ref()
            .is_some_and(|timely| timely.any_refused)
        {
            return;
        }
        let names = self.engine.models.keys();
        let missing: Vec<usize> = names
            .filter_map(|name| self.models.index_of(name))
            .filter(|model| self.models.copy_count(*model) == 0)
            .collect();
        for model in missing {
            if self.planned.len() >= MAX_PLANNED_LOADS {
                return;
            }
            if let Some(placement) = self.best_placement(model, false) {
                self.commit(model, &placement, LoadReason::Reachable);
            }
        }
    }

    /// Relief of a move, weighted over all forecasts.
    fn relief(&self, candidate: CandidateMove) -> f64 {
        self.weighted_sum(|forecast| forecast.relief(candidate, &self.models))
    }

    /// Sum of a value over all forecasts, by their weights.
    fn weighted_sum(&self, value: impl Fn(&ForecastLoads) -> f64) -> f64 {
        let forecasts = self.forecasts.iter();
        forecasts
            .map(|forecast| forecast.weight * value(forecast))
            .sum()
    }

    /// Adds a load to the plan and updates the planned state of its upstream.
    fn commit(&mut self, model: usize, placement: &CopyPlacement, reason: LoadReason) {
        let size_mb = self.model_facts[model]
            .spec
            .map_or(0.0, |spec| spec.weights_mb);
        let upstream = &mut self.upstreams[placement.upstream];
        let unload = placement.victim.map(|index| upstream.models.remove(index));
        if let Some(victim) = &unload {
            upstream.free_mb += victim.size_mb;
            self.models.remove_copy(victim.model, placement.upstream);
        }
        upstream.free_mb -= size_mb;
        upstream.idle = false;
        upstream.models.push(HeldModel {
            model,
            size_mb,
            unloading: false,
            since: self.now,
        });
        self.models.add_copy(model, placement.upstream);
        if placement.from_store {
            self.store_loads_left -= 1;
        }
        let unload = unload.map(|victim| Arc::clone(self.models.name(victim.model)));
        self.planned.push(PlannedLoad {
            upstream: Arc::clone(&upstream.state.upstream),
            load: Arc::clone(self.models.name(model)),
            unload,
            from_store: placement.from_store,
            reason,
            relief: placement.relief,
            delay: MoveDelay::default(),
        });
        self.recompute_loads();
    }

    /// Recomputes the loads of all upstreams.
    fn recompute_loads(&mut self) {
        let (upstreams, models) = (&self.upstreams, &self.models);
        for forecast in &mut self.forecasts {
            let loads = upstreams
                .iter()
                .map(|upstream| upstream.load(forecast, models))
                .collect();
            forecast.update(loads, models);
        }
        if let Some(timely) = &mut self.timely {
            let forecasts = &self.forecasts;
            timely.update_drains((0..models.len()).map(|model| {
                let copies = models.copy_count(model);
                let shares = forecasts.iter().map(|forecast| {
                    forecast.weight * per_copy_load(forecast.retained[model], copies)
                });
                shares.sum()
            }));
        }
    }

    fn has_copy_in_domain(&self, model: usize, domain: &Arc<str>) -> bool {
        let mut holders = self.models.holders(model).iter();
        holders.any(|index| self.upstreams[*index].state.domain == *domain)
    }

    /// Whether the last copy of a model may not be evicted in favour of `newcomer`.
    fn is_protected(&self, held: &HeldModel, newcomer: usize) -> bool {
        let facts = &self.model_facts[held.model];
        if self.models.copy_count(held.model) > 1 || !facts.is_wanted() {
            return false;
        }
        let residence_over =
            self.now.ms_since(held.since) >= facts.guaranteed_residence_ms;
        let overdue = self.model_facts[newcomer].overdue_ms > 0;
        let Some(timely) = &self.timely else {
            return !(overdue && residence_over);
        };
        // Patient callers wait for their turn behind urgent ones, never before them.
        let gives_way = timely.is_patient_beside(held.model, newcomer)
            && self.is_awaited(newcomer)
            && self.awaited_work(held.model) <= MIN_CROWDED_WORK;
        let goes_first = timely.is_patient_beside(newcomer, held.model)
            && self.model_facts[newcomer].overdue_ms < MAX_TURN_WAIT_MS;
        !(residence_over && (gives_way || overdue) && !goes_first)
    }
}

/// Time after which a model with demand and no holder is overdue.
const fn overdue_after_ms(input: &DemandInput<'_>) -> u64 {
    if input.pressure.is_some() {
        TIMELY_OVERDUE_AFTER_MS
    } else {
        OVERDUE_AFTER_MS
    }
}

impl<'a> UpstreamPlan<'a> {
    fn new(state: &'a UpstreamState, models: &mut ModelIndex) -> Self {
        let mut local_weights = IndexSet::default();
        for name in &state.local_weights {
            local_weights.insert(models.intern(name));
        }
        let held_models = state.models.iter().map(|held| HeldModel {
            model: models.intern(&held.model),
            size_mb: held.size_mb,
            unloading: held.unloading,
            since: held.since,
        });
        Self {
            state,
            idle: state.idle,
            free_mb: state.free_mb,
            models: held_models.collect(),
            local_weights,
        }
    }

    fn holds(&self, model: usize) -> bool {
        self.models.iter().any(|held| held.model == model)
    }

    fn load(&self, forecast: &ForecastLoads, models: &ModelIndex) -> f64 {
        let held_models = self.models.iter().filter(|held| !held.unloading);
        let loads = held_models.map(|held| {
            per_copy_load(forecast.expected[held.model], models.copy_count(held.model))
        });
        loads.sum()
    }
}

/// Converts a forecast from model names to model indices.
fn forecast_loads(forecast: &DemandForecast, models: &ModelIndex) -> ForecastLoads {
    let names = models.names().iter();
    let expected = names.clone().map(|name| forecast.expected_of(name));
    let retained = names.map(|name| forecast.retained_of(name));
    ForecastLoads::new(forecast.weight, expected.collect(), retained.collect())
}
