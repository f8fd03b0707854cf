//! The plan while it is made.

mod index_set;
mod model_index;
mod relief;

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::forecast::DemandForecast;
use crate::unserved::{UnservedModels, guaranteed_residence_ms};
use crate::{
    DemandEstimate, EngineSpec, LoadReason, ModelSpec, PlannedLoad, UpstreamState,
};
use index_set::IndexSet;
use model_index::ModelIndex;
use relief::{CandidateMove, ForecastLoads, per_copy_load};

/// What a move costs, in relief. Relief is the fall of the sum of the squares of
/// all upstreams' loads: how long requests wait grows faster than the load that
/// they meet. A load keeps an upstream's memory busy while it lasts, and demand
/// moves on meanwhile, so a long one has to bring more.
const MOVE_COST: f64 = 0.12;
const MOVE_COST_PER_S: f64 = 0.08;

/// What an unload costs for each part of the upstream's time that the model
/// took there: it waits for what runs, and what comes meanwhile goes elsewhere.
const UNLOAD_COST: f64 = 1.0;

/// What a load from the weight store costs beside its time.
const STORE_COST: f64 = 0.03;

/// Time for which a model stays where it was loaded.
const MIN_RESIDENCE_MS: u64 = 3_000;

/// Loss of the last copy of a model without demand, against any relief.
const LAST_COPY_LOSS: f64 = 0.5;

/// Advantage of a failure domain in which no other copy is, as relief.
const SPREAD_BONUS: f64 = 0.01;

/// Work, as a part of one upstream's time, below which a model gets no further
/// copy.
const MIN_WORK: f64 = 0.02;

/// Moves decided at once.
const MAX_PLANNED_LOADS: usize = 8;

/// The plan while it is made: what each upstream will hold after the moves
/// chosen so far.
#[derive(Debug)]
pub(crate) struct PlanBuilder<'a> {
    now: Instant,
    engine: &'a EngineSpec,
    /// Models that the engine runs, that are asked for or held.
    models: ModelIndex,
    model_facts: Vec<ModelFacts<'a>>,
    upstreams: Vec<UpstreamPlan<'a>>,
    /// How demand may go on.
    forecasts: Vec<ForecastLoads>,
    store_loads_left: usize,
    pub(crate) planned: Vec<PlannedLoad>,
}

/// What is known of one model throughout a plan.
#[derive(Debug)]
struct ModelFacts<'a> {
    spec: Option<&'a ModelSpec>,
    load: Option<&'a DemandEstimate>,
    /// Time for which it has gone unserved beyond the patience.
    overdue_ms: u64,
    guaranteed_residence_ms: u64,
}

impl ModelFacts<'_> {
    fn is_wanted(&self) -> bool {
        self.load.is_some_and(DemandEstimate::is_wanted)
    }

    fn is_waited_for(&self) -> bool {
        self.load.is_some_and(|load| load.waiting > 0)
    }
}

/// One upstream.
#[derive(Debug)]
struct UpstreamPlan<'a> {
    state: &'a UpstreamState,
    idle: bool,
    free_mb: f64,
    models: Vec<HeldModel>,
    /// Models that it can load without the weight store.
    local_weights: IndexSet,
}

/// A model with its adapters at one upstream.
#[derive(Debug)]
struct HeldModel {
    model: usize,
    size_mb: f64,
    unloading: bool,
    since: Instant,
}

/// A place for one more copy of a model.
#[derive(Debug)]
struct CopyPlacement {
    upstream: usize,
    victim: Option<usize>,
    from_store: bool,
    relief: f64,
    /// Relief less what the move costs.
    net_relief: f64,
}

/// What is asked for, as a plan goes by it.
#[derive(Debug)]
pub(crate) struct DemandInput<'a> {
    /// Demand by model.
    pub(crate) demand: &'a BTreeMap<Arc<str>, DemandEstimate>,
    /// Since when models are asked for that nothing holds.
    pub(crate) unserved: &'a UnservedModels,
    /// How demand may go on.
    pub(crate) forecasts: &'a [DemandForecast],
}

impl<'a> PlanBuilder<'a> {
    pub(crate) fn new(
        now: Instant,
        engine: &'a EngineSpec,
        spots: &'a [UpstreamState],
        asked: &DemandInput<'a>,
        store_left: usize,
    ) -> Self {
        let mut models = ModelIndex::default();
        for name in engine.models.keys().chain(asked.demand.keys()) {
            models.intern(name);
        }
        let rows: Vec<UpstreamPlan<'a>> = spots
            .iter()
            .map(|spot| UpstreamPlan::new(spot, &mut models))
            .collect();
        for (index, row) in rows.iter().enumerate() {
            for group in row.models.iter().filter(|group| !group.unloading) {
                models.add_copy(group.model, index);
            }
        }
        let facts = models.names().iter().map(|name| ModelFacts {
            spec: engine.models.get(name),
            load: asked.demand.get(name),
            overdue_ms: asked.unserved.overdue_ms(now, name),
            guaranteed_residence_ms: guaranteed_residence_ms(engine, name),
        });
        let facts = facts.collect();
        let views = asked.forecasts.iter();
        let views = views.map(|forecast| forecast_loads(forecast, &models));
        let mut board = Self {
            now,
            engine,
            forecasts: views.collect(),
            models,
            model_facts: facts,
            upstreams: rows,
            store_loads_left: store_left,
            planned: Vec::new(),
        };
        board.recompute_loads();
        board
    }

