//! State that `GET /admin/state` returns.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

use super::accelerator::Resident;
use super::{Engine, Inner};

/// Report of the engine's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number that increases with each restart.
    pub incarnation: u64,
    /// Highest fencing epoch of an order in this incarnation.
    pub fence: u64,
    /// Models and adapters in memory.
    pub residents: Vec<Resident>,
    /// Orders received in this incarnation.
    pub orders: Vec<OrderReport>,
    /// Number of requests in a batch.
    pub running: usize,
    /// Number of requests that wait for a batch.
    pub waiting: usize,
    /// Duration of the longest current step, or of a step with one request if idle.
    pub step_time_us: u64,
    /// Age of this report when it was returned.
    pub report_age_ms: u64,
}

/// State of one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReport {
    /// Number of the order.
    pub order: u64,
    /// Fencing epoch of the order.
    pub fence: u64,
    /// Progress of the order.
    pub state: OrderState,
}

/// Progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Being carried out.
    InProgress,
    /// Completed.
    Done,
    /// Failed, or made obsolete by an unload.
    Failed,
}

impl Inner {
    pub(super) fn fresh_report(&self) -> Report {
        let accelerators = &self.accelerators;
        let residents = accelerators
            .iter()
            .flat_map(|accelerator| accelerator.residents.iter().cloned());
        Report {
            incarnation: self.incarnation,
            fence: self.highest_fencing_epoch,
            residents: residents.collect(),
            orders: self.orders.values().copied().collect(),
            running: accelerators
                .iter()
                .map(|accelerator| accelerator.running.len())
                .sum(),
            waiting: accelerators
                .iter()
                .map(|accelerator| accelerator.waiting.len())
                .sum(),
            step_time_us: 0,
            report_age_ms: 0,
        }
    }
}

impl Engine {
    /// Returns the last report while it is younger than the report lag, else a new one.
    pub(super) fn report(&self) -> Report {
        let durations = (0..self.step_wakeups.len())
            .filter_map(|accelerator| self.step_duration(accelerator));
        let step = durations
            .max()
            .unwrap_or(Duration::from_micros(self.options.step_us));
        let mut inner = self.inner.lock();
        let lag = Duration::from_millis(inner.faults.report_lag_ms);
        let now = Instant::now();
        let cached = inner
            .cached_report
            .take()
            .filter(|(created_at, _)| now - *created_at < lag);
        let (created_at, report) = cached.unwrap_or_else(|| {
            let mut report = inner.fresh_report();
            report.step_time_us = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
            (now, report)
        });
        inner.cached_report = Some((created_at, report.clone()));
        Report {
            report_age_ms: u64::try_from((now - created_at).as_millis())
                .unwrap_or(u64::MAX),
            ..report
        }
    }
}
