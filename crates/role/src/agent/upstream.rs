//! Evaluates the upstream's reports about itself.

use super::{UpstreamOrderState, UpstreamReport};
use base::Instant;
use mem::{
    MemoryReport, Placement, ReportedOrder, ReportedOrderState, ReportedResident,
};

/// Smoothing of the averages: a new sample weighs one part in this many.
const SMOOTHING: u64 = 8;

/// State of the upstream according to its reports.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    up: bool,
    incarnation: Option<u64>,
    /// When the upstream made its last report.
    report_made_at: Instant,
    waiting: u32,
    step_time_us: u64,
    service_ms: u64,
    highest_fencing_epoch: u64,
}

impl Upstream {
    pub(super) const fn is_up(&self) -> bool {
        self.up
    }

    /// Incarnation in the last report; 0 before the first report.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation.unwrap_or(0)
    }

    pub(super) fn mark_down(&mut self) {
        self.up = false;
    }

    /// Requests that wait to join the upstream's batch.
    pub(super) const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Highest fencing epoch that the upstream has seen.
    pub(super) const fn highest_fencing_epoch(&self) -> u64 {
        self.highest_fencing_epoch
    }

    /// Smoothed duration of a decoding step, in microseconds.
    pub(super) fn step_time_us(&self) -> u32 {
        u32::try_from(self.step_time_us).unwrap_or(u32::MAX)
    }

    /// Smoothed duration of an attempt, in milliseconds; 0 before the first has
    /// ended.
    pub(super) const fn service_ms(&self) -> u64 {
        self.service_ms
    }

    /// Time since the upstream made its last report.
    pub(super) fn report_age_ms(&self, now: Instant) -> u32 {
        u32::try_from(now.ms_since(self.report_made_at)).unwrap_or(u32::MAX)
    }

    /// Records the duration of a completed attempt.
    pub(super) fn record_service_time(&mut self, service_ms: u64) {
        self.service_ms = smooth(self.service_ms, service_ms);
    }

    /// Applies a report and returns whether the upstream has restarted since
    /// the last one.
    pub(super) fn apply_report(
        &mut self,
        now: Instant,
        report: &UpstreamReport,
    ) -> bool {
        let restarted = self
            .incarnation
            .is_some_and(|last| last != report.incarnation);
        self.up = true;
        self.incarnation = Some(report.incarnation);
        self.report_made_at = report_made_at(now, report);
        self.waiting = report.waiting;
        self.highest_fencing_epoch = report.highest_fencing_epoch;
        let step_us = u64::from(report.step_time_us);
        if step_us > 0 {
            self.step_time_us = smooth(self.step_time_us, step_us);
        }
        restarted
    }
}

fn smooth(current: u64, sample: u64) -> u64 {
    if current == 0 {
        return sample;
    }
    (current * (SMOOTHING - 1) + sample) / SMOOTHING
}

/// When the upstream made a report, in this process's time.
pub(super) fn report_made_at(now: Instant, report: &UpstreamReport) -> Instant {
    now - std::time::Duration::from_millis(u64::from(report.age_ms))
}

/// Extracts the part of a report that the memory ledger needs.
pub(super) fn memory_report(now: Instant, report: &UpstreamReport) -> MemoryReport {
    let residents = report.residents.iter().map(|resident| ReportedResident {
        placement: Placement {
            accelerator: resident.accelerator,
            model: resident.model.clone(),
            version: resident.version,
        },
        size_mib: resident.size_mib,
        loaded: resident.loaded,
    });
    let orders = report.orders.iter().map(|order| ReportedOrder {
        id: order.order,
        state: match order.state {
            UpstreamOrderState::InProgress => ReportedOrderState::InProgress,
            UpstreamOrderState::Done => ReportedOrderState::Done,
            UpstreamOrderState::Failed => ReportedOrderState::Failed,
        },
    });
    MemoryReport {
        incarnation: report.incarnation,
        made_at: report_made_at(now, report),
        residents: residents.collect(),
        orders: orders.collect(),
    }
}
