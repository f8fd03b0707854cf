//! The coordinator: while this entry holds the lease, it decides which models
//! and adapters upstreams hold, and sends them orders.

mod adapters;
mod upstreams;

use base::prelude::*;
use direct::{
    CapacityPressure, Config, DemandEstimate, DemandPressure, EngineSpec, LoadPlanner,
    MoveObstacle, OrderAction, PlannedLoad, UpstreamState, peer_message_interval_ms,
    targets_differ_widely,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::orders::{request_report, send_order};
use crate::state::Node;
use crate::state::coordinator::CoordinatorState;
use crate::state::managed_upstream::{PendingLoad, engine_of};

/// Interval at which the coordinator checks whether orders are due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two plans.
const PLAN_INTERVAL_MS: u64 = 150;

/// Interval between two requests for the report of an upstream that is carrying
/// out an order.
const REPORT_INTERVAL_MS: u64 = 200;

/// Number of message intervals within which all entries report their demand to a new
/// coordinator: one to learn of it, one to report, and one for a lost message.
const DEMAND_REPORTS: u64 = 3;

/// Time for which a load waits for the unload that precedes it.
const PENDING_LOAD_TIMEOUT_MS: u64 = 10_000;

/// Sends orders while this entry holds the lease, forever.
pub(crate) async fn coordinate(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(TICK_INTERVAL) => {}
            () = node.coordinator.wake.notified() => {}
            () = node.wanted_adapters.added.notified() => {}
        }
        for (_, demand) in node.demand.lock().iter_mut() {
            demand.update(node.now());
        }
        let token = node.lease.lock().token(node.now());
        match (token, node.config()) {
            (Some(token), Some(config)) => tick(&node, &config, token),
            _ => stop_ordering(&node),
        }
    }
}

/// Ends this entry's term as coordinator, if it has one: it holds no valid
/// lease or has no configuration.
fn stop_ordering(node: &Node) {
    let token = node.coordinator.state.lock().token.take();
    if let Some(token) = token {
        node.log.line("giver_paused", json!({ "token": token }));
    }
}

/// Starts a term as coordinator if none is running, then spawns the sending of
/// all orders and requests for reports that are due.
fn tick(node: &Arc<Node>, config: &Config, token: u64) {
    let now = node.now();
    let mut state = node.coordinator.state.lock();
    if state.token != Some(token) {
        state.start_term(node, config, token, now);
    }
    state.sync_upstreams(node, config, now);
    let reports = state.reports_due(now);
    let mut orders = state.loads_after_unload(config, now);
    orders.extend(state.adapter_orders(node, config, now));
    if now.ms_since(state.planned_at) >= PLAN_INTERVAL_MS {
        state.planned_at = now;
        orders.extend(state.plan(node, config, now));
    }
    let changed = state.publish_holdings(node, config, now);
    drop(state);
    if changed {
        node.holdings_changed.notify_waiters();
        node.coordinator.holdings_changed.notify_one();
    }
    for id in reports {
        tokio::spawn(request_report(Arc::clone(node), id));
    }
    for (id, service, order, from_store) in orders {
        let sending =
            send_order(Arc::clone(node), id, service, order, token, from_store);
        tokio::spawn(sending);
    }
}

/// An order to send: name and service of the upstream, the order, and whether
/// it loads a model from the weight store.
type OutgoingOrder = (Arc<str>, Arc<str>, direct::Order, bool);

impl CoordinatorState {
    /// Starts a term as coordinator. Nothing known from an earlier term is
    /// kept, except that this entry's own earlier orders may still be carried
    /// out.
    fn start_term(&mut self, node: &Node, config: &Config, token: u64, now: Instant) {
        self.token = Some(token);
        for (id, managed) in std::mem::take(&mut self.upstreams) {
            self.unanswered_orders
                .insert(id, managed.ledger.into_unanswered(now));
        }
        let others_held = token > 1 && self.last_token != Some(token);
        self.last_token = Some(token);
        let lease = node.lease.lock();
        let others_ordered_until = lease.others_ordered_until(now, node.started_at);
        drop(lease);
        self.planners
            .retain(|name, _| engine_of(config, name).is_some());
        for (name, spec) in &config.services {
            let Some(engine) = &spec.engine else {
                continue;
            };
            let planner = self.planners.entry(Arc::clone(name));
            let planner = planner.or_insert_with(|| {
                LoadPlanner::new(node.coordinator.store_load_window_ms)
            });
            planner.resume();
            if others_held {
                planner.assume_window_spent(others_ordered_until, engine);
            }
        }
        node.log.line(
            "giver_began",
            json!({ "token": token, "setup": config.version }),
        );
    }

