//! How fast each model reads prompts, learned from first answers.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of the newest first answer.
const NEWEST_WEIGHT: f64 = 0.1;

/// Bounds of what is learned; what lies outside is a queue or an answer that
/// came from elsewhere.
const MAX_FACTOR: f64 = 1.5;
const MIN_FACTOR: f64 = 0.08;

/// Time of a first answer that no reading of prompts explains.
const FIXED_OVERHEAD_MS: f64 = 15.0;

/// Time that reading must take at the common pace for its answer to tell
/// anything.
const MIN_PREFILL_MS: f64 = 20.0;

/// The pace of each model, as a factor on the time that reading takes.
///
/// Models of one service differ in it by up to eight times, and nothing says so.
/// A fast model's requests would be taken for a long queue: others would avoid
/// its upstreams, and its own be refused as too late.
///
/// One of many entries sees few answers of each model, so a model starts from the
/// pace of its service, which every answer teaches. Started from a fixed figure
/// on engines twice as fast, each entry refused the longest prompts of a model
/// until it had learned that model by itself.
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
    /// Answers that taught it.
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

    /// What it starts from counts as one answer, so the first ones move it far.
    fn learn(&mut self, factor: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.answers.saturating_add(1)));
        self.factor += (factor - self.factor) * weight;
    }
}

impl ModelTimeFactors {
    /// All models at the common pace.
    pub fn new() -> Self {
        Self::default()
    }

    /// The factor of a model; of its service where no answer of the model came.
    pub fn factor(&self, service: &str, model: &str) -> f64 {
        let Some(service) = self.by_service.get(service) else {
            return 1.0;
        };
        let own = service.by_model.get(model);
        own.unwrap_or(&service.common).factor
    }

    /// A first answer came after `took_ms` where reading alone takes
    /// `prefill_ms` at the common pace, and nothing was waiting before it.
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
        let own = service.by_model.entry(Arc::clone(model)).or_insert(start);
        own.learn(factor);
        service.common.learn(factor);
    }
}
