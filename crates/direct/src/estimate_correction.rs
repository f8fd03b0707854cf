//! Correction of the expected time to the first event, learned from observed times.
//!
//! Selection adds up the prompts that an engine has not answered yet. That sum is too
//! high: a prompt counts in full until its first event, and other entries' prompts are
//! known up to 300 ms late. How much too high depends on the length of the queue and on
//! the priority, since engines prefill the most urgent prompts first.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::PRIORITY_LEVELS;

/// Upper bounds of the buckets of the expected time. Times above the last one share one
/// more bucket.
const BUCKET_BOUNDS_MS: [f64; 6] = [100.0, 200.0, 300.0, 500.0, 700.0, 1_000.0];

/// Number of buckets.
const BUCKETS: usize = BUCKET_BOUNDS_MS.len() + 1;

/// Bounds of a factor. Errors of the estimate stay within them; what lies further away
/// comes from a stalled engine, after which requests would be refused for nothing.
const MIN_FACTOR: f64 = 0.4;
const MAX_FACTOR: f64 = 1.5;

/// Relative size of the first step of a factor. Later steps shrink with the square root
/// of the number of observations.
const FIRST_STEP: f64 = 0.2;

/// Minimum relative size of a step. It lets a factor follow a change of the load within
/// some tens of observations.
const MIN_STEP: f64 = 0.05;

/// Learned correction of the expected time to the first event, by service, priority and
/// bucket of the expected time.
#[derive(Debug, Default)]
pub struct EstimateCorrections {
    by_service: BTreeMap<Arc<str>, [PriorityCorrection; PRIORITY_LEVELS]>,
}

/// The correction for requests of one priority.
#[derive(Debug, Clone, Copy, Default)]
struct PriorityCorrection {
    /// Follows all requests. Buckets start from it, as an entry that is one of many sees
    /// few requests of a bucket.
    common: MedianFactor,
    buckets: [Option<MedianFactor>; BUCKETS],
}

/// A factor that follows the median of observed / expected.
///
/// It is raised or lowered by the same relative step whatever the size of the error, so
/// a request that waits for seconds at a stalled engine counts like any other.
#[derive(Debug, Clone, Copy)]
struct MedianFactor {
    factor: f64,
    observations: u32,
}

impl Default for MedianFactor {
    fn default() -> Self {
        Self {
            factor: 1.0,
            observations: 0,
        }
    }
}

impl MedianFactor {
    fn learn(&mut self, ratio: f64) {
        self.observations = self.observations.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.observations).sqrt()).max(MIN_STEP);
        let change = if ratio > self.factor {
            1.0 + step
        } else {
            1.0 / (1.0 + step)
        };
        self.factor = (self.factor * change).clamp(MIN_FACTOR, MAX_FACTOR);
    }
}

impl PriorityCorrection {
    fn factor(&self, expected_ms: f64) -> f64 {
        let own = self.buckets[bucket(expected_ms)];
        own.unwrap_or(self.common).factor
    }

    fn learn(&mut self, expected_ms: f64, ratio: f64) {
        let start = MedianFactor {
            factor: self.common.factor,
            observations: 0,
        };
        self.buckets[bucket(expected_ms)]
            .get_or_insert(start)
            .learn(ratio);
        self.common.learn(ratio);
    }
}

impl EstimateCorrections {
    /// Creates an empty set, which corrects nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Factor by which an expected time to the first event is to be multiplied.
    pub fn factor(&self, service: &str, priority: u32, expected_ms: f64) -> f64 {
        let learned = self.by_service.get(service);
        learned.map_or(1.0, |levels| levels[level(priority)].factor(expected_ms))
    }

    /// Learns from a first event that came after `observed_ms` where `expected_ms`,
    /// before the correction, were expected. Expectations below a millisecond are
    /// ignored.
    pub fn observe(
        &mut self,
        service: &Arc<str>,
        priority: u32,
        expected_ms: f64,
        observed_ms: f64,
    ) {
        let ratio = observed_ms / expected_ms;
        if expected_ms >= 1.0 && ratio.is_finite() {
            let levels = self.by_service.entry(Arc::clone(service)).or_default();
            levels[level(priority)].learn(expected_ms, ratio);
        }
    }

    /// Removes services that the configuration no longer names.
    pub fn retain(&mut self, is_named: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| is_named(service));
    }
}

fn bucket(expected_ms: f64) -> usize {
    BUCKET_BOUNDS_MS.partition_point(|bound| *bound <= expected_ms)
}

fn level(priority: u32) -> usize {
    (priority as usize).min(PRIORITY_LEVELS - 1)
}