    /// Models that requests wait for and nothing holds: those that are overdue,
    /// and then the longest wait first.
    pub(crate) fn load_waited_for(&mut self) {
        let waiting = (0..self.models.len()).filter(|model| {
            self.model_facts[*model].is_waited_for()
                && self.models.copy_count(*model) == 0
        });
        let mut waiting: Vec<(u64, u64, &Arc<str>, usize)> = waiting
            .map(|model| {
                let facts = &self.model_facts[model];
                let oldest_ms = facts.load.map_or(0, |load| load.oldest_wait_ms);
                (facts.overdue_ms, oldest_ms, self.models.name(model), model)
            })
            .collect();
        waiting.sort_by(|a, b| b.cmp(a));
        let waiting: Vec<usize> = waiting.iter().map(|(.., model)| *model).collect();
        for model in waiting {
            if let Some(place) = self.best_placement(model, true) {
                self.commit(model, &place, LoadReason::Waited);
            }
        }
    }

    /// Further copies for models whose requests meet busy upstreams.
    pub(crate) fn add_copies_of_busy(&mut self) {
        while self.planned.len() < MAX_PLANNED_LOADS {
            let Some((model, place)) = self.best_extra_copy() else {
                return;
            };
            self.commit(model, &place, LoadReason::Busy);
        }
    }

    /// Models that nothing holds, where there is room anyway.
    pub(crate) fn load_missing(&mut self) {
        let names = self.engine.models.keys();
        let missing: Vec<usize> = names
            .filter_map(|name| self.models.index_of(name))
            .filter(|model| self.models.copy_count(*model) == 0)
            .collect();
        for model in missing {
            if self.planned.len() >= MAX_PLANNED_LOADS {
                return;
            }
            if let Some(place) = self.best_placement(model, false) {
                self.commit(model, &place, LoadReason::Reachable);
            }
        }
    }

    fn best_extra_copy(&self) -> Option<(usize, CopyPlacement)> {
        let mut best: Option<(usize, CopyPlacement)> = None;
        for model in 0..self.models.len() {
            let work = self.weighted_sum(|view| view.expected[model]);
            if self.models.copy_count(model) == 0 || work < MIN_WORK {
                continue;
            }
            let Some(place) = self.best_placement(model, true) else {
                continue;
            };
            let most = best.as_ref().map_or(0.0, |(_, best)| best.net_relief);
            if place.net_relief > most {
                best = Some((model, place));
            }
        }
        best
    }

    /// The best place for one more copy; with `evict`, also where another model
    /// has to go.
    fn best_placement(&self, model: usize, evict: bool) -> Option<CopyPlacement> {
        let spec = self.model_facts[model].spec?;
        let mut best: Option<CopyPlacement> = None;
        for (index, row) in self.upstreams.iter().enumerate() {
            if !row.idle || row.holds(model) {
                continue;
            }
            let from_store = !row.local_weights.contains(model);
            if from_store && self.store_loads_left == 0 {
                continue;
            }
            let found = self.make_room(model, index, spec.weights_mb, evict);
            let Some((victim, relief)) = found else {
                continue;
            };
            let net = relief - self.move_cost(model, spec, row);
            if best.as_ref().is_none_or(|place| net > place.net_relief) {
                best = Some(CopyPlacement {
                    upstream: index,
                    victim,
                    from_store,
                    relief,
                    net_relief: net,
                });
            }
        }
        best
    }

    fn move_cost(&self, model: usize, spec: &ModelSpec, row: &UpstreamPlan<'_>) -> f64 {
        let from_store = !row.local_weights.contains(model);
        let load_ms = if from_store {
            spec.store_load_ms
        } else {
            spec.disk_load_ms
        };
        let mut cost = MOVE_COST + MOVE_COST_PER_S * load_ms as f64 / 1_000.0;
        if from_store {
            cost += STORE_COST;
        }
        if !self.has_copy_in_domain(model, &row.state.domain) {
            cost -= SPREAD_BONUS;
        }
        cost
    }

