//! Demand for models, as each entry measures it and reports it to the coordinator.

use base::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::demand_pressure::{DemandPressure, PressureTracker};

/// Time constants of the smoothed demand. Demand shifts to other models within seconds,
/// which the shorter one shows. Demand that left a model may come back, which the
/// longer one remembers.
const RECENT_MS: f64 = 1_200.0;
const SUSTAINED_MS: f64 = 5_000.0;

/// Engine time of one request before any request was observed, and the number of
/// standard deviations by which the demand measured from few requests may exceed the
/// real one. A handful of requests doesn't justify a load that takes seconds.
const DEFAULT_REQUEST_MS: f64 = 100.0;
const STANDARD_DEVIATIONS: f64 = 2.0;

/// Weight of the newest request in the request statistics of a service.
const NEWEST_REQUEST_WEIGHT: f64 = 0.02;

/// Expected further rise of demand until a load finishes, as a share of the certain
/// rise above the sustained demand.
const TREND_FACTOR: f64 = 1.0;

/// Demand below which a model is forgotten, in milliseconds of engine time per second.
const FORGET_BELOW_MS_PER_S: f64 = 0.02;

/// Sustained demand above which a model counts as in demand, in milliseconds of engine
/// time per second. At this value the last copy of a model stays for 15 s after a short
/// request with a relaxed latency target and for 30 s after a long one.
const WANTED_MS_PER_S: f64 = 0.1;

/// Recent demand above which a model counts as requested, in milliseconds of engine time
/// per second. A model stays above it for 9 to 14 s after its last request.
const REQUESTED_MS_PER_S: f64 = 0.01;

/// Prompt tokens and generated tokens that take one millisecond of engine time at a
/// time factor of 1. A generated token shares its step with all running requests.
const PROMPT_TOKENS_PER_MS: f64 = 20.0;
const ANSWER_TOKENS_PER_MS: f64 = 12.0;

/// Target latency up to which a request counts fully as demand, and the minimum share
/// that any request counts. Requests with a relaxed target are served in time by one
/// copy that is nearly always busy; urgent ones need copies with spare capacity.
const URGENT_LATENCY_MS: f64 = 1_000.0;
const MIN_URGENCY: f64 = 0.2;

/// A request as input to the demand measurement.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens that the request is expected to generate.
    pub answer_tokens: u64,
    /// Time factor of the model's engines.
    pub time_factor: f64,
    /// Time within which the answer earns its full value.
    pub latency_target_ms: u64,
}

impl Arrival {
    /// Engine time of the request, in milliseconds, if `uncached_share` of the prompt
    /// has to be prefilled.
    fn work_ms(&self, uncached_share: f64) -> f64 {
        let prefill_ms =
            self.prompt_tokens as f64 * uncached_share / PROMPT_TOKENS_PER_MS;
        let answer_ms = self.answer_tokens as f64 / ANSWER_TOKENS_PER_MS;
        (prefill_ms + answer_ms) * self.time_factor
    }

    /// Share of the engine time that counts as demand.
    fn urgency(&self) -> f64 {
        urgency(self.latency_target_ms)
    }
}

/// Share of the engine time of requests with a latency target that counts as demand.
pub(crate) fn urgency(latency_target_ms: u64) -> f64 {
    let target_ms = latency_target_ms.max(1) as f64;
    (URGENT_LATENCY_MS / target_ms).clamp(MIN_URGENCY, 1.0)
}

/// Demand for one model.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DemandEstimate {
    /// Engine time, in milliseconds, of the requests that arrive per second, averaged
    /// over about the last second.
    pub recent_ms_per_s: f64,
    /// The same, averaged over several seconds.
    pub sustained_ms_per_s: f64,
    /// Number of requests that wait because no upstream holds the model.
    pub waiting: u32,
    /// Waiting time of the oldest such request.
    pub oldest_wait_ms: u64,
    /// Mean engine time of a request of the service, weighted by engine time; 0 if
    /// unknown.
    pub request_ms: f64,
}

impl DemandEstimate {
    /// Adds the demand that another entry measured.
    pub fn add(&mut self, other: &Self) {
        self.recent_ms_per_s += other.recent_ms_per_s;
        self.sustained_ms_per_s += other.sustained_ms_per_s;
        self.waiting += other.waiting;
        self.oldest_wait_ms = self.oldest_wait_ms.max(other.oldest_wait_ms);
        self.request_ms = self.request_ms.max(other.request_ms);
    }

    /// Whether there are enough requests for the model to count it as in demand.
    pub fn is_wanted(&self) -> bool {
        self.waiting > 0 || self.sustained_ms_per_s > WANTED_MS_PER_S
    }

    /// Whether the model was requested in the last 9 to 14 s, depending on its demand
    /// before.
    pub(crate) fn is_requested(&self) -> bool {
        self.waiting > 0 || self.recent_ms_per_s > REQUESTED_MS_PER_S
    }

    /// Demand that can be relied on when a load started now finishes.
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

