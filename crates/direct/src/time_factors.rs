//! Prefill speed of each model, learned from first answers.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of the newest first answer.
const NEWEST_WEIGHT: f64 = 0.1;

/// Upper and lower bound of a learned factor. Values outside come from a queue or from
/// an answer that wasn't computed by the engine.
const MAX_FACTOR: f64 = 1.5;
const MIN_FACTOR: f64 = 0.08;

/// Part of the time to the first answer that isn't prefill.
const FIXED_OVERHEAD_MS: f64 = 15.0;

/// Minimum prefill time, at a time factor of 1, for an answer to be used.
const MIN_PREFILL_MS: f64 = 20.0;

/// Time factor of each model, relative to a common prefill speed.
///
/// The models of one service differ by a factor of up to eight, and nothing declares
/// it. The requests of a fast model would look like a long queue: other requests would
/// avoid its upstreams, and its own would be refused as too late.
///
/// With many entries, one entry gets few answers of each model, so a model starts from
/// the factor of its service, which every answer updates. With a fixed initial value,
/// on engines that were twice as fast, each entry refused the longest prompts of a
/// model until it had learned that model's factor by itself.
#[derive(Debug, Default)]
pub struct ModelTimeFactors {
    by_service: BTreeMap<Arc<str>, ServiceFactors>,
}

#[derive(Debug, Default)]
struct ServiceFactors {
    common: LearnedFactor,
    by_model: BTreeMap<Arc<str>, LearnedFactor>,
}

#[derive(Debug, Clone, Copy)]
struct LearnedFactor {
    factor: f64,
    /// Number of answers that the factor was learned from.
    answers: u32,
}

impl Default for LearnedFactor {
    fn default() -> Self {
        Self::from(1.0)
    }
}

impl LearnedFactor {
    const fn from(factor: f64) -> Self {
        Self { factor, answers: 0 }
    }

    /// Updates the factor. The initial value counts as one answer, so the first answers
    /// have a large weight.
    fn learn(&mut self, factor: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.answers.saturating_add(1)));
        self.factor += (factor - self.factor) * weight;
    }
}

impl ModelTimeFactors {
    /// Creates an empty set, in which every model has a factor of 1.
    pub fn new() -> Self {
        Self::default()
    }

    /// Factor of a model, or of its service if the model has had no answer.
    pub fn factor(&self, service: &str, model: &str) -> f64 {
        let Some(service) = self.by_service.get(service) else {
            return 1.0;
        };
        let model_factor = service.by_model.get(model);
        model_factor.unwrap_or(&service.common).factor
    }

    /// Learns from a first answer that came after `took_ms`, where prefill takes
    /// `prefill_ms` at a time factor of 1 and no other prompt was waiting.
    pub fn observe(
        &mut self,
        service: &Arc<str>,
        model: &Arc<str>,
        prefill_ms: f64,
        took_ms: f64,
    ) {
        if prefill_ms < MIN_PREFILL_MS {
            return;
        }
        let factor =
            ((took_ms - FIXED_OVERHEAD_MS) / prefill_ms).clamp(MIN_FACTOR, MAX_FACTOR);
        let service = self.by_service.entry(Arc::clone(service)).or_default();
        let start = LearnedFactor::from(service.common.factor);
        let model_factor = service.by_model.entry(Arc::clone(model)).or_insert(start);
        model_factor.learn(factor);
        service.common.learn(factor);
    }
}
