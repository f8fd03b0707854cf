//! The giver of orders: what upstreams are to hold, while this entry has the
//! lease.

mod adapters;
mod kept;

use base::prelude::*;
use direct::{
    Config, DemandEstimate, EngineSpec, LoadPlanner, OrderAction, PlannedLoad,
    UpstreamState,
};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::orders::{ask_report, send_order};
use crate::state::Node;
use crate::state::book::{Intent, engine};
use crate::state::giver::State;

/// Time between two looks at what is to be ordered.
const TICK: Duration = Duration::from_millis(50);

/// Time between two plans.
const PLAN_EVERY_MS: u64 = 150;

/// Time between two questions to an upstream that carries out an order.
const ASK_EVERY_MS: u64 = 200;

/// Time for which a load waits for the unload before it.
const INTENT_MS: u64 = 10_000;

/// Gives orders while this entry holds the lease, for ever.
pub(crate) async fn give_orders(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = node.giver.wake.notified() => {}
            () = node.wants.new.notified() => {}
        }
        for (_, demand) in node.demand.lock().iter_mut() {
            demand.update(node.now());
        }
        let token = node.lease.lock().token(node.now());
        match (token, node.setup()) {
            (Some(token), Some(setup)) => tick(&node, &setup, token),
            _ => pause(&node),
        }
    }
}

/// This entry may not order any more.
fn pause(node: &Node) {
    let token = node.giver.state.lock().token.take();
    if let Some(token) = token {
        node.log.line("giver_paused", json!({ "token": token }));
    }
}

fn tick(node: &Arc<Node>, setup: &Config, token: u64) {
    let now = node.now();
    let mut state = node.giver.state.lock();
    if state.token != Some(token) {
        state.begin(node, setup, token, now);
    }
    state.follow_fleet(node, setup, now);
    let asks = state.asks(now);
    let mut orders = state.continue_moves(setup, now);
    orders.extend(state.adapters(node, setup, now));
    if now.ms_since(state.planned_at) >= PLAN_EVERY_MS {
        state.planned_at = now;
        orders.extend(state.plan(node, setup, now));
    }
    let changed = state.tell(node, setup, now);
    drop(state);
    if changed {
        node.holdings.notify_waiters();
        node.giver.changed.notify_one();
    }
    for id in asks {
        tokio::spawn(ask_report(Arc::clone(node), id));
    }
    for (id, service, order, from_store) in orders {
        let sending =
            send_order(Arc::clone(node), id, service, order, token, from_store);
        tokio::spawn(sending);
    }
}

type Ordered = (Arc<str>, Arc<str>, direct::Order, bool);

impl State {
    /// This entry has become the giver: nothing that it knew from before holds, but
    /// that its own orders of before may still be carried out.
    fn begin(&mut self, node: &Node, setup: &Config, token: u64, now: Instant) {
        self.token = Some(token);
        for (id, book) in std::mem::take(&mut self.books) {
            self.late.insert(id, book.ledger.into_unanswered(now));
        }
        let others_held = token > 1 && self.last_token != Some(token);
        self.last_token = Some(token);
        let lease = node.lease.lock();
        let others_until = lease.others_ordered_until(now, node.started_at);
        drop(lease);
        self.moves.retain(|name, _| engine(setup, name).is_some());
        for (name, spec) in &setup.services {
            let Some(engine) = &spec.engine else {
                continue;
            };
            let moves = self.moves.entry(Arc::clone(name));
            let moves = moves.or_insert_with(|| LoadPlanner::new(node.giver.window_ms));
            moves.resume();
            if others_held {
                moves.assume_window_spent(others_until, engine);
            }
        }
        node.log.line(
            "giver_began",
            json!({ "token": token, "setup": setup.version }),
        );
    }

    /// Upstreams to be asked for a report.
    fn asks(&mut self, now: Instant) -> Vec<Arc<str>> {
        let mut asks = Vec::new();
        for (id, book) in &mut self.books {
            let lately = book
                .asked_at
                .is_some_and(|at| now.ms_since(at) < ASK_EVERY_MS);
            if book.ledger.needs_report() && !lately && !book.backed_off {
                book.asked_at = Some(now);
                asks.push(Arc::clone(id));
            }
        }
        asks
    }

