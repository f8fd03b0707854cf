//! The upstream as its reports show it.

use super::UpstreamReport;
use base::Instant;
use mem::{
    Placement, ReportedOrder, ReportedOrderState, ReportedResident, UpstreamState,
};

use super::UpstreamOrderState;

/// Share of a new sample in the smoothed figures, as one part in so many.
const SMOOTHING: u64 = 8;

/// The upstream as its reports show it.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    up: bool,
    incarnation: Option<u64>,
    made_at: Instant,
    waiting: u32,
    step_time_us: u64,
    service_ms: u64,
    fence: u64,
}

impl Upstream {
    pub(super) const fn is_up(&self) -> bool {
        self.up
    }

    /// Run of the upstream that reported last; 0 before the first report.
    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation.unwrap_or(0)
    }

    pub(super) fn went_down(&mut self) {
        self.up = false;
    }

    pub(super) const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Highest fencing number that the upstream has seen.
    pub(super) const fn fence(&self) -> u64 {
        self.fence
    }

    /// Smoothed duration of a step.
    pub(super) fn step_time_us(&self) -> u32 {
        u32::try_from(self.step_time_us).unwrap_or(u32::MAX)
    }

    /// Smoothed time that one attempt takes; 0 before the first has ended.
    pub(super) const fn service_ms(&self) -> u64 {
        self.service_ms
    }

    pub(super) fn report_age_ms(&self, now: Instant) -> u32 {
        u32::try_from(now.ms_since(self.made_at)).unwrap_or(u32::MAX)
    }

    /// An attempt has ended in good order after this time.
    pub(super) fn served(&mut self, took_ms: u64) {
        self.service_ms = smooth(self.service_ms, took_ms);
    }

    /// Takes in a report; says whether the upstream has restarted since the
    /// last one.
    pub(super) fn reported(&mut self, now: Instant, report: &UpstreamReport) -> bool {
        let restarted = self.incarnation.is_some_and(|i| i != report.incarnation);
        self.up = true;
        self.incarnation = Some(report.incarnation);
        self.made_at = made_at(now, report);
        self.waiting = report.waiting;
        self.fence = report.highest_fencing_token;
        let step_us = u64::from(report.step_time_us);
        if step_us > 0 {
            self.step_time_us = smooth(self.step_time_us, step_us);
        }
        restarted
    }
}

fn smooth(held: u64, sample: u64) -> u64 {
    if held == 0 {
        return sample;
    }
    (held * (SMOOTHING - 1) + sample) / SMOOTHING
}

/// When the upstream made a report.
pub(super) fn made_at(now: Instant, report: &UpstreamReport) -> Instant {
    now - std::time::Duration::from_millis(u64::from(report.age_ms))
}

/// The part of a report that the ledger needs.
pub(super) fn memory_state(now: Instant, report: &UpstreamReport) -> UpstreamState {
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
    UpstreamState {
        incarnation: report.incarnation,
        made_at: made_at(now, report),
        residents: residents.collect(),
        orders: orders.collect(),
    }
}
