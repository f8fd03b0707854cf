//! Demand for models, as entries see it and tell the giver of orders.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time constants of the smoothed demand. Demand moves to other models within
/// seconds, which the shorter one shows; what it leaves may come back, which the
/// longer one remembers.
const NEWEST_MS: f64 = 1_200.0;
const LASTING_MS: f64 = 5_000.0;

/// Engine time of one request, about, and the number of standard deviations by
/// which a few requests may exceed the demand behind them. What a handful of
/// requests shows is not worth a load that takes seconds.
const REQUEST_MS: f64 = 100.0;
const DEVIATIONS: f64 = 2.0;

/// Part of the rise over the lasting demand by which demand is expected to go on
/// rising until a load is done.
const TREND: f64 = 1.0;

/// Demand below which a model is forgotten, in work milliseconds a second.
const FORGET_BELOW: f64 = 0.05;

/// Lasting demand, in work milliseconds a second, above which a model counts as
/// wanted: less than one request in half a minute is below.
const WANTED_MS_PER_S: f64 = 1.0;

/// Prompt tokens and generated tokens that cost an engine one millisecond. A
/// generated token shares its step with all that run.
const PROMPT_TOKENS_PER_MS: f64 = 20.0;
const ANSWER_TOKENS_PER_MS: f64 = 12.0;

/// Demand for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Engine time that the requests of one second take, over the last second.
    pub newest_ms_per_s: f64,
    /// The same over some seconds.
    pub lasting_ms_per_s: f64,
    /// Requests that wait because no upstream holds the model.
    pub waiting: u32,
    /// Wait of the oldest of them.
    pub oldest_wait_ms: u64,
}

impl Load {
    /// Adds another entry's demand.
    pub fn add(&mut self, other: &Self) {
        self.newest_ms_per_s += other.newest_ms_per_s;
        self.lasting_ms_per_s += other.lasting_ms_per_s;
        self.waiting += other.waiting;
        self.oldest_wait_ms = self.oldest_wait_ms.max(other.oldest_wait_ms);
    }

    /// Whether requests ask for the model now.
    pub fn is_wanted(&self) -> bool {
        self.waiting > 0 || self.lasting_ms_per_s > WANTED_MS_PER_S
    }

    /// Demand to be expected when a load is done, as far as it is certain.
    pub fn expected_ms_per_s(&self) -> f64 {
        let rise = (self.newest_ms_per_s - self.lasting_ms_per_s).max(0.0);
        let variance = self.newest_ms_per_s * REQUEST_MS / (2.0 * NEWEST_MS / 1_000.0);
        let expected = self.newest_ms_per_s + rise * TREND;
        (expected - variance.sqrt() * DEVIATIONS).max(0.0)
    }

    /// Demand that a copy may still be kept for.
    pub const fn kept_ms_per_s(&self) -> f64 {
        self.newest_ms_per_s.max(self.lasting_ms_per_s)
    }
}

/// Demand that one entry sees.
#[derive(Debug, Default)]
pub struct Demand {
    models: BTreeMap<Arc<str>, Seen>,
    updated_at: Instant,
}

#[derive(Debug, Default)]
struct Seen {
    new_work_ms: f64,
    newest_ms_per_s: f64,
    lasting_ms_per_s: f64,
    waiting: Vec<Instant>,
}

impl Demand {
    /// No demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request for a model.
    pub fn arrived(
        &mut self,
        model: &Arc<str>,
        prompt_tokens: u64,
        answer_tokens: u64,
    ) {
        let work = prompt_tokens as f64 / PROMPT_TOKENS_PER_MS
            + answer_tokens as f64 / ANSWER_TOKENS_PER_MS;
        self.seen(model).new_work_ms += work;
    }

    /// A request begins to wait for a model.
    pub fn wait(&mut self, model: &Arc<str>, since: Instant) {
        self.seen(model).waiting.push(since);
    }

    /// A request that waited since `since` waits no more.
    pub fn wait_ended(&mut self, model: &Arc<str>, since: Instant) {
        let waiting = &mut self.seen(model).waiting;
        if let Some(index) = waiting.iter().position(|at| *at == since) {
            waiting.swap_remove(index);
        }
    }

    /// Smooths what came since the last call.
    pub fn update(&mut self, now: Instant) {
        let ms = now.ms_since(self.updated_at) as f64;
        self.updated_at = now;
        if ms <= 0.0 {
            return;
        }
        for seen in self.models.values_mut() {
            let rate = seen.new_work_ms * 1_000.0 / ms;
            smooth(&mut seen.newest_ms_per_s, rate, ms / NEWEST_MS);
            smooth(&mut seen.lasting_ms_per_s, rate, ms / LASTING_MS);
            seen.new_work_ms = 0.0;
        }
        self.models.retain(|_, seen| {
            seen.lasting_ms_per_s > FORGET_BELOW || !seen.waiting.is_empty()
        });
    }

    /// The demand for each model.
    pub fn loads(&self, now: Instant) -> impl Iterator<Item = (&Arc<str>, Load)> {
        self.models.iter().map(move |(model, seen)| {
            let oldest = seen.waiting.iter().min();
            let load = Load {
                newest_ms_per_s: seen.newest_ms_per_s,
                lasting_ms_per_s: seen.lasting_ms_per_s,
                waiting: u32::try_from(seen.waiting.len()).unwrap_or(u32::MAX),
                oldest_wait_ms: oldest.map_or(0, |at| now.ms_since(*at)),
            };
            (model, load)
        })
    }

    fn seen(&mut self, model: &Arc<str>) -> &mut Seen {
        self.models.entry(Arc::clone(model)).or_default()
    }
}

/// Moves a smoothed value towards the newest one over `part` of its time
/// constant.
fn smooth(value: &mut f64, newest: f64, part: f64) {
    let keep = (-part).exp();
    *value = *value * keep + newest * (1.0 - keep);
}