    /// Loads whose unload is done.
    fn continue_moves(&mut self, setup: &Config, now: Instant) -> Vec<Ordered> {
        let mut orders = Vec::new();
        for (id, book) in &mut self.books {
            let Some(engine) = engine(setup, &book.service) else {
                continue;
            };
            let Some(intent) = &book.intent else {
                continue;
            };
            if now.ms_since(intent.begun_at) > INTENT_MS {
                book.intent = None;
                continue;
            }
            if book.backed_off {
                continue;
            }
            let from_store = !book.ledger.has_local_weights(&intent.load);
            let Some(moves) = self.moves.get_mut(&book.service) else {
                continue;
            };
            if from_store && moves.store_loads_left(now, engine) == 0 {
                continue;
            }
            let action = OrderAction::Load(Arc::clone(&intent.load));
            if let Some(order) = book.ledger.issue_order(engine, action) {
                book.intent = None;
                if from_store {
                    moves.record_store_load(now);
                }
                let service = Arc::clone(&book.service);
                orders.push((Arc::clone(id), service, order, from_store));
            }
        }
        orders
    }

    fn plan(&mut self, node: &Node, setup: &Config, now: Instant) -> Vec<Ordered> {
        let services: Vec<Arc<str>> = self.moves.keys().cloned().collect();
        let mut orders = Vec::new();
        for service in services {
            let Some(engine) = engine(setup, &service) else {
                continue;
            };
            let loads = loads(node, &service, now);
            let spots = self.spots(&service, engine);
            let Some(moves) = self.moves.get_mut(&service) else {
                continue;
            };
            let choices = moves.plan(now, engine, &spots, &loads);
            for choice in choices {
                orders.extend(self.start(node, &service, engine, now, &choice));
            }
        }
        orders
    }

    fn spots(&self, service: &Arc<str>, engine: &EngineSpec) -> Vec<UpstreamState> {
        let books = self
            .books
            .iter()
            .filter(|(_, book)| book.service == *service);
        books
            .map(|(id, book)| UpstreamState {
                upstream: Arc::clone(id),
                domain: Arc::clone(&book.domain),
                idle: book.takes_orders() && book.intent.is_none(),
                free_mb: engine.weights_max_mb - book.ledger.used_mb(engine),
                models: book.groups(engine),
                local_weights: book.copies.clone(),
            })
            .collect()
    }

    fn start(
        &mut self,
        node: &Node,
        service: &Arc<str>,
        engine: &EngineSpec,
        now: Instant,
        choice: &PlannedLoad,
    ) -> Option<Ordered> {
        let book = self.books.get_mut(&choice.upstream)?;
        let action = match &choice.unload {
            Some(victim) => OrderAction::Unload(Arc::clone(victim)),
            None => OrderAction::Load(Arc::clone(&choice.load)),
        };
        let order = book.ledger.issue_order(engine, action)?;
        if choice.unload.is_some() {
            book.intent = Some(Intent {
                load: Arc::clone(&choice.load),
                begun_at: now,
            });
        } else if choice.from_store {
            self.moves.get_mut(service)?.record_store_load(now);
        }
        node.log.line(
            "move",
            json!({ "upstream": &*choice.upstream, "load": &*choice.load,
                "unload": choice.unload.as_deref(), "why": choice.reason.as_str(),
                "relief": choice.relief, "from_store": choice.from_store }),
        );
        let from_store = choice.unload.is_none() && choice.from_store;
        Some((
            Arc::clone(&choice.upstream),
            Arc::clone(service),
            order,
            from_store,
        ))
    }

    /// Tells this entry's own fleet what upstreams hold; whether it changed.
    fn tell(&mut self, node: &Node, setup: &Config, now: Instant) -> bool {
        let mut changed = false;
        let mut fleet = node.fleet.lock();
        for (id, book) in &mut self.books {
            if !book.ledger.is_known() || !book.is_listed() {
                continue;
            }
            let serving = book.ledger.servable(now);
            let coming = book.coming(setup);
            if serving != book.serving || coming.len() != book.coming.len() {
                book.serving = serving;
                book.changed_at = now;
                changed = true;
            }
            book.coming = coming;
            fleet.set_coordinator_holdings(
                now,
                book.start(id),
                book.serving.clone(),
                book.coming.clone(),
            );
        }
        changed
    }
}

/// Demand for a service's models over all entries.
fn loads(
    node: &Node,
    service: &Arc<str>,
    now: Instant,
) -> BTreeMap<Arc<str>, DemandEstimate> {
    let mut loads: BTreeMap<Arc<str>, DemandEstimate> = BTreeMap::new();
    if let Some(demand) = node.demand.lock().get(service) {
        for (model, load) in demand.estimates(now) {
            loads.insert(Arc::clone(model), load);
        }
    }
    node.peers.add_loads(now, service, &mut loads);
    let request_ms = loads.values().map(|load| load.request_ms);
    let request_ms = request_ms.fold(0.0, f64::max);
    for load in loads.values_mut() {
        load.request_ms = request_ms;
    }
    loads
}
