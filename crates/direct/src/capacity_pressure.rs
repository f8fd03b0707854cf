//! When copies of models have to be made in time rather than at the least cost.

use base::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::{DemandEstimate, DemandPressure, EngineSpec, UpstreamState};

/// Time for which requests are refused before copies are made in time in a service
/// whose callers are equally patient. A shorter lack of capacity is over before a load
/// finishes.
const REFUSED_FOR_MS: u64 = 500;

/// Duration of a load up to which refusals alone call for copies in time. With loads of 2 s
/// and more, the copies made for a few refusals took the places of models that were asked
/// for before the loads were over.
const SHORT_LOAD_MS: u64 = 1_500;

/// Time for which demand is observed before a model without any counts as not requested.
/// In the first plan of a day most models have had no request yet, and their last copies
/// were given up. With 1.5 s, fewer copies were ready for the first shift.
const DEMAND_KNOWN_AFTER_MS: u64 = 1_000;

/// Input to a plan besides the demand.
#[derive(Debug, Clone, Default)]
pub struct CapacityPressure {
    /// Whether urgent and patient callers share the upstreams; see
    /// [`targets_differ_widely`](crate::targets_differ_widely).
    pub targets_differ: bool,
    /// What the callers of each model tolerate, and how much is refused.
    pub models: BTreeMap<Arc<str>, DemandPressure>,
    /// Models in the memory of each upstream's host.
    pub in_memory: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    /// Upstreams that left an order without an answer.
    pub unanswering: BTreeSet<Arc<str>>,
    /// Loads from the weight store that are decided and wait for an unload.
    pub reserved_store_loads: usize,
    /// Time within which all entries report their demand to a new coordinator.
    pub demand_reported_after_ms: u64,
}

impl CapacityPressure {
    /// Whether requests for any model are refused.
    pub(crate) fn has_refusals(&self) -> bool {
        self.models.values().any(DemandPressure::is_refused)
    }
}

/// Since when requests are refused while upstreams hold models that nobody requests.
#[derive(Debug, Default)]
pub(crate) struct PressureWatch {
    since: Option<Instant>,
    demand_since: Option<Instant>,
}

impl PressureWatch {
    /// Returns whether copies have to be made in time now.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        engine: &EngineSpec,
        pressure: &CapacityPressure,
        upstreams: &[UpstreamState],
        demand: &BTreeMap<Arc<str>, DemandEstimate>,
    ) -> bool {
        if !demand.is_empty() {
            self.demand_since.get_or_insert(now);
        }
        let calls_for_copies = loads_are_short(engine) && pressure.has_refusals();
        if calls_for_copies && holds_unrequested(upstreams, demand) {
            self.since.get_or_insert(now);
        } else {
            self.since = None;
        }
        let refused_for = self.since.map_or(0, |since| now.ms_since(since));
        pressure.targets_differ || refused_for >= REFUSED_FOR_MS
    }

    /// Whether demand was observed for long enough to know which models have none.
    pub(crate) fn demand_is_known(
        &self,
        now: Instant,
        pressure: &CapacityPressure,
    ) -> bool {
        let known_after_ms =
            DEMAND_KNOWN_AFTER_MS.max(pressure.demand_reported_after_ms);
        let since = self.demand_since;
        since.is_some_and(|since| now.ms_since(since) >= known_after_ms)
    }
}

/// Whether all models are loaded from the weight store within [`SHORT_LOAD_MS`].
fn loads_are_short(engine: &EngineSpec) -> bool {
    let mut models = engine.models.values();
    models.all(|model| model.store_load_ms <= SHORT_LOAD_MS)
}

/// Whether an upstream holds a model that no caller requests.
fn holds_unrequested(
    upstreams: &[UpstreamState],
    demand: &BTreeMap<Arc<str>, DemandEstimate>,
) -> bool {
    let mut held = upstreams.iter().flat_map(|upstream| &upstream.models);
    held.any(|placed| {
        let estimate = demand.get(&placed.model);
        !placed.unloading && !estimate.is_some_and(DemandEstimate::is_wanted)
    })
}
