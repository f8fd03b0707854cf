//! Models that are asked for and that nothing holds.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{DemandEstimate, EngineSpec};

/// Time for which a wanted model may go without a holder before it takes its turn
/// in the place of another wanted one. Demand that has moved on leaves places
/// within seconds; taken after 2 s already, the places of models that were still
/// asked for cost more than they brought: two in a hundred of what high load earns.
const OVERDUE_AFTER_MS: u64 = 6_000;

/// Length of a turn, in times that the displaced model takes to come back from
/// its copy: three quarters of the time a place then serves.
const RESIDENCE_LOADS: u64 = 3;

/// Since when models are wanted without a holder.
///
/// Where more models are asked for than there are places, last copies of wanted
/// models would stay for ever, and whoever came late would never be served: the
/// models take turns instead.
#[derive(Debug, Default)]
pub(crate) struct UnservedModels {
    since: BTreeMap<Arc<str>, Instant>,
}

impl UnservedModels {
    /// Looks at what is wanted and held now.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        loads: &BTreeMap<Arc<str>, DemandEstimate>,
        is_held: impl Fn(&str) -> bool,
    ) {
        self.since.retain(|model, _| loads.contains_key(model));
        for (model, load) in loads {
            if is_held(model) {
                self.since.remove(model);
            } else if load.is_wanted() {
                self.since.entry(Arc::clone(model)).or_insert(now);
            }
        }
    }

    /// Time for which a model has gone unserved beyond the patience; zero before.
    pub(crate) fn overdue_ms(&self, now: Instant, model: &str) -> u64 {
        let since = self.since.get(model);
        let ms = since.map_or(0, |since| now.ms_since(*since));
        ms.saturating_sub(OVERDUE_AFTER_MS)
    }
}

/// Time for which a model stays where it was loaded before it makes room for one
/// that is overdue.
pub(crate) fn guaranteed_residence_ms(engine: &EngineSpec, model: &str) -> u64 {
    let spec = engine.models.get(model);
    spec.map_or(0, |spec| spec.disk_load_ms * RESIDENCE_LOADS)
}
