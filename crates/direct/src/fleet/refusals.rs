//! Models that an upstream turns requests away from.
//!
//! Answers the load that meets an upstream which lists a model and takes no request
//! for it, as its batch is full or the model is being unloaded. Refusing costs no
//! time, so its queue is always the shortest and every request goes there first.

use base::prelude::*;
use std::sync::Arc;

/// Pause after the first refusal: a full batch has a place again as soon as one of
/// its requests ends.
const FIRST_PAUSE_MS: u64 = 50;

/// Longest pause. It bounds how long a model that is taken again goes unnoticed.
const MAX_PAUSE_MS: u64 = 2_400;

/// One model whose requests are refused.
#[derive(Debug)]
struct RefusedModel {
    model: Arc<str>,
    /// Refusals since the last request that was taken.
    refusals: u32,
    until: Instant,
}

/// Models that one upstream turns requests away from.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    models: Vec<RefusedModel>,
}

impl Refusals {
    /// A request for a model was refused: none is sent for a while, longer each
    /// time.
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

    /// A request for a model was taken.
    pub(super) fn clear(&mut self, model: &str) {
        self.models.retain(|known| *known.model != *model);
    }

    /// Whether requests for a model are better not sent now.
    pub(super) fn is_paused(&self, now: Instant, model: &str) -> bool {
        let mut models = self.models.iter();
        models.any(|known| *known.model == *model && now < known.until)
    }
}

/// The pause after a refusal that came behind so many others.
fn pause_ms(refusals_before: u32) -> u64 {
    let doubled_ms = FIRST_PAUSE_MS
        .checked_shl(refusals_before)
        .unwrap_or(MAX_PAUSE_MS);
    doubled_ms.clamp(FIRST_PAUSE_MS, MAX_PAUSE_MS)
}
