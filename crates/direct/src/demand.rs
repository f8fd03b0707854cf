//! Demand for models, as entries see it and tell the giver of orders.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time constants of the smoothed demand. Demand moves to other models within
/// seconds, which the shorter one shows; what it leaves may come back, which the
/// longer one remembers.
const RECENT_MS: f64 = 1_200.0;
const SUSTAINED_MS: f64 = 5_000.0;

/// Engine time of one request while none was seen, and the number of standard
/// deviations by which a few requests may exceed the demand behind them. What a handful
/// of requests shows is not worth a load that takes seconds.
const DEFAULT_REQUEST_MS: f64 = 100.0;
const STANDARD_DEVIATIONS: f64 = 2.0;

/// Weight of the newest request in what is learned of a service's requests.
const NEWEST_REQUEST_WEIGHT: f64 = 0.02;

/// Part of the certain rise over the lasting demand by which demand is expected to go on
/// rising until a load is done.
const TREND_FACTOR: f64 = 1.0;

/// Demand below which a model is forgotten, in work milliseconds a second.
const FORGET_BELOW_MS_PER_S: f64 = 0.02;

/// Lasting demand, in work milliseconds a second, above which a model counts as
/// wanted: its last copy stays for a quarter of a minute after a short request that
/// can wait, and for half a minute after a long one.
const WANTED_MS_PER_S: f64 = 0.1;

/// Prompt tokens and generated tokens that cost an engine one millisecond at the common
/// pace. A generated token shares its step with all that run.
const PROMPT_TOKENS_PER_MS: f64 = 20.0;
const ANSWER_TOKENS_PER_MS: f64 = 12.0;

/// Aim within which a request counts whole as demand, and the least part that any counts.
/// Callers who can wait are served in time by one copy that is nearly always busy; those
/// who can't need copies with time to spare.
const URGENT_LATENCY_MS: f64 = 1_000.0;
const MIN_URGENCY: f64 = 0.2;

/// A request as demand sees it.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Tokens that it is expected to generate.
    pub answer_tokens: u64,
    /// Factor on the time that its model's engines take.
    pub time_factor: f64,
    /// Time within which its answer earns its full worth.
    pub target_latency_ms: u64,
}

impl Arrival {
    /// Engine time, in milliseconds, if a part of the prompt has to be read.
    fn work_ms(&self, uncached_share: f64) -> f64 {
        let prefill_ms =
            self.prompt_tokens as f64 * uncached_share / PROMPT_TOKENS_PER_MS;
        let answer_ms = self.answer_tokens as f64 / ANSWER_TOKENS_PER_MS;
        (prefill_ms + answer_ms) * self.time_factor
    }

    /// Part of its work that counts as demand.
    fn urgency(&self) -> f64 {
        let target_ms = self.target_latency_ms.max(1) as f64;
        (URGENT_LATENCY_MS / target_ms).clamp(MIN_URGENCY, 1.0)
    }
}

/// Demand for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandEstimate {
    /// Engine time that the requests of one second take, over the last second.
    pub recent_ms_per_s: f64,
    /// The same over some seconds.
    pub sustained_ms_per_s: f64,
    /// Requests that wait because no upstream holds the model.
    pub waiting: u32,
    /// Wait of the oldest of them.
    pub oldest_wait_ms: u64,
    /// Engine time of one request of the service, the long ones counted by their length;
    /// 0 if it is not known.
    pub request_ms: f64,
}

impl DemandEstimate {
    /// Adds another entry's demand.
    pub fn add(&mut self, other: &Self) {
        self.recent_ms_per_s += other.recent_ms_per_s;
        self.sustained_ms_per_s += other.sustained_ms_per_s;
        self.waiting += other.waiting;
        self.oldest_wait_ms = self.oldest_wait_ms.max(other.oldest_wait_ms);
        self.request_ms = self.request_ms.max(other.request_ms);
    }

    /// Whether requests ask for the model now.
    pub fn is_wanted(&self) -> bool {
        self.waiting > 0 || self.sustained_ms_per_s > WANTED_MS_PER_S
    }

    /// Demand to be expected when a load is done, as far as it is certain.
    pub fn expected_ms_per_s(&self) -> f64 {
        let known = self.request_ms > 0.0;
        let request_ms = if known {
            self.request_ms
        } else {
            DEFAULT_REQUEST_MS
        };
        let variance = self.recent_ms_per_s * request_ms / (2.0 * RECENT_MS / 1_000.0);
        let certain =
            (self.recent_ms_per_s - variance.sqrt() * STANDARD_DEVIATIONS).max(0.0);
        certain + (certain - self.sustained_ms_per_s).max(0.0) * TREND_FACTOR
    }

