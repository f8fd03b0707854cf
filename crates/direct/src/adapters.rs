//! Planning of adapter loads, ahead of the requests that need them.
//!
//! Requests name one of many adapters. Loading an adapter while a request waits for it
//! delays that request, and many requests are delayed at once when demand shifts to
//! another model or while there is no coordinator. There are usually more adapter slots
//! than adapters, so nearly every adapter can be held somewhere in advance.

use base::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::{DemandEstimate, EngineSpec, SoftwareVersion};

/// Time for which an adapter stays before it makes room for another one. If more
/// adapters are requested than there are slots, they take turns. This time is as long
/// as some tens of adapter loads.
pub const ADAPTER_MIN_RESIDENCE_MS: u64 = 300;

/// Share of the demand that is assumed to be spread evenly over all models. Demand
/// shifts to models that nobody uses now, and their adapters should be loaded by then.
const UNIFORM_DEMAND_SHARE: f64 = 0.3;

/// Share of the total demand below which an extra copy of an adapter isn't worth an
/// order. Otherwise, with many more slots than adapters, copies would fill all slots.
const MIN_EXTRA_COPY_VALUE: f64 = 0.0005;

/// Factor by which an adapter must be worth more than the one that it replaces, so that
/// the two don't replace each other back and forth.
const REPLACEMENT_RATIO: f64 = 2.0;

/// State of one upstream as input to the adapter planner.
#[derive(Debug, Clone)]
pub struct UpstreamAdapterState {
    /// Name of the upstream.
    pub upstream: Arc<str>,
    /// Whether the upstream accepts an order for an adapter now.
    pub accepts_orders: bool,
    /// Whether the upstream may be given an adapter that no request waits for.
    pub accepts_prefetch: bool,
    /// Number of free adapter slots.
    pub free_slots: u32,
    /// Free memory, in MB.
    pub free_mb: f64,
    /// Number of running requests.
    pub running: u32,
    /// Adapters among these that are being unloaded. They serve no new request.
    pub unloading: BTreeSet<AdapterName>,
    /// Version of the upstream's software, if known.
    pub software: Option<SoftwareVersion>,
    /// Models that serve requests there, with their adapters and the time since when
    /// each adapter has been there.
    pub models: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Instant>>,
}

/// An adapter, identified by its model and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdapterName {
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the adapter.
    pub adapter: Arc<str>,
}

impl AdapterName {
    /// Creates the name from a model and an adapter.
    pub fn new(model: &Arc<str>, adapter: &Arc<str>) -> Self {
        Self {
            model: Arc::clone(model),
            adapter: Arc::clone(adapter),
        }
    }
}

/// An adapter that requests wait for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestedAdapter {
    /// The adapter.
    pub name: AdapterName,
    /// Version of the software that the upstream must run: the requests are for the rest
    /// of streams that began there. `None` if any will do.
    pub software: Option<SoftwareVersion>,
}

impl RequestedAdapter {
    /// Whether an upstream of this version serves the requests.
    pub fn fits(&self, software: Option<SoftwareVersion>) -> bool {
        self.software.is_none() || self.software == software
    }
}

/// An adapter load that the planner has decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedAdapterLoad {
    /// Upstream that loads the adapter.
    pub upstream: Arc<str>,
    /// Adapter to load.
    pub load: AdapterName,
    /// Adapter that has to be unloaded first.
    pub unload: Option<AdapterName>,
}

/// Plans the adapters of a service's upstreams by the value of each copy.
#[derive(Debug)]
pub struct AdapterPlanner<'a> {
    now: Instant,
    engine: &'a EngineSpec,
    upstreams: &'a [UpstreamAdapterState],
    /// Whether each upstream was assigned a load already: it takes one order at a time.
    assigned: Vec<bool>,
    copy_counts: HashMap<AdapterName, u32>,
    /// Value of the first copy of an adapter, by model.
    first_copy_value: HashMap<&'a str, f64>,
    /// Memory of the largest model, in MB.
    largest_model_mb: f64,
}

impl<'a> AdapterPlanner<'a> {
    /// Creates a planner from what is held and the demand for models.
    pub fn new(
        now: Instant,
        engine: &'a EngineSpec,
        upstreams: &'a [UpstreamAdapterState],
        demand: &BTreeMap<Arc<str>, DemandEstimate>,
    ) -> Self {
        let mut copies = HashMap::new();
        for upstream in upstreams {
            let held = upstream.models.iter().flat_map(|(model, adapters)| {
                adapters
                    .keys()
                    .map(move |adapter| AdapterName::new(model, adapter))
            });
            for name in held.filter(|name| !upstream.unloading.contains(name)) {
                *copies.entry(name).or_default() += 1;
            }
        }
        let model_sizes = engine.models.values().map(|spec| spec.weights_mb);
        Self {
            now,
            engine,
            upstreams,
            assigned: vec![false; upstreams.len()],
            copy_counts: copies,
            first_copy_value: first_copy_values(engine, demand),
            largest_model_mb: model_sizes.fold(0.0, f64::max),
        }
    }

