//! What is known of the work for each model and service: arrivals, service
//! times and the budget of retries.

use base::prelude::*;
use route::RetryBudget;
use std::collections::BTreeMap;

use super::wanted::Wanted;

/// Time over which arrivals are smoothed.
const RATE_WINDOW_S: f64 = 20.0;

/// Share of one new service time or value in the mean.
const MEAN_SHARE: f64 = 0.1;

/// Records kept at most; the names come from configurations.
const RECORDS_MAX: usize = 16_384;

#[derive(Debug)]
struct Record {
    rate_per_s: f64,
    rate_at: Instant,
    service_time_ms: Option<f64>,
    value: Option<f64>,
    budget: RetryBudget,
}

/// What is known of the work for one model or service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WorkStats {
    /// Smoothed arrivals.
    pub(crate) rate_per_s: f64,
    /// Mean service time, once one was seen.
    pub(crate) service_time_ms: Option<u32>,
    /// Mean worth of one request.
    pub(crate) value: f64,
}

/// The records.
#[derive(Debug)]
pub(crate) struct Book {
    records: BTreeMap<Wanted, Record>,
}

impl Book {
    pub(crate) const fn new() -> Self {
        Self {
            records: BTreeMap::new(),
        }
    }

    /// Counts an arrival.
    pub(crate) fn arrived(
        &mut self,
        now: Instant,
        wanted: &Wanted,
        value: f64,
        retry_percent: u32,
    ) {
        if let Some(record) = self.record(now, wanted, retry_percent) {
            record.rate_per_s = record.rate(now) + 1.0 / RATE_WINDOW_S;
            record.rate_at = now;
            record.value = Some(mean(record.value, value));
            // The budget follows the configuration with the next arrival.
            record.budget.set_percent(retry_percent);
        }
    }

    /// Counts a first try towards the budget.
    pub(crate) fn first_try(&mut self, now: Instant, wanted: &Wanted) {
        if let Some(record) = self.records.get_mut(wanted) {
            record.budget.record_first_attempt(now);
        }
    }

    /// Takes a retry from the budget.
    pub(crate) fn try_retry(&mut self, now: Instant, wanted: &Wanted) -> bool {
        let record = self.records.get_mut(wanted);
        record.is_some_and(|record| record.budget.try_acquire(now))
    }

    /// Notes how long an upstream was busy with a request.
    pub(crate) fn served(&mut self, wanted: &Wanted, ms: u64) {
        if let Some(record) = self.records.get_mut(wanted) {
            let ms = ms as f64;
            record.service_time_ms = Some(mean(record.service_time_ms, ms));
        }
    }

    /// What is known now.
    pub(crate) fn stats(&self, now: Instant, wanted: &Wanted) -> WorkStats {
        let Some(record) = self.records.get(wanted) else {
            return WorkStats::default();
        };
        WorkStats {
            rate_per_s: record.rate(now),
            service_time_ms: record.service_time_ms.map(|ms| ms as u32),
            value: record.value.unwrap_or(0.0),
        }
    }

    /// Models that have a record, in order of name.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelId> {
        self.records.keys().filter_map(Wanted::model)
    }

    fn record(
        &mut self,
        now: Instant,
        wanted: &Wanted,
        retry_percent: u32,
    ) -> Option<&mut Record> {
        let full = self.records.len() >= RECORDS_MAX;
        if full && !self.records.contains_key(wanted) {
            return None;
        }
        let record = self.records.entry(wanted.clone());
        Some(record.or_insert_with(|| Record {
            rate_per_s: 0.0,
            rate_at: now,
            service_time_ms: None,
            value: None,
            budget: RetryBudget::new(retry_percent),
        }))
    }
}

impl Record {
    fn rate(&self, now: Instant) -> f64 {
        let passed_s = now.since(self.rate_at).as_secs_f64();
        self.rate_per_s * (-passed_s / RATE_WINDOW_S).exp()
    }
}

fn mean(held: Option<f64>, new: f64) -> f64 {
    held.map_or(new, |held| held + (new - held) * MEAN_SHARE)
}