    /// Demand for which an existing copy is retained.
    pub const fn retention_ms_per_s(&self) -> f64 {
        self.recent_ms_per_s.max(self.sustained_ms_per_s)
    }
}

/// Demand for the models of a service, as measured by one entry.
#[derive(Debug, Default)]
pub struct DemandTracker {
    models: BTreeMap<Arc<str>, ObservedModel>,
    request_stats: RequestStats,
    updated_at: Instant,
}

/// Statistics of the requests of a service.
#[derive(Debug)]
struct RequestStats {
    /// Share of prompt tokens that upstreams have to prefill.
    uncached_share: f64,
    /// Mean engine time and mean of its square.
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

    /// Mean engine time of a request, weighted by engine time.
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
    pressure: PressureTracker,
}

impl DemandTracker {
    /// Creates a tracker without any demand.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request for a model.
    ///
    /// It counts by its engine time, and less if its target latency is relaxed. Counted
    /// by its full prompt, a few requests for a rarely used model would look like a
    /// load that keeps an engine busy, and its copies would replace those of the models
    /// that most callers use.
    pub fn record_arrival(&mut self, model: &Arc<str>, arrival: &Arrival) {
        let work_ms =
            arrival.work_ms(self.request_stats.uncached_share) * arrival.urgency();
        self.request_stats.observe(work_ms);
        let observed = self.model_mut(model);
        observed.new_work_ms += work_ms;
        observed.pressure.record_arrival(arrival);
    }

    /// Records that a request for a model was refused for lack of capacity.
    pub fn record_refused(&mut self, model: &Arc<str>, arrival: &Arrival) {
        let work_ms =
            arrival.work_ms(self.request_stats.uncached_share) * arrival.urgency();
        self.model_mut(model).pressure.record_refused(work_ms);
    }

    /// Records that a request was sent to an upstream that has to prefill
    /// `prefill_tokens` of its prompt.
    pub fn record_sent(&mut self, prompt_tokens: u64, prefill_tokens: u64) {
        if prompt_tokens == 0 {
            return;
        }
        let share = (prefill_tokens as f64 / prompt_tokens as f64).min(1.0);
        self.request_stats.uncached_share +=
            (share - self.request_stats.uncached_share) * NEWEST_REQUEST_WEIGHT;
    }

    /// Records that a request starts to wait for a model.
    pub fn begin_wait(&mut self, model: &Arc<str>, since: Instant) {
        self.model_mut(model).waiting.push(since);
    }

    /// Records that a request that had waited since `since` no longer waits.
    pub fn end_wait(&mut self, model: &Arc<str>, since: Instant) {
        let waiting = &mut self.model_mut(model).waiting;
        if let Some(index) = waiting.iter().position(|at| *at == since) {
            waiting.swap_remove(index);
        }
    }

    /// Updates the smoothed demand with the requests since the last call.
    pub fn update(&mut self, now: Instant) {
        let ms = now.ms_since(self.updated_at) as f64;
        self.updated_at = now;
        if ms <= 0.0 {
            return;
        }
        for model in self.models.values_mut() {
            let rate = model.new_work_ms * 1_000.0 / ms;
            smooth(&mut model.recent_ms_per_s, rate, ms / RECENT_MS);
            smooth(&mut model.sustained_ms_per_s, rate, ms / SUSTAINED_MS);
            model.new_work_ms = 0.0;
            model.pressure.update(now, ms);
        }
        self.models.retain(|_, model| {
            model.sustained_ms_per_s > FORGET_BELOW_MS_PER_S
                || !model.waiting.is_empty()
        });
    }

    /// Current demand for each model.
    pub fn estimates(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Arc<str>, DemandEstimate)> {
        self.models.iter().map(move |(name, model)| {
            let oldest = model.waiting.iter().min();
            let estimate = DemandEstimate {
                recent_ms_per_s: model.recent_ms_per_s,
                sustained_ms_per_s: model.sustained_ms_per_s,
                waiting: u32::try_from(model.waiting.len()).unwrap_or(u32::MAX),
                oldest_wait_ms: oldest.map_or(0, |at| now.ms_since(*at)),
                request_ms: self.request_stats.request_ms(),
            };
            (name, estimate)
        })
    }

    /// What the callers of each model tolerate, and how much is refused.
    pub fn pressures(&self) -> impl Iterator<Item = (&Arc<str>, DemandPressure)> {
        let models = self.models.iter();
        models.map(|(name, model)| (name, model.pressure.pressure()))
    }

    fn model_mut(&mut self, model: &Arc<str>) -> &mut ObservedModel {
        self.models.entry(Arc::clone(model)).or_default()
    }
}

/// Moves a smoothed value towards the newest sample. `share` is the elapsed time as a
/// share of the time constant.
pub(crate) fn smooth(value: &mut f64, sample: f64, share: f64) {
    let keep = (-share).exp();
    *value = *value * keep + sample * (1.0 - keep);
}