    /// Demand that a copy may still be kept for.
    pub const fn retention_ms_per_s(&self) -> f64 {
        self.recent_ms_per_s.max(self.sustained_ms_per_s)
    }
}

/// Demand that one entry sees for the models of a service.
#[derive(Debug, Default)]
pub struct DemandTracker {
    models: BTreeMap<Arc<str>, ObservedModel>,
    request_stats: RequestStats,
    updated_at: Instant,
}

/// What the requests of a service take of an engine, as far as was seen.
#[derive(Debug)]
struct RequestStats {
    /// Part of prompts that upstreams have to read.
    uncached_share: f64,
    /// Mean engine time, and mean of its square.
    mean_ms: f64,
    mean_square_ms2: f64,
}

impl Default for RequestStats {
    fn default() -> Self {
        Self {
            uncached_share: 1.0,
            mean_ms: 0.0,
            mean_square_ms2: 0.0,
        }
    }
}

impl RequestStats {
    fn observe(&mut self, work_ms: f64) {
        self.mean_ms += (work_ms - self.mean_ms) * NEWEST_REQUEST_WEIGHT;
        let square = work_ms * work_ms;
        self.mean_square_ms2 += (square - self.mean_square_ms2) * NEWEST_REQUEST_WEIGHT;
    }

    /// Engine time of a request, the long ones counted by their length.
    fn request_ms(&self) -> f64 {
        if self.mean_ms > 0.0 {
            self.mean_square_ms2 / self.mean_ms
        } else {
            0.0
        }
    }
}

#[derive(Debug, Default)]
struct ObservedModel {
    new_work_ms: f64,
    recent_ms_per_s: f64,
    sustained_ms_per_s: f64,
    waiting: Vec<Instant>,
}

impl DemandTracker {
    /// No demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request for a model.
    ///
    /// It counts as what it takes of an engine, and less if its caller can wait. Counted
    /// by its whole prompt, a few requests for a rare model would look like a load that
    /// keeps an engine busy, and bring it copies in the place of the models that most
    /// callers ask for.
    pub fn record_arrival(&mut self, model: &Arc<str>, arrival: &Arrival) {
        let work_ms =
            arrival.work_ms(self.request_stats.uncached_share) * arrival.urgency();
        self.request_stats.observe(work_ms);
        self.model_mut(model).new_work_ms += work_ms;
    }

    /// A request was sent to an upstream that has to read a part of its prompt.
    pub fn record_sent(&mut self, prompt_tokens: u64, uncached_tokens: u64) {
        if prompt_tokens == 0 {
            return;
        }
        let part = (uncached_tokens as f64 / prompt_tokens as f64).min(1.0);
        self.request_stats.uncached_share +=
            (part - self.request_stats.uncached_share) * NEWEST_REQUEST_WEIGHT;
    }

    /// A request begins to wait for a model.
    pub fn begin_wait(&mut self, model: &Arc<str>, since: Instant) {
        self.model_mut(model).waiting.push(since);
    }

    /// A request that waited since `since` waits no more.
    pub fn end_wait(&mut self, model: &Arc<str>, since: Instant) {
        let waiting = &mut self.model_mut(model).waiting;
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
            smooth(&mut seen.recent_ms_per_s, rate, ms / RECENT_MS);
            smooth(&mut seen.sustained_ms_per_s, rate, ms / SUSTAINED_MS);
            seen.new_work_ms = 0.0;
        }
        self.models.retain(|_, seen| {
            seen.sustained_ms_per_s > FORGET_BELOW_MS_PER_S || !seen.waiting.is_empty()
        });
    }

    /// The demand for each model.
    pub fn estimates(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Arc<str>, DemandEstimate)> {
        self.models.iter().map(move |(model, seen)| {
            let oldest = seen.waiting.iter().min();
            let load = DemandEstimate {
                recent_ms_per_s: seen.recent_ms_per_s,
                sustained_ms_per_s: seen.sustained_ms_per_s,
                waiting: u32::try_from(seen.waiting.len()).unwrap_or(u32::MAX),
                oldest_wait_ms: oldest.map_or(0, |at| now.ms_since(*at)),
                request_ms: self.request_stats.request_ms(),
            };
            (model, load)
        })
    }

    fn model_mut(&mut self, model: &Arc<str>) -> &mut ObservedModel {
        self.models.entry(Arc::clone(model)).or_default()
    }
}

/// Moves a smoothed value towards the newest one over `part` of its time
/// constant.
fn smooth(value: &mut f64, newest: f64, part: f64) {
    let keep = (-part).exp();
    *value = *value * keep + newest * (1.0 - keep);
}
