//! Models that have demand and no holder.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{DemandEstimate, EngineSpec};

/// Time for which a model with demand may go without a holder before it replaces
/// another model with demand. When demand shifts, memory becomes free within seconds.
/// With 2 s, models that were still in demand were evicted, which cost two percent of
/// the value earned at high load.
pub(crate) const OVERDUE_AFTER_MS: u64 = 6_000;

/// Guaranteed residence of a model, in multiples of its load time from disk. With three
/// load times, its memory serves requests for three quarters of the time.
const RESIDENCE_LOADS: u64 = 3;

/// The time since when each model has had demand and no holder.
///
/// If more models have demand than fit, the last copies of models with demand would
/// otherwise stay forever and a model that came later would never be served. Instead,
/// the models take turns.
#[derive(Debug, Default)]
pub(crate) struct UnservedModels {
    since: BTreeMap<Arc<str>, Instant>,
}

impl UnservedModels {
    /// Records which models have demand and no holder now.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        demand: &BTreeMap<Arc<str>, DemandEstimate>,
        is_held: impl Fn(&str) -> bool,
    ) {
        self.since.retain(|model, _| demand.contains_key(model));
        for (model, estimate) in demand {
            if is_held(model) {
                self.since.remove(model);
            } else if estimate.is_wanted() {
                self.since.entry(Arc::clone(model)).or_insert(now);
            }
        }
    }

    /// Time for which a model has gone unserved beyond `after_ms`, or zero.
    pub(crate) fn overdue_ms(&self, now: Instant, model: &str, after_ms: u64) -> u64 {
        let since = self.since.get(model);
        let ms = since.map_or(0, |since| now.ms_since(*since));
        ms.saturating_sub(after_ms)
    }
}

/// Time for which a loaded model with demand stays before it makes room for an overdue
/// one.
pub(crate) fn guaranteed_residence_ms(engine: &EngineSpec, model: &str) -> u64 {
    let spec = engine.models.get(model);
    spec.map_or(0, |spec| spec.disk_load_ms * RESIDENCE_LOADS)
}
