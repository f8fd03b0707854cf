//! Orders for adapters: for those that requests wait for, and to prefetch
//! others.

use base::prelude::*;
use direct::{
    AdapterName, AdapterPlanner, Config, EngineSpec, PlannedAdapterLoad,
    RequestedAdapter, Upstream, UpstreamAdapterState,
};
use std::sync::Arc;

use super::{CoordinatorState, OutgoingOrder, engine_of, total_demand};
use crate::state::Node;
use crate::state::wanted_adapters::WantedAdapter;

/// Time for which an adapter counts as wanted after an entry named it.
const WANTED_TIMEOUT_MS: u64 = 500;

/// Interval between prefetch orders to an upstream, for adapters that no
/// request waits for. A few of them may be in progress at an upstream at a
/// time, and each takes tens of milliseconds.
const PREFETCH_INTERVAL_MS: u64 = 100;

/// The same interval per upstream; the larger one applies. Looking at all
/// upstreams takes time proportional to their number.
const PREFETCH_INTERVAL_PER_UPSTREAM_MS: u64 = 1;

impl CoordinatorState {
    /// Returns orders for the adapters that requests wait for and, at
    /// intervals, for those that requests may ask for next.
    pub(super) fn adapter_orders(
        &mut self,
        node: &Node,
        config: &Config,
        now: Instant,
    ) -> Vec<OutgoingOrder> {
        for wanted in node.wanted_adapters.current(now) {
            self.wanted_adapters.insert(wanted, now);
        }
        self.wanted_adapters
            .retain(|_, at| now.ms_since(*at) < WANTED_TIMEOUT_MS);
        let each_ms = PREFETCH_INTERVAL_PER_UPSTREAM_MS * self.upstreams.len() as u64;
        let prefetch_due =
            now.ms_since(self.adapters_planned_at) >= PREFETCH_INTERVAL_MS.max(each_ms);
        if prefetch_due {
            self.adapters_planned_at = now;
        }
        let services: Vec<Arc<str>> = self.planners.keys().cloned().collect();
        let mut orders = Vec::new();
        for service in services {
            let wanted = self.missing_adapters(node, &service);
            if wanted.is_empty() && !prefetch_due {
                continue;
            }
            let Some(engine) = engine_of(config, &service) else {
                continue;
            };
            let (demand, _) = total_demand(node, &service, now);
            let planner_input = self.adapter_planner_input(node, &service, engine, now);
            let mut planner = AdapterPlanner::new(now, engine, &planner_input, &demand);
            let mut planned: Vec<PlannedAdapterLoad> = wanted
                .iter()
                .filter_map(|requested| planner.load_requested(requested))
                .collect();
            if prefetch_due {
                planned.extend(planner.prefetch());
            }
            for planned_load in planned {
                orders.extend(self.adapter_order(&service, engine, &planned_load));
            }
        }
        orders
    }

    /// Returns the adapters of a service that requests wait for and that are
    /// not being loaded.
    fn missing_adapters(&self, node: &Node, service: &str) -> Vec<RequestedAdapter> {
        let wanted_adapters = self
            .wanted_adapters
            .keys()
            .filter(|wanted| &*wanted.service == service);
        let requested = wanted_adapters.map(WantedAdapter::requested);
        let missing =
            requested.filter(|requested| !self.is_adapter_ordered(node, requested));
        missing.collect()
    }

    /// Returns whether any upstream that serves the requests holds the adapter, loads it
    /// or was just ordered to.
    fn is_adapter_ordered(&self, node: &Node, requested: &RequestedAdapter) -> bool {
        let AdapterName { model, adapter } = &requested.name;
        let fleet = node.fleet.lock();
        self.upstreams.iter().any(|(id, managed)| {
            managed.ledger.serves_adapter(model, adapter)
                && requested.fits(fleet.get(id).and_then(Upstream::software))
        })
    }

    fn adapter_planner_input(
        &self,
        node: &Node,
        service: &str,
        engine: &EngineSpec,
        now: Instant,
    ) -> Vec<UpstreamAdapterState> {
        let fleet = node.fleet.lock();
        let managed_upstreams = self
            .upstreams
            .iter()
            .filter(|(_, managed)| &*managed.service == service);
        let planner_input = managed_upstreams.map(|(id, managed)| {
            let upstream = fleet.get(id);
            let running = upstream.map_or(0, |upstream| upstream.usage(now).running);
            let software = upstream.and_then(Upstream::software);
            managed.adapter_state(id, engine, running, software)
        });
        planner_input.collect()
    }

    /// Returns the order that starts a planned adapter load.
    fn adapter_order(
        &mut self,
        service: &Arc<str>,
        engine: &EngineSpec,
        planned: &PlannedAdapterLoad,
    ) -> Option<OutgoingOrder> {
        let managed = self.upstreams.get_mut(&planned.upstream)?;
        let order = managed.adapter_order(engine, planned)?;
        Some((
            Arc::clone(&planned.upstream),
            Arc::clone(service),
            order,
            false,
        ))
    }
}
