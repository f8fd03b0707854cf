//! How fast each model reads prompts, learned from first answers.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Weight of the newest first answer.
const NEWEST: f64 = 0.1;

/// Bounds of what is learned; what lies outside is a queue or an answer that
/// came from elsewhere.
const SLOWEST: f64 = 1.5;
const FASTEST: f64 = 0.08;

/// Time of a first answer that no reading of prompts explains.
const FIXED_MS: f64 = 15.0;

/// Time that reading must take at the common pace for its answer to tell
/// anything.
const TELLING_MS: f64 = 20.0;

/// The pace of each model, as a factor on the time that reading takes.
///
/// Models of one service differ in it by up to eight times, and nothing says so.
/// A fast model's requests would be taken for a long queue: others would avoid
/// its upstreams, and its own be refused as too late.
#[derive(Debug, Default)]
pub struct Paces {
    models: BTreeMap<Arc<str>, f64>,
}

impl Paces {
    /// All models at the common pace.
    pub fn new() -> Self {
        Self::default()
    }

    /// The factor of a model.
    pub fn of(&self, model: &str) -> f64 {
        self.models.get(model).copied().unwrap_or(1.0)
    }

    /// A first answer came after `took_ms` where reading alone takes
    /// `reading_ms` at the common pace, and nothing was waiting before it.
    pub fn observe(&mut self, model: &Arc<str>, reading_ms: f64, took_ms: f64) {
        if reading_ms < TELLING_MS {
            return;
        }
        let factor = (took_ms - FIXED_MS) / reading_ms;
        let pace = self.models.entry(Arc::clone(model)).or_insert(1.0);
        *pace += (factor.clamp(FASTEST, SLOWEST) - *pace) * NEWEST;
    }
}
