//! What demand may come to be while a load is under way.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::Load;

/// Weight of the outlook in which demand has moved on.
const MOVED_ON: f64 = 0.25;

/// Mean load of upstreams below which they have time to spare.
const SPARE_BELOW: f64 = 0.4;

/// Part of the busiest model's demand above which a model counts as one of the
/// busy ones.
const BUSY_PART: f64 = 0.12;

/// Least and most busy models for which demand is expected to move on among
/// them. With fewer there is nobody to move on to; more are a demand that is
/// spread over all.
const BUSY_MIN: usize = 4;
const BUSY_MAX: usize = 9;

/// One way in which demand may go on, with its weight.
#[derive(Debug)]
pub(crate) struct Outlook {
    pub(crate) weight: f64,
    /// Demand by model, as parts of one upstream's time.
    expected: HashMap<Arc<str>, f64>,
    /// Demand that a copy may still be kept for.
    kept: HashMap<Arc<str>, f64>,
}

impl Outlook {
    /// Demand for a model.
    pub(crate) fn expected_of(&self, model: &str) -> f64 {
        self.expected.get(model).copied().unwrap_or(0.0)
    }

    /// Demand for a model that a copy may still be kept for.
    pub(crate) fn kept_of(&self, model: &str) -> f64 {
        self.kept.get(model).copied().unwrap_or(0.0)
    }
}

/// The ways in which demand may go on: as it is, and moved on, where the busiest
/// models have fallen silent and those behind them have taken their places.
///
/// A load takes as long as demand needs to move. Copies made only for the demand
/// of now are ready when it is over; copies that serve the next busiest as well
/// are there when it comes.
///
/// Where upstreams have no time to spare, what comes later does not count.
pub(crate) fn outlooks(loads: &BTreeMap<Arc<str>, Load>, spots: usize) -> Vec<Outlook> {
    let part = |ms: f64| ms / 1_000.0;
    let expected: HashMap<Arc<str>, f64> = loads
        .iter()
        .map(|(model, load)| (Arc::clone(model), part(load.expected_ms_per_s())))
        .collect();
    let kept: HashMap<Arc<str>, f64> = loads
        .iter()
        .map(|(model, load)| (Arc::clone(model), part(load.kept_ms_per_s())))
        .collect();
    let work: f64 = kept.values().sum();
    let spare = work < SPARE_BELOW * spots as f64;
    let moved = if spare { moved_on(&kept) } else { None };
    let mut outlooks = vec![Outlook {
        weight: 1.0,
        expected,
        kept,
    }];
    if let Some(moved) = moved {
        outlooks[0].weight -= MOVED_ON;
        outlooks.push(Outlook {
            weight: MOVED_ON,
            kept: moved.clone(),
            expected: moved,
        });
    }
    outlooks
}

fn moved_on(demand: &HashMap<Arc<str>, f64>) -> Option<HashMap<Arc<str>, f64>> {
    let mut ranked: Vec<(&Arc<str>, f64)> =
        demand.iter().map(|(model, work)| (model, *work)).collect();
    ranked.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(b.0)));
    let top = ranked.first()?.1;
    let busy = ranked
        .iter()
        .take_while(|(_, work)| *work > top * BUSY_PART)
        .count();
    if !(BUSY_MIN..=BUSY_MAX).contains(&busy) {
        return None;
    }
    let step = busy / 2;
    let mut moved = demand.clone();
    for (rank, (model, _)) in ranked.iter().take(busy).enumerate() {
        let work = rank.checked_sub(step).map_or(0.0, |from| ranked[from].1);
        moved.insert(Arc::clone(model), work);
    }
    Some(moved)
}
