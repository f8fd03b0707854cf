//! Adapters that upstreams hold before requests ask for them.
//!
//! Answers the load in which requests name one of many adapters. Fetched when a
//! request waits for it, an adapter costs that request its time, and most of them
//! at once when demand moves to a model or while nobody gives orders. There are
//! usually more places than adapters, so nearly each can be somewhere beforehand.

use base::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::{DemandEstimate, EngineSpec};

/// Time for which an adapter keeps its place before it makes room for another.
/// Where more adapters are asked for than there are places, they take turns; a turn
/// is some tens of loads long.
pub const ADAPTER_MIN_RESIDENCE_MS: u64 = 300;

/// Part of the demand that is taken to be spread over all models alike: demand moves
/// to models that nobody asks for now, and their adapters are to be there by then.
const UNIFORM_DEMAND_SHARE: f64 = 0.3;

/// Share of the demand below which a further copy of an adapter is not worth its order.
/// Where there are many more places than adapters, copies would fill all of them.
const MIN_EXTRA_COPY_VALUE: f64 = 0.0005;

/// Times by which an adapter has to be worth more than the one in its place before
/// the two change places, so that they do not change back.
const REPLACEMENT_RATIO: f64 = 2.0;

/// One upstream as the spread of adapters sees it.
#[derive(Debug, Clone)]
pub struct UpstreamAdapterState {
    /// Upstream.
    pub upstream: Arc<str>,
    /// Whether it can be ordered an adapter now.
    pub accepts_orders: bool,
    /// Whether it can be given one that nobody waits for.
    pub accepts_prefetch: bool,
    /// Places that are free.
    pub free_slots: u32,
    /// Memory that is free.
    pub free_mb: f64,
    /// Requests that run there.
    pub running: u32,
    /// Models that serve there, with their adapters and since when these are there.
    pub models: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Instant>>,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AdapterName {
    /// Model.
    pub model: Arc<str>,
    /// Adapter.
    pub adapter: Arc<str>,
}

impl AdapterName {
    /// An adapter of a model.
    pub fn new(model: &Arc<str>, adapter: &Arc<str>) -> Self {
        Self {
            model: Arc::clone(model),
            adapter: Arc::clone(adapter),
        }
    }
}

/// An adapter that is to be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedAdapterLoad {
    /// Upstream that is to hold it.
    pub upstream: Arc<str>,
    /// Adapter.
    pub load: AdapterName,
    /// Adapter that has to go first.
    pub unload: Option<AdapterName>,
}

/// The adapters of a service's upstreams, and what each copy of one is worth.
#[derive(Debug)]
pub struct AdapterPlanner<'a> {
    now: Instant,
    engine: &'a EngineSpec,
    upstreams: &'a [UpstreamAdapterState],
    /// Whether each upstream was chosen already: it takes one order at a time.
    assigned: Vec<bool>,
    copy_counts: HashMap<AdapterName, u32>,
    /// Worth of the first copy of each adapter of a model.
    first_copy_value: HashMap<&'a str, f64>,
    /// Memory that one more model takes at most.
    largest_model_mb: f64,
}

impl<'a> AdapterPlanner<'a> {
    /// What is held, against the demand for models.
    pub fn new(
        now: Instant,
        engine: &'a EngineSpec,
        spots: &'a [UpstreamAdapterState],
        loads: &BTreeMap<Arc<str>, DemandEstimate>,
    ) -> Self {
        let mut copies = HashMap::new();
        for (model, adapters) in spots.iter().flat_map(|spot| &spot.models) {
            for adapter in adapters.keys() {
                let name = AdapterName::new(model, adapter);
                *copies.entry(name).or_default() += 1;
            }
        }
        let sizes = engine.models.values().map(|spec| spec.weights_mb);
        Self {
            now,
            engine,
            upstreams: spots,
            assigned: vec![false; spots.len()],
            copy_counts: copies,
            first_copy_value: first_copy_values(engine, loads),
            largest_model_mb: sizes.fold(0.0, f64::max),
        }
    }

    /// Where an adapter that requests wait for is to be loaded, if that can be now.
    ///
    /// A free place goes first, then the place of the adapter that is worth least, and
    /// of equal ones that at the least used upstream.
    pub fn load_requested(
        &mut self,
        wanted: &AdapterName,
    ) -> Option<PlannedAdapterLoad> {
        let spots = self.upstreams.iter().enumerate();
        let open =
            spots.filter(|(index, spot)| spot.accepts_orders && !self.assigned[*index]);
        let found = open.filter_map(|(index, spot)| {
            let held = spot.models.get(&wanted.model)?;
            if held.contains_key(&wanted.adapter) {
                return None;
            }
            let (loss, unload) = self.find_slot(spot)?;
            Some((loss, spot.running, index, unload))
        });
        let best = found.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (_, _, index, unload) = best?;
        let choice = PlannedAdapterLoad {
            upstream: Arc::clone(&self.upstreams[index].upstream),
            load: wanted.clone(),
            unload,
        };
        self.record_choice(index, &choice);
        Some(choice)
    }

