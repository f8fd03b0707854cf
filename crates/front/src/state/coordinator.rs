//! State of the coordinator.

use base::prelude::*;
use direct::{
    LoadPlanner, Order, ResidentModel, SendOutcome, UnansweredOrders, UpstreamReport,
};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Notify;

use super::managed_upstream::ManagedUpstream;
use super::wanted_adapters::WantedAdapter;

/// Time for which a change of an upstream's holdings is included in every
/// message. It covers at least two messages, as one may be lost.
const RECENT_CHANGE_MS: u64 = 300;

/// State of the coordinator.
#[derive(Debug)]
pub(crate) struct Coordinator {
    pub(crate) store_load_window_ms: u64,
    pub(crate) state: Mutex<CoordinatorState>,
    /// Notified when there may be something to order.
    pub(crate) wake: Notify,
    /// Notified when the upstreams' holdings have changed.
    pub(crate) holdings_changed: Notify,
}

/// The coordinator's data under one lock.
#[derive(Debug, Default)]
pub(crate) struct CoordinatorState {
    /// Fencing token of the orders; `None` while this entry may not send any.
    pub(crate) token: Option<u64>,
    /// Fencing token of the last term.
    pub(crate) last_token: Option<u64>,
    /// Usable upstreams that run engines, by name.
    pub(crate) upstreams: BTreeMap<Arc<str>, ManagedUpstream>,
    /// Unanswered orders to upstreams that are not in use now.
    pub(crate) unanswered_orders: BTreeMap<Arc<str>, UnansweredOrders>,
    /// Planners of model loads, by service.
    pub(crate) planners: BTreeMap<Arc<str>, LoadPlanner>,
    pub(crate) planned_at: Instant,
    /// When adapters to prefetch were last planned.
    pub(crate) adapters_planned_at: Instant,
    /// Adapters that requests wait for, with the time at which an entry last
    /// named them.
    pub(crate) wanted_adapters: BTreeMap<WantedAdapter, Instant>,
}

/// An upstream's holdings, as announced to other entries.
#[derive(Debug)]
pub(crate) struct AnnouncedHoldings {
    pub(crate) id: Arc<str>,
    /// Incarnation that has these holdings.
    pub(crate) started_unix_ms: Option<u64>,
    pub(crate) residents: Vec<ResidentModel>,
    /// Models being loaded, with the time at which they are expected to be
    /// ready.
    pub(crate) loading: Vec<(Arc<str>, Instant)>,
}

impl Coordinator {
    pub(crate) fn new(store_load_window_ms: u64) -> Self {
        Self {
            store_load_window_ms,
            state: Mutex::default(),
            wake: Notify::new(),
            holdings_changed: Notify::new(),
        }
    }

    /// Records that a request at some entry waits for an adapter.
    pub(crate) fn request_adapter(&self, now: Instant, adapter: WantedAdapter) {
        self.state.lock().wanted_adapters.insert(adapter, now);
        self.wake.notify_waiters();
    }

    /// Returns the holdings to announce: those that changed recently, and those
    /// for whose index `is_due` returns true.
    pub(crate) fn holdings_to_announce(
        &self,
        now: Instant,
        is_due: impl Fn(usize) -> bool,
    ) -> Vec<AnnouncedHoldings> {
        let state = self.state.lock();
        let managed = state.upstreams.iter().enumerate();
        let announced = managed.filter(|(index, (_, upstream))| {
            let recent = now.ms_since(upstream.holdings_changed_at) < RECENT_CHANGE_MS;
            let known = upstream.ledger.is_known() && upstream.matches_record();
            known && (recent || is_due(*index))
        });
        announced
            .map(|(_, (id, upstream))| AnnouncedHoldings {
                id: Arc::clone(id),
                started_unix_ms: upstream.incarnation(id).started_unix_ms,
                residents: upstream.serving.clone(),
                loading: upstream.loading.clone(),
            })
            .collect()
    }

    /// Records the result of an order, if the upstream is still managed.
    pub(crate) fn record_order(
        &self,
        now: Instant,
        id: &str,
        order: &Order,
        result: SendOutcome,
    ) {
        if let Some(upstream) = self.state.lock().upstreams.get_mut(id) {
            upstream.apply_order_result(now, order, result);
        }
        self.wake.notify_waiters();
    }

    /// Records a report, if the upstream is still managed.
    pub(crate) fn record_report(
        &self,
        now: Instant,
        id: &str,
        report: &UpstreamReport,
    ) {
        let mut state = self.state.lock();
        let CoordinatorState {
            upstreams,
            planners,
            ..
        } = &mut *state;
        if let Some(upstream) = upstreams.get_mut(id)
            && upstream.apply_report(now, report)
            && let Some(planner) = planners.get_mut(&upstream.service)
        {
            planner.record_surviving_loads(now, upstream.ledger.unanswered_loads());
        }
        drop(state);
        self.wake.notify_waiters();
    }

    /// Returns whether the upstream has not restarted since the order was
    /// decided. An order based on what the earlier incarnation held may not fit
    /// the later one.
    pub(crate) fn is_current(&self, id: &str, order: &Order) -> bool {
        let state = self.state.lock();
        let upstream = state.upstreams.get(id);
        upstream.is_some_and(|upstream| {
            upstream.ledger.started_unix_ms() == order.started_unix_ms
        })
    }

    /// Records that a load from the weight store got no response.
    pub(crate) fn record_unanswered_load(&self, now: Instant, service: &str) {
        if let Some(planner) = self.state.lock().planners.get_mut(service) {
            planner.record_unanswered_load(now);
        }
    }
}
