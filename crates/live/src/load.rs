//! Load of an agent, which routing updates although it holds the directory only
//! for reading.

use base::Instant;
use schema::link::Load;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// Last reported load of an agent, and the requests sent to it since.
///
/// Routing holds the directory by shared reference, so the fields are atomics.
/// They are not read together: a mix of two reports is no worse than a late
/// report, which routing has to tolerate anyway.
#[derive(Debug, Default)]
pub struct LoadTracker {
    running: AtomicU32,
    waiting: AtomicU32,
    running_max: AtomicU32,
    step_time_us: AtomicU32,
    report_made_at_us: AtomicU64,
    sent_since_report: AtomicU32,
}

/// Snapshot of a [`LoadTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the upstream's batch.
    pub running: u32,
    /// Requests waiting at the agent.
    pub waiting: u32,
    /// Most requests in the batch; 0 if unknown.
    pub running_max: u32,
    /// Smoothed duration of one engine step, in microseconds.
    pub step_time_us: u32,
    /// Age of the report.
    pub age_ms: u64,
    /// Requests that this entry has sent since the report.
    pub sent_since_report: u32,
}

impl LoadTracker {
    /// Records a newer report.
    pub fn record_report(&self, now: Instant, load: &Load) {
        let age_us = u64::from(load.report_age_ms) * 1_000;
        self.running.store(load.running, Ordering::Relaxed);
        self.waiting.store(load.waiting, Ordering::Relaxed);
        self.running_max.store(load.running_max, Ordering::Relaxed);
        self.step_time_us
            .store(load.step_time_us, Ordering::Relaxed);
        let report_made_at_us = now.as_us().saturating_sub(age_us);
        self.report_made_at_us
            .store(report_made_at_us, Ordering::Relaxed);
        self.sent_since_report.store(0, Ordering::Relaxed);
    }

    /// Counts a request sent to the agent.
    pub fn record_sent(&self) {
        self.sent_since_report.fetch_add(1, Ordering::Relaxed);
    }

    /// Snapshot of the load, with the age of the report at `now`.
    pub fn latest(&self, now: Instant) -> LoadReport {
        let report_made_at =
            Instant::from_us(self.report_made_at_us.load(Ordering::Relaxed));
        LoadReport {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            running_max: self.running_max.load(Ordering::Relaxed),
            step_time_us: self.step_time_us.load(Ordering::Relaxed),
            age_ms: now.ms_since(report_made_at),
            sent_since_report: self.sent_since_report.load(Ordering::Relaxed),
        }
    }
}
