//! Keeps the coordinator's set of upstreams in line with the fleet.

use base::prelude::*;
use direct::{Config, UnansweredOrders, Upstream};
use std::sync::Arc;

use crate::state::Node;
use crate::state::coordinator::CoordinatorState;
use crate::state::managed_upstream::ManagedUpstream;

impl CoordinatorState {
    /// Removes upstreams that are gone or have restarted, and adds new
    /// incarnations.
    pub(super) fn sync_upstreams(
        &mut self,
        node: &Node,
        config: &Config,
        now: Instant,
    ) {
        let fleet = node.fleet.lock();
        let removed = self.upstreams.extract_if(.., |id, managed| {
            let upstream = fleet.get(id);
            upstream.is_none_or(|upstream| {
                !upstream.is_usable(now) || managed.is_superseded(upstream)
            })
        });
        for (id, managed) in removed {
            self.unanswered_orders
                .insert(id, managed.ledger.into_unanswered(now));
        }
        for upstream in fleet.model_upstreams(now, config) {
            let id = &upstream.record.id;
            if !self.upstreams.contains_key(id) {
                let unanswered = self.take_unanswered(now, upstream);
                let managed = ManagedUpstream::new(upstream, unanswered);
                self.upstreams.insert(Arc::clone(id), managed);
            }
            if let Some(managed) = self.upstreams.get_mut(id) {
                managed.apply_record(now, upstream);
            }
        }
        self.unanswered_orders.retain(|_, unanswered| {
            unanswered.expire(now);
            !unanswered.is_empty()
        });
    }

    /// Takes the orders to an upstream's earlier incarnations that may still be
    /// carried out.
    fn take_unanswered(
        &mut self,
        now: Instant,
        upstream: &Upstream,
    ) -> UnansweredOrders {
        let mut unanswered = self
            .unanswered_orders
            .remove(&upstream.record.id)
            .unwrap_or_default();
        unanswered.expire(now);
        if let Some(planner) = self.planners.get_mut(&upstream.record.service) {
            planner.record_surviving_loads(now, unanswered.load_count());
        }
        unanswered
    }
}