    /// Chooses where to load an adapter that requests wait for, if it can be loaded
    /// now.
    ///
    /// A free slot is preferred, then the slot of the adapter with the least value, and
    /// among equals the one on the upstream with the fewest running requests.
    pub fn load_requested(
        &mut self,
        requested: &RequestedAdapter,
    ) -> Option<PlannedAdapterLoad> {
        let name = &requested.name;
        let upstreams = self.upstreams.iter().enumerate();
        let available = upstreams.filter(|(index, upstream)| {
            upstream.accepts_orders
                && !self.assigned[*index]
                && requested.fits(upstream.software)
        });
        let candidates = available.filter_map(|(index, upstream)| {
            let held = upstream.models.get(&name.model)?;
            if held.contains_key(&name.adapter) {
                return None;
            }
            let (loss, unload) = self.find_slot(upstream)?;
            Some((loss, upstream.running, index, unload))
        });
        let best = candidates.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (_, _, index, unload) = best?;
        let choice = PlannedAdapterLoad {
            upstream: Arc::clone(&self.upstreams[index].upstream),
            load: name.clone(),
            unload,
        };
        self.record_choice(index, &choice);
        Some(choice)
    }

    /// Returns the loads of adapters that are worth holding before any request names
    /// them, at most one load per upstream.
    pub fn prefetch(&mut self) -> Vec<PlannedAdapterLoad> {
        let mut choices = Vec::new();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            if !upstream.accepts_prefetch || self.assigned[index] {
                continue;
            }
            if let Some(choice) = self.prefetch_for(upstream) {
                self.record_choice(index, &choice);
                choices.push(choice);
            }
        }
        choices
    }

    /// The adapter that is most worth loading on an upstream, if it is worth more than
    /// what it replaces.
    fn prefetch_for(
        &self,
        upstream: &UpstreamAdapterState,
    ) -> Option<PlannedAdapterLoad> {
        let (gain, load) = self.best_missing_adapter(upstream)?;
        let (loss, unload) = self.find_slot(upstream)?;
        let spec = self.engine.models.get(&load.model)?;
        let would_block_model = upstream.free_mb >= self.largest_model_mb
            && upstream.free_mb - spec.adapter_mb < self.largest_model_mb;
        if gain <= loss * REPLACEMENT_RATIO || would_block_model {
            return None;
        }
        Some(PlannedAdapterLoad {
            upstream: Arc::clone(&upstream.upstream),
            load,
            unload,
        })
    }

    /// The adapter with the highest value among those that the upstream could hold and
    /// doesn't.
    fn best_missing_adapter(
        &self,
        upstream: &UpstreamAdapterState,
    ) -> Option<(f64, AdapterName)> {
        let models = upstream.models.iter();
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

    /// Value that is lost by freeing a slot, and the adapter to unload if no slot is
    /// free.
    fn find_slot(
        &self,
        upstream: &UpstreamAdapterState,
    ) -> Option<(f64, Option<AdapterName>)> {
        if upstream.free_slots > 0 {
            return Some((0.0, None));
        }
        let models = upstream.models.iter();
        let all = models.flat_map(|(model, held)| {
            let removable = held.iter().filter(|(_, since)| {
                self.now.ms_since(**since) >= ADAPTER_MIN_RESIDENCE_MS
            });
            let removable = removable
                .map(|(adapter, since)| (AdapterName::new(model, adapter), *since));
            let removable =
                removable.filter(|(name, _)| !upstream.unloading.contains(name));
            removable.map(move |(name, since)| {
                let other_copies = self.copy_count(&name).saturating_sub(1);
                (self.copy_value(model, other_copies), since, name)
            })
        });
        let least = all.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(loss, _, name)| (loss, Some(name)))
    }

    /// Records a planned load, so that later choices take it into account.
    fn record_choice(&mut self, index: usize, choice: &PlannedAdapterLoad) {
        self.assigned[index] = true;
        *self.copy_counts.entry(choice.load.clone()).or_default() += 1;
        let unloaded = choice.unload.as_ref();
        if let Some(copies) =
            unloaded.and_then(|unloaded| self.copy_counts.get_mut(unloaded))
        {
            *copies = copies.saturating_sub(1);
        }
    }

    fn copy_count(&self, name: &AdapterName) -> u32 {
        self.copy_counts.get(name).copied().unwrap_or(0)
    }

    /// Value of one more copy in addition to `other_copies`. The first copy makes the
    /// adapter available; each further one gives its requests a wider choice of
    /// upstreams.
    fn copy_value(&self, model: &str, other_copies: u32) -> f64 {
        let first = self.first_copy_value.get(model).copied().unwrap_or(0.0);
        let value = first / f64::from(other_copies + 1).powi(2);
        if other_copies > 0 && value < MIN_EXTRA_COPY_VALUE {
            0.0
        } else {
            value
        }
    }
}

/// Share of the total demand that each adapter of a model is expected to have.
fn first_copy_values<'a>(
    engine: &'a EngineSpec,
    demand: &BTreeMap<Arc<str>, DemandEstimate>,
) -> HashMap<&'a str, f64> {
    let demand_of = |model: &str| {
        demand
            .get(model)
            .map_or(0.0, DemandEstimate::retention_ms_per_s)
    };
    let with_adapters = || {
        let models = engine.models.iter();
        models.filter(|(_, spec)| !spec.adapters.is_empty())
    };
    let all: f64 = with_adapters().map(|(model, _)| demand_of(model)).sum();
    let uniform_share = UNIFORM_DEMAND_SHARE / with_adapters().count().max(1) as f64;
    let models = with_adapters().map(|(model, spec)| {
        let demand_share = if all > 0.0 {
            demand_of(model) / all
        } else {
            0.0
        };
        let share = uniform_share + (1.0 - UNIFORM_DEMAND_SHARE) * demand_share;
        (&**model, share / spec.adapters.len() as f64)
    });
    models.collect()
}