    /// Returns the upstreams whose report is to be requested.
    fn reports_due(&mut self, now: Instant) -> Vec<Arc<str>> {
        let mut reports = Vec::new();
        for (id, managed) in &mut self.upstreams {
            let recently = managed
                .report_requested_at
                .is_some_and(|at| now.ms_since(at) < REPORT_INTERVAL_MS);
            if managed.ledger.needs_report() && !recently && !managed.backed_off {
                managed.report_requested_at = Some(now);
                reports.push(Arc::clone(id));
            }
        }
        reports
    }

    /// Returns the loads whose unload has finished.
    fn loads_after_unload(
        &mut self,
        config: &Config,
        now: Instant,
    ) -> Vec<OutgoingOrder> {
        let mut orders = Vec::new();
        for (id, managed) in &mut self.upstreams {
            let Some(engine) = engine_of(config, &managed.service) else {
                continue;
            };
            let Some(pending_load) = &managed.pending_load else {
                continue;
            };
            if now.ms_since(pending_load.started_at) > PENDING_LOAD_TIMEOUT_MS {
                managed.pending_load = None;
                continue;
            }
            if managed.backed_off {
                continue;
            }
            let from_store = !managed.ledger.has_local_weights(&pending_load.model);
            let Some(planner) = self.planners.get_mut(&managed.service) else {
                continue;
            };
            if from_store && planner.store_loads_left(now, engine) == 0 {
                continue;
            }
            let action = OrderAction::Load(Arc::clone(&pending_load.model));
            if let Some(order) = managed.ledger.issue_order(engine, action) {
                managed.pending_load = None;
                if from_store {
                    planner.record_store_load(now);
                }
                let service = Arc::clone(&managed.service);
                orders.push((Arc::clone(id), service, order, from_store));
            }
        }
        orders
    }

    /// Plans model loads for each service, and returns the orders that start
    /// them.
    fn plan(
        &mut self,
        node: &Node,
        config: &Config,
        now: Instant,
    ) -> Vec<OutgoingOrder> {
        let services: Vec<Arc<str>> = self.planners.keys().cloned().collect();
        let mut orders = Vec::new();
        for service in services {
            let Some(engine) = engine_of(config, &service) else {
                continue;
            };
            let (demand, pressures) = total_demand(node, &service, now);
            let planner_input = self.planner_input(&service, engine);
            let pressure = CapacityPressure {
                targets_differ: targets_differ_widely(config, &service),
                models: pressures,
                demand_reported_after_ms: DEMAND_REPORTS
                    * peer_message_interval_ms(node.peers.address_count()),
                ..self.load_conditions(&service)
            };
            let Some(planner) = self.planners.get_mut(&service) else {
                continue;
            };
            let planned = planner.plan_under_pressure(
                now,
                engine,
                &planner_input,
                &demand,
                &pressure,
            );
            for planned_load in planned {
                orders.extend(self.start_load(
                    node,
                    &service,
                    engine,
                    now,
                    &planned_load,
                ));
            }
        }
        orders
    }

    fn planner_input(
        &self,
        service: &Arc<str>,
        engine: &EngineSpec,
    ) -> Vec<UpstreamState> {
        let managed_upstreams = self
            .upstreams
            .iter()
            .filter(|(_, managed)| managed.service == *service);
        managed_upstreams
            .map(|(id, managed)| UpstreamState {
                upstream: Arc::clone(id),
                domain: Arc::clone(&managed.domain),
                idle: managed.accepts_orders() && managed.pending_load.is_none(),
                free_mb: engine.weights_max_mb - managed.ledger.used_mb(engine),
                models: managed.placed_models(engine),
                local_weights: managed.local_weights.clone(),
            })
            .collect()
    }

