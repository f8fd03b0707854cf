//! Forecasts of how demand develops while a load is in progress.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::demand::urgency;
use crate::{CapacityPressure, DemandEstimate, EngineSpec};

/// Weight of the forecasts in which demand has shifted.
const SHIFTED_WEIGHT: f64 = 0.4;

/// Mean upstream load below which upstreams have spare capacity.
const SPARE_CAPACITY_BELOW: f64 = 0.4;

/// Load duration from which on demand has shifted again before a load that was started
/// at a shift finishes.
const LONG_LOAD_MS: u64 = 5_000;

/// Share of the busiest model's demand above which a model counts as busy.
const BUSY_SHARE: f64 = 0.12;

/// Range of the number of busy models in which demand is expected to shift among them.
/// With fewer models there is none to shift to; more mean that demand is spread over
/// all models.
const BUSY_MIN: usize = 2;
const BUSY_MAX: usize = 9;

/// Share of the refused requests that were refused before: a caller that comes back once
/// is counted twice. Without it, refusals themselves look like rising demand.
const RETRIED_SHARE: f64 = 0.5;

/// Expected further rise of demand that is refused, as a share of its rise above the
/// sustained demand. The recent demand follows a shift with a delay: with less, copies
/// are made for the demand of a moment ago, and with more for demand that doesn't come.
const REFUSED_TREND: f64 = 2.0;

/// Share of the sustained demand for which copies are retained where copies are made in
/// time. With the whole of it, copies keep their places for seconds after demand has left
/// for other models; with none, they lose them in a short pause.
const TIMELY_RETAINED_SHARE: f64 = 0.3;

/// One possible development of demand, with its weight.
#[derive(Debug)]
pub(crate) struct DemandForecast {
    pub(crate) weight: f64,
    /// Expected demand by model, as a share of one upstream's time.
    expected: HashMap<Arc<str>, f64>,
    /// Demand by model for which a copy is retained, as a share of one upstream's time.
    retained: HashMap<Arc<str>, f64>,
}

impl DemandForecast {
    /// Expected demand for a model.
    pub(crate) fn expected_of(&self, model: &str) -> f64 {
        self.expected.get(model).copied().unwrap_or(0.0)
    }

    /// Demand for a model for which a copy is retained.
    pub(crate) fn retained_of(&self, model: &str) -> f64 {
        self.retained.get(model).copied().unwrap_or(0.0)
    }
}

/// Returns the possible developments of demand: unchanged, and shifted so that the
/// busiest models have lost their demand and the next ones in the ranking have taken
/// their ranks.
///
/// A load takes about as long as demand takes to shift. Copies made only for the
/// current demand are ready when it is over; copies that also serve the next busiest
/// models are ready when their demand arrives.
///
/// `step` is the number of ranks by which demand shifted last, if a shift was observed.
///
/// Without spare capacity, shifted demand is ignored, unless loads take so long that
/// all requests that ask for a model while it is loading would be too late.
pub(crate) fn forecasts(
    engine: &EngineSpec,
    demand: &BTreeMap<Arc<str>, DemandEstimate>,
    upstreams: usize,
    step: Option<usize>,
) -> Vec<DemandForecast> {
    let share = |ms: f64| ms / 1_000.0;
    let expected: HashMap<Arc<str>, f64> = demand
        .iter()
        .map(|(model, estimate)| {
            (Arc::clone(model), share(estimate.expected_ms_per_s()))
        })
        .collect();
    let retained: HashMap<Arc<str>, f64> = demand
        .iter()
        .map(|(model, estimate)| {
            (Arc::clone(model), share(estimate.retention_ms_per_s()))
        })
        .collect();
    let total: f64 = retained.values().sum();
    let has_spare_capacity = total < SPARE_CAPACITY_BELOW * upstreams as f64;
    let shifted = if has_spare_capacity || loads_are_long(engine) {
        shifted_demand(&retained, step)
    } else {
        Vec::new()
    };
    let current = DemandForecast {
        weight: if shifted.is_empty() {
            1.0
        } else {
            1.0 - SHIFTED_WEIGHT
        },
        expected,
        retained,
    };
    let weight = SHIFTED_WEIGHT / shifted.len().max(1) as f64;
    let shifted = shifted.into_iter().map(|shifted| DemandForecast {
        weight,
        retained: shifted.clone(),
        expected: shifted,
    });
    std::iter::once(current).chain(shifted).collect()
}

/// Returns the development of demand for which copies are made in time: unchanged.
///
/// Demand of refused requests is certain, as they were counted while no upstream could
/// serve them, and it counts in full: refused patient callers show that the copies are
/// busy all the time. Copies of models whose demand has left are not kept for its
/// return, except for a share.
pub(crate) fn timely_forecast(
    demand: &BTreeMap<Arc<str>, DemandEstimate>,
    pressure: &CapacityPressure,
) -> DemandForecast {
    let mut expected = HashMap::with_capacity(demand.len());
    let mut retained = HashMap::with_capacity(demand.len());
    for (model, estimate) in demand {
        let pressure = pressure.models.get(model).copied().unwrap_or_default();
        let recent = estimate.recent_ms_per_s;
        let mut certain = estimate.expected_ms_per_s();
        if pressure.is_refused() {
            let refused = pressure.refused_ms_per_s.min(recent);
            let unique = recent - refused * RETRIED_SHARE;
            let rise = (unique - estimate.sustained_ms_per_s).max(0.0);
            certain =
                (unique + rise * REFUSED_TREND) / urgency(pressure.shortest_target_ms);
        }
        let sustained = estimate.sustained_ms_per_s * TIMELY_RETAINED_SHARE;
        expected.insert(Arc::clone(model), certain / 1_000.0);
        retained.insert(
            Arc::clone(model),
            recent.max(sustained).max(certain) / 1_000.0,
        );
    }
    DemandForecast {
        weight: 1.0,
        expected,
        retained,
    }
}

fn loads_are_long(engine: &EngineSpec) -> bool {
    let specs = engine.models.values();
    let longest_ms = specs.map(|spec| spec.store_load_ms).max();
    longest_ms.is_some_and(|longest_ms| longest_ms >= LONG_LOAD_MS)
}

/// Shifts demand by as many ranks as at the last observed shift. If none was observed
/// yet, returns a shift by one rank and a shift by half of the busy models.
fn shifted_demand(
    demand: &HashMap<Arc<str>, f64>,
    step: Option<usize>,
) -> Vec<HashMap<Arc<str>, f64>> {
    let mut ranked: Vec<(&Arc<str>, f64)> =
        demand.iter().map(|(model, work)| (model, *work)).collect();
    ranked.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(b.0)));
    let top = ranked.first().map_or(0.0, |(_, work)| *work);
    let busy = ranked
        .iter()
        .take_while(|(_, work)| *work > top * BUSY_SHARE)
        .count();
    if !(BUSY_MIN..=BUSY_MAX).contains(&busy) {
        return Vec::new();
    }
    let mut steps = step.map_or(vec![1, busy / 2], |step| vec![step.min(busy)]);
    steps.dedup();
    let shifted = steps.into_iter().map(|step| {
        let mut shifted = demand.clone();
        for (rank, (model, _)) in ranked.iter().take(busy).enumerate() {
            let work = rank.checked_sub(step).map_or(0.0, |from| ranked[from].1);
            shifted.insert(Arc::clone(model), work);
        }
        shifted
    });
    shifted.collect()
}
