//! Statistics per model and service: arrival rate, service time, value, and the
//! retry budget.

use base::prelude::*;
use route::RetryBudget;
use std::collections::BTreeMap;

use super::resolve::Resource;

/// Time constant of the exponentially decaying arrival rate.
const RATE_WINDOW_S: f64 = 20.0;

/// Weight of a new sample in the moving averages of service time and value.
const MEAN_WEIGHT: f64 = 0.1;

/// Limit of models and services with statistics. Names come from configurations,
/// and those removed from the configuration would otherwise accumulate.
const RESOURCES_MAX: usize = 16_384;

#[derive(Debug)]
struct ResourceStats {
    rate_per_s: f64,
    /// When `rate_per_s` was last updated.
    rate_at: Instant,
    service_time_ms: Option<f64>,
    value: Option<f64>,
    budget: RetryBudget,
}

/// Current statistics of one model or service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WorkloadSnapshot {
    /// Smoothed arrivals per second at this entry.
    pub(crate) rate_per_s: f64,
    /// Mean service time, if one was measured.
    pub(crate) service_time_ms: Option<u32>,
    /// Mean value of a request, as configured in its profile.
    pub(crate) value: f64,
}

/// Statistics by model and service.
#[derive(Debug)]
pub(crate) struct Workload {
    resources: BTreeMap<Resource, ResourceStats>,
}

impl Workload {
    pub(crate) const fn new() -> Self {
        Self {
            resources: BTreeMap::new(),
        }
    }

    /// Records an arrival.
    pub(crate) fn record_arrival(
        &mut self,
        now: Instant,
        resource: &Resource,
        value: f64,
        retry_percent: u32,
    ) {
        if let Some(stats) = self.stats_mut(now, resource, retry_percent) {
            stats.rate_per_s = stats.rate(now) + 1.0 / RATE_WINDOW_S;
            stats.rate_at = now;
            stats.value = Some(moving_average(stats.value, value));
            // A changed configuration takes effect with the next arrival.
            stats.budget.set_percent(retry_percent);
        }
    }

    /// Credits a first attempt to the retry budget.
    pub(crate) fn record_first_attempt(&mut self, now: Instant, resource: &Resource) {
        if let Some(stats) = self.resources.get_mut(resource) {
            stats.budget.record_first_attempt(now);
        }
    }

    /// Takes a retry from the budget; returns whether one was left.
    pub(crate) fn try_take_retry(&mut self, now: Instant, resource: &Resource) -> bool {
        let stats = self.resources.get_mut(resource);
        stats.is_some_and(|stats| stats.budget.try_acquire(now))
    }

    /// Records the time from sending a request to the end of its answer.
    pub(crate) fn record_service_time(&mut self, resource: &Resource, ms: u64) {
        if let Some(stats) = self.resources.get_mut(resource) {
            let ms = ms as f64;
            stats.service_time_ms = Some(moving_average(stats.service_time_ms, ms));
        }
    }

    /// Current statistics of a model or service.
    pub(crate) fn snapshot(
        &self,
        now: Instant,
        resource: &Resource,
    ) -> WorkloadSnapshot {
        let Some(stats) = self.resources.get(resource) else {
            return WorkloadSnapshot::default();
        };
        WorkloadSnapshot {
            rate_per_s: stats.rate(now),
            service_time_ms: stats.service_time_ms.map(|ms| ms as u32),
            value: stats.value.unwrap_or(0.0),
        }
    }

    /// Models with statistics, in order of name.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.resources.keys().filter_map(Resource::model)
    }

    /// Statistics of a model or service, created if needed; `None` if the limit is
    /// reached.
    fn stats_mut(
        &mut self,
        now: Instant,
        resource: &Resource,
        retry_percent: u32,
    ) -> Option<&mut ResourceStats> {
        let full = self.resources.len() >= RESOURCES_MAX;
        if full && !self.resources.contains_key(resource) {
            return None;
        }
        let stats = self.resources.entry(resource.clone());
        Some(stats.or_insert_with(|| ResourceStats {
            rate_per_s: 0.0,
            rate_at: now,
            service_time_ms: None,
            value: None,
            budget: RetryBudget::new(retry_percent),
        }))
    }
}

impl ResourceStats {
    fn rate(&self, now: Instant) -> f64 {
        let passed_s = now.since(self.rate_at).as_secs_f64();
        self.rate_per_s * (-passed_s / RATE_WINDOW_S).exp()
    }
}

fn moving_average(mean: Option<f64>, new: f64) -> f64 {
    mean.map_or(new, |mean| mean + (new - mean) * MEAN_WEIGHT)
}
