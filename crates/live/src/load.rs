//! Load hints, which change while the directory is only read.

use base::Instant;
use schema::link::Load;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

/// What an agent last said of its load, and what was sent to it since.
///
/// Routing holds the directory for reading, so the fields are atomics. They are
/// not read as one: a mix of two reports is no worse than a late one, which
/// routing has to live with anyway.
#[derive(Debug, Default)]
pub struct LoadTracker {
    running: AtomicU32,
    waiting: AtomicU32,
    running_max: AtomicU32,
    step_time_us: AtomicU32,
    made_at_us: AtomicU64,
    sent_since: AtomicU32,
}

/// One reading of a [`LoadTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the upstream's batch.
    pub running: u32,
    /// Requests waiting at the agent.
    pub waiting: u32,
    /// Requests run at most; 0 when not known.
    pub running_max: u32,
    /// Smoothed duration of one engine step.
    pub step_time_us: u32,
    /// Age of the hint.
    pub age_ms: u64,
    /// Requests this entry sent since.
    pub sent_since_report: u32,
}

impl LoadTracker {
    /// Takes a newer report.
    pub fn record_report(&self, now: Instant, load: &Load) {
        let age_us = u64::from(load.report_age_ms) * 1_000;
        self.running.store(load.running, Ordering::Relaxed);
        self.waiting.store(load.waiting, Ordering::Relaxed);
        self.running_max.store(load.running_max, Ordering::Relaxed);
        self.step_time_us
            .store(load.step_time_us, Ordering::Relaxed);
        let made_at_us = now.as_us().saturating_sub(age_us);
        self.made_at_us.store(made_at_us, Ordering::Relaxed);
        self.sent_since.store(0, Ordering::Relaxed);
    }

    /// Counts a request sent to the agent.
    pub fn record_sent(&self) {
        self.sent_since.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads the hint.
    pub fn latest(&self, now: Instant) -> LoadReport {
        let made_at = Instant::from_us(self.made_at_us.load(Ordering::Relaxed));
        LoadReport {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            running_max: self.running_max.load(Ordering::Relaxed),
            step_time_us: self.step_time_us.load(Ordering::Relaxed),
            age_ms: now.ms_since(made_at),
            sent_since_report: self.sent_since.load(Ordering::Relaxed),
        }
    }
}
