//! What demand may come to be while a load is under way.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::{DemandEstimate, EngineSpec};

/// Weight of the outlook in which demand has moved on.
const SHIFTED_WEIGHT: f64 = 0.4;

/// Mean load of upstreams below which they have time to spare.
const SPARE_CAPACITY_BELOW: f64 = 0.4;

/// Time of a load above which demand has moved on before one ends that began with
/// the change.
const LONG_LOAD_MS: u64 = 5_000;

/// Part of the busiest model's demand above which a model counts as one of the
/// busy ones.
const BUSY_SHARE: f64 = 0.12;

/// Least and most busy models for which demand is expected to move on among
/// them. With fewer there is nobody to move on to; more are a demand that is
/// spread over all.
const BUSY_MIN: usize = 2;
const BUSY_MAX: usize = 9;

/// One way in which demand may go on, with its weight.
#[derive(Debug)]
pub(crate) struct DemandForecast {
    pub(crate) weight: f64,
    /// Demand by model, as parts of one upstream's time.
    expected: HashMap<Arc<str>, f64>,
    /// Demand that a copy may still be kept for.
    retained: HashMap<Arc<str>, f64>,
}

impl DemandForecast {
    /// Demand for a model.
    pub(crate) fn expected_of(&self, model: &str) -> f64 {
        self.expected.get(model).copied().unwrap_or(0.0)
    }

    /// Demand for a model that a copy may still be kept for.
    pub(crate) fn retained_of(&self, model: &str) -> f64 {
        self.retained.get(model).copied().unwrap_or(0.0)
    }
}

/// The ways in which demand may go on: as it is, and moved on, where the busiest
/// models have fallen silent and those behind them have taken their places.
///
/// A load takes as long as demand needs to move. Copies made only for the demand
/// of now are ready when it is over; copies that serve the next busiest as well
/// are there when it comes.
///
/// Where upstreams have no time to spare, what comes later does not count, unless
/// loads take so long that all who ask for it meanwhile would be too late.
pub(crate) fn forecasts(
    engine: &EngineSpec,
    loads: &BTreeMap<Arc<str>, DemandEstimate>,
    upstreams: usize,
    step: Option<usize>,
) -> Vec<DemandForecast> {
    let part = |ms: f64| ms / 1_000.0;
    let expected: HashMap<Arc<str>, f64> = loads
        .iter()
        .map(|(model, load)| (Arc::clone(model), part(load.expected_ms_per_s())))
        .collect();
    let kept: HashMap<Arc<str>, f64> = loads
        .iter()
        .map(|(model, load)| (Arc::clone(model), part(load.retention_ms_per_s())))
        .collect();
    let work: f64 = kept.values().sum();
    let spare = work < SPARE_CAPACITY_BELOW * upstreams as f64;
    let moved = if spare || loads_are_long(engine) {
        shifted_demand(&kept, step)
    } else {
        Vec::new()
    };
    let now = DemandForecast {
        weight: if moved.is_empty() {
            1.0
        } else {
            1.0 - SHIFTED_WEIGHT
        },
        expected,
        retained: kept,
    };
    let weight = SHIFTED_WEIGHT / moved.len().max(1) as f64;
    let moved = moved.into_iter().map(|moved| DemandForecast {
        weight,
        retained: moved.clone(),
        expected: moved,
    });
    std::iter::once(now).chain(moved).collect()
}

fn loads_are_long(engine: &EngineSpec) -> bool {
    let specs = engine.models.values();
    let longest_ms = specs.map(|spec| spec.store_load_ms).max();
    longest_ms.is_some_and(|longest_ms| longest_ms >= LONG_LOAD_MS)
}

/// Demand moved on by as many places as it did last. Where that was not seen yet, by
/// one place and by half of the busy models.
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
    let moved = steps.into_iter().map(|step| {
        let mut moved = demand.clone();
        for (rank, (model, _)) in ranked.iter().take(busy).enumerate() {
            let work = rank.checked_sub(step).map_or(0.0, |from| ranked[from].1);
            moved.insert(Arc::clone(model), work);
        }
        moved
    });
    moved.collect()
}