    /// Adapters worth loading before anybody asks for them, one an upstream at most.
    pub fn prefetch(&mut self) -> Vec<PlannedAdapterLoad> {
        let mut choices = Vec::new();
        for (index, spot) in self.upstreams.iter().enumerate() {
            if !spot.accepts_prefetch || self.assigned[index] {
                continue;
            }
            if let Some(choice) = self.prefetch_for(spot) {
                self.record_choice(index, &choice);
                choices.push(choice);
            }
        }
        choices
    }

    fn prefetch_for(&self, spot: &UpstreamAdapterState) -> Option<PlannedAdapterLoad> {
        let (gain, load) = self.best_missing_adapter(spot)?;
        let (loss, unload) = self.find_slot(spot)?;
        let spec = self.engine.models.get(&load.model)?;
        let takes_model = spot.free_mb >= self.largest_model_mb
            && spot.free_mb - spec.adapter_mb < self.largest_model_mb;
        if gain <= loss * REPLACEMENT_RATIO || takes_model {
            return None;
        }
        Some(PlannedAdapterLoad {
            upstream: Arc::clone(&spot.upstream),
            load,
            unload,
        })
    }

    /// The adapter that is worth most of those that an upstream could hold and does
    /// not.
    fn best_missing_adapter(
        &self,
        spot: &UpstreamAdapterState,
    ) -> Option<(f64, AdapterName)> {
        let models = spot.models.iter();
        let all = models.flat_map(|(model, held)| {
            let spec = self.engine.models.get(model);
            let names = spec.into_iter().flat_map(|spec| &spec.adapters);
            let missing = names.filter(move |adapter| !held.contains_key(*adapter));
            missing.map(move |adapter| {
                let name = AdapterName::new(model, adapter);
                (self.copy_value(model, self.copy_count(&name)), name)
            })
        });
        all.max_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// What making room costs, and the adapter that has to go for it if there is no
    /// free place.
    fn find_slot(
        &self,
        spot: &UpstreamAdapterState,
    ) -> Option<(f64, Option<AdapterName>)> {
        if spot.free_slots > 0 {
            return Some((0.0, None));
        }
        let models = spot.models.iter();
        let all = models.flat_map(|(model, held)| {
            let had_turn = held.iter().filter(|(_, since)| {
                self.now.ms_since(**since) >= ADAPTER_MIN_RESIDENCE_MS
            });
            had_turn.map(move |(adapter, since)| {
                let name = AdapterName::new(model, adapter);
                let others = self.copy_count(&name).saturating_sub(1);
                (self.copy_value(model, others), *since, name)
            })
        });
        let least = all.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(loss, _, name)| (loss, Some(name)))
    }

    /// Counts what was chosen, for the choices after it.
    fn record_choice(&mut self, index: usize, choice: &PlannedAdapterLoad) {
        self.assigned[index] = true;
        *self.copy_counts.entry(choice.load.clone()).or_default() += 1;
        let gone = choice.unload.as_ref();
        if let Some(copies) = gone.and_then(|gone| self.copy_counts.get_mut(gone)) {
            *copies = copies.saturating_sub(1);
        }
    }

    fn copy_count(&self, name: &AdapterName) -> u32 {
        self.copy_counts.get(name).copied().unwrap_or(0)
    }

    /// What one copy more is worth beside others. The first one makes the adapter
    /// reachable; each further one lets its requests choose among more upstreams.
    fn copy_value(&self, model: &str, others: u32) -> f64 {
        let first = self.first_copy_value.get(model).copied().unwrap_or(0.0);
        let worth = first / f64::from(others + 1).powi(2);
        if others > 0 && worth < MIN_EXTRA_COPY_VALUE {
            0.0
        } else {
            worth
        }
    }
}

/// Share of the demand that each adapter of a model is expected to have.
fn first_copy_values<'a>(
    engine: &'a EngineSpec,
    loads: &BTreeMap<Arc<str>, DemandEstimate>,
) -> HashMap<&'a str, f64> {
    let demand_of = |model: &str| {
        loads
            .get(model)
            .map_or(0.0, DemandEstimate::retention_ms_per_s)
    };
    let with_adapters = || {
        let models = engine.models.iter();
        models.filter(|(_, spec)| !spec.adapters.is_empty())
    };
    let all: f64 = with_adapters().map(|(model, _)| demand_of(model)).sum();
    let unseen = UNIFORM_DEMAND_SHARE / with_adapters().count().max(1) as f64;
    let models = with_adapters().map(|(model, spec)| {
        let seen = if all > 0.0 {
            demand_of(model) / all
        } else {
            0.0
        };
        let share = unseen + (1.0 - UNIFORM_DEMAND_SHARE) * seen;
        (&**model, share / spec.adapters.len() as f64)
    });
    models.collect()
}