    /// Room on a spot: the model that has to go, and what the move relieves.
    fn make_room(
        &self,
        model: usize,
        to: usize,
        size_mb: f64,
        evict: bool,
    ) -> Option<(Option<usize>, f64)> {
        let row = &self.upstreams[to];
        if row.free_mb >= size_mb {
            let alone = CandidateMove {
                model,
                to,
                victim: None,
            };
            return Some((None, self.relief(alone)));
        }
        if !evict {
            return None;
        }
        let mut best: Option<(usize, f64)> = None;
        for (victim, group) in row.models.iter().enumerate() {
            let stays = self.now.ms_since(group.since) < MIN_RESIDENCE_MS;
            if stays || group.unloading || row.free_mb + group.size_mb < size_mb {
                continue;
            }
            if self.is_protected(group, model) {
                continue;
            }
            let in_its_place = CandidateMove {
                model,
                to,
                victim: Some(group.model),
            };
            let copies = self.models.copy_count(group.model);
            let share = self
                .weighted_sum(|view| per_copy_load(view.retained[group.model], copies));
            let mut relief = self.relief(in_its_place);
            relief -= share * UNLOAD_COST;
            if copies == 1 {
                relief -= LAST_COPY_LOSS;
            }
            if best.is_none_or(|(_, most)| relief > most) {
                best = Some((victim, relief));
            }
        }
        best.map(|(victim, relief)| (Some(victim), relief))
    }

    /// Fall of the sum of the squares of all loads by a move, over all outlooks.
    fn relief(&self, of: CandidateMove) -> f64 {
        self.weighted_sum(|view| view.relief(of, &self.models))
    }

    fn weighted_sum(&self, value: impl Fn(&ForecastLoads) -> f64) -> f64 {
        let views = self.forecasts.iter();
        views.map(|view| view.weight * value(view)).sum()
    }

    fn commit(&mut self, model: usize, place: &CopyPlacement, reason: LoadReason) {
        let size_mb = self.model_facts[model]
            .spec
            .map_or(0.0, |spec| spec.weights_mb);
        let row = &mut self.upstreams[place.upstream];
        let unload = place.victim.map(|index| row.models.remove(index));
        if let Some(victim) = &unload {
            row.free_mb += victim.size_mb;
            self.models.remove_copy(victim.model, place.upstream);
        }
        row.free_mb -= size_mb;
        row.idle = false;
        row.models.push(HeldModel {
            model,
            size_mb,
            unloading: false,
            since: self.now,
        });
        self.models.add_copy(model, place.upstream);
        if place.from_store {
            self.store_loads_left -= 1;
        }
        let unload = unload.map(|victim| Arc::clone(self.models.name(victim.model)));
        self.planned.push(PlannedLoad {
            upstream: Arc::clone(&row.state.upstream),
            load: Arc::clone(self.models.name(model)),
            unload,
            from_store: place.from_store,
            reason,
            relief: place.relief,
        });
        self.recompute_loads();
    }

    /// Works the loads of all spots out anew.
    fn recompute_loads(&mut self) {
        let (rows, models) = (&self.upstreams, &self.models);
        for view in &mut self.forecasts {
            let loads = rows.iter().map(|row| row.load(view, models)).collect();
            view.update(loads, models);
        }
    }

    fn has_copy_in_domain(&self, model: usize, domain: &Arc<str>) -> bool {
        let mut holders = self.models.holders(model).iter();
        holders.any(|index| self.upstreams[*index].state.domain == *domain)
    }

    /// Whether the last copy of a model has to stay where it is, against another
    /// model's wish for its place.
    fn is_protected(&self, group: &HeldModel, against: usize) -> bool {
        let facts = &self.model_facts[group.model];
        if self.models.copy_count(group.model) > 1 || !facts.is_wanted() {
            return false;
        }
        let had_turn = self.now.ms_since(group.since) >= facts.guaranteed_residence_ms;
        let overdue = self.model_facts[against].overdue_ms > 0;
        !(overdue && had_turn)
    }
}

impl<'a> UpstreamPlan<'a> {
    fn new(spot: &'a UpstreamState, models: &mut ModelIndex) -> Self {
        let mut copies = IndexSet::default();
        for name in &spot.local_weights {
            copies.insert(models.intern(name));
        }
        let groups = spot.models.iter().map(|group| HeldModel {
            model: models.intern(&group.model),
            size_mb: group.size_mb,
            unloading: group.unloading,
            since: group.since,
        });
        Self {
            state: spot,
            idle: spot.idle,
            free_mb: spot.free_mb,
            models: groups.collect(),
            local_weights: copies,
        }
    }

    fn holds(&self, model: usize) -> bool {
        self.models.iter().any(|group| group.model == model)
    }

    fn load(&self, view: &ForecastLoads, models: &ModelIndex) -> f64 {
        let groups = self.models.iter().filter(|group| !group.unloading);
        let loads = groups.map(|group| {
            per_copy_load(view.expected[group.model], models.copy_count(group.model))
        });
        loads.sum()
    }
}

/// An outlook by the models' numbers.
fn forecast_loads(forecast: &DemandForecast, models: &ModelIndex) -> ForecastLoads {
    let names = models.names().iter();
    let expected = names.clone().map(|name| forecast.expected_of(name));
    let kept = names.map(|name| forecast.retained_of(name));
    ForecastLoads::new(forecast.weight, expected.collect(), kept.collect())
}
