//! Models for which an upstream refuses requests.
//!
//! An upstream may list a model and still refuse requests for it, because its batch is
//! full or the model is being unloaded. Refusals take no time, so the upstream would
//! seem to have the shortest queue and every request would be sent there first.

use base::prelude::*;
use std::sync::Arc;

/// Pause after the first refusal. A full batch has a free slot as soon as one of its
/// requests ends.
const FIRST_PAUSE_MS: u64 = 50;

/// Maximum pause. It bounds the time until this entry notices that the upstream accepts
/// requests for the model again.
const MAX_PAUSE_MS: u64 = 2_400;

/// A model for which requests are refused.
#[derive(Debug)]
struct RefusedModel {
    model: Arc<str>,
    /// Number of refusals since the last accepted request.
    refusals: u32,
    until: Instant,
}

/// Models for which one upstream refuses requests.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    models: Vec<RefusedModel>,
}

impl Refusals {
    /// Records a refused request for a model. No further one is sent for a pause that
    /// grows with each refusal.
    pub(super) fn record(&mut self, now: Instant, model: &Arc<str>) {
        let index = self.models.iter().position(|known| known.model == *model);
        let index = index.unwrap_or_else(|| {
            self.models.push(RefusedModel {
                model: Arc::clone(model),
                refusals: 0,
                until: now,
            });
            self.models.len() - 1
        });
        let known = &mut self.models[index];
        known.until = now.plus_ms(pause_ms(known.refusals));
        known.refusals = known.refusals.saturating_add(1);
    }

    /// Records an accepted request for a model.
    pub(super) fn clear(&mut self, model: &str) {
        self.models.retain(|known| *known.model != *model);
    }

    /// Whether requests for a model should not be sent now.
    pub(super) fn is_paused(&self, now: Instant, model: &str) -> bool {
        let mut models = self.models.iter();
        models.any(|known| *known.model == *model && now < known.until)
    }
}

/// Pause after a refusal that follows `refusals_before` others.
fn pause_ms(refusals_before: u32) -> u64 {
    let doubled_ms = FIRST_PAUSE_MS
        .checked_shl(refusals_before)
        .unwrap_or(MAX_PAUSE_MS);
    doubled_ms.clamp(FIRST_PAUSE_MS, MAX_PAUSE_MS)
}