    /// Returns what determines how soon an upstream of a service can serve a model.
    fn load_conditions(&self, service: &Arc<str>) -> CapacityPressure {
        let mut conditions = CapacityPressure::default();
        let managed_upstreams = self.upstreams.iter();
        for (id, managed) in
            managed_upstreams.filter(|(_, managed)| managed.service == *service)
        {
            if !managed.in_memory.is_empty() {
                let in_memory = managed.in_memory.clone();
                conditions.in_memory.insert(Arc::clone(id), in_memory);
            }
            if managed.ledger.has_unanswered() {
                conditions.unanswering.insert(Arc::clone(id));
            }
            conditions.reserved_store_loads += usize::from(managed.awaits_store_load());
        }
        conditions
    }

    /// Starts a planned load: returns the order for it, or for the unload that
    /// has to precede it.
    fn start_load(
        &mut self,
        node: &Node,
        service: &Arc<str>,
        engine: &EngineSpec,
        now: Instant,
        planned: &PlannedLoad,
    ) -> Option<OutgoingOrder> {
        let managed = self.upstreams.get_mut(&planned.upstream)?;
        let action = match &planned.unload {
            Some(unloaded) => OrderAction::Unload(Arc::clone(unloaded)),
            None => OrderAction::Load(Arc::clone(&planned.load)),
        };
        let order = managed.ledger.issue_order(engine, action)?;
        if planned.unload.is_some() {
            managed.pending_load = Some(PendingLoad {
                model: Arc::clone(&planned.load),
                started_at: now,
            });
        } else if planned.from_store {
            self.planners.get_mut(service)?.record_store_load(now);
        }
        node.log.line(
            "move",
            json!({ "upstream": &*planned.upstream, "load": &*planned.load,
                "unload": planned.unload.as_deref(), "why": planned.reason.as_str(),
                "relief": planned.relief, "from_store": planned.from_store,
                "demand_age_ms": planned.delay.demand_age_ms,
                "first_refused_ms_ago": planned.delay.first_refused_ms_ago,
                "blocked_by": planned.delay.blocked_by.map(MoveObstacle::as_str) }),
        );
        let from_store = planned.unload.is_none() && planned.from_store;
        Some((
            Arc::clone(&planned.upstream),
            Arc::clone(service),
            order,
            from_store,
        ))
    }

    /// Updates this entry's own fleet with what upstreams hold. Returns whether
    /// that changed.
    fn publish_holdings(&mut self, node: &Node, config: &Config, now: Instant) -> bool {
        let mut changed = false;
        let mut fleet = node.fleet.lock();
        for (id, managed) in &mut self.upstreams {
            if !managed.ledger.is_known() || !managed.matches_record() {
                continue;
            }
            let serving = managed.ledger.servable(now);
            let loading = managed.pending_models(config);
            if serving != managed.serving || loading.len() != managed.loading.len() {
                managed.serving = serving;
                managed.holdings_changed_at = now;
                changed = true;
            }
            managed.loading = loading;
            fleet.set_coordinator_holdings(
                now,
                managed.incarnation(id),
                managed.serving.clone(),
                managed.loading.clone(),
            );
        }
        changed
    }
}

/// Demand for models, and the pressure on them.
type TotalDemand = (
    BTreeMap<Arc<str>, DemandEstimate>,
    BTreeMap<Arc<str>, DemandPressure>,
);

/// Returns the demand for a service's models, and the pressure on them, over all
/// entries.
fn total_demand(node: &Node, service: &Arc<str>, now: Instant) -> TotalDemand {
    let mut total: BTreeMap<Arc<str>, DemandEstimate> = BTreeMap::new();
    let mut pressures: BTreeMap<Arc<str>, DemandPressure> = BTreeMap::new();
    if let Some(demand) = node.demand.lock().get(service) {
        for (model, estimate) in demand.estimates(now) {
            total.insert(Arc::clone(model), estimate);
        }
        for (model, pressure) in demand.pressures() {
            pressures.insert(Arc::clone(model), pressure);
        }
    }
    node.peers
        .add_demand(now, service, &mut total, &mut pressures);
    let request_ms = total.values().map(|estimate| estimate.request_ms);
    let request_ms = request_ms.fold(0.0, f64::max);
    for estimate in total.values_mut() {
        estimate.request_ms = request_ms;
    }
    (total, pressures)
}
