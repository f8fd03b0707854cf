//! What the giver of orders keeps of one upstream.

use base::prelude::*;
use direct::{
    Config, EngineSpec, Ledger, OrderAction, OrderAnswer, PlacedModel,
    PlannedAdapterLoad, ResidentModel, SendOutcome, UnansweredOrders, Upstream,
    UpstreamAdapterState, UpstreamIncarnation, UpstreamReport,
};
use std::collections::HashMap;
use std::sync::Arc;

/// Time that an unload is expected to take: it waits for what runs.
const UNLOAD_MS: u64 = 500;

/// What the giver keeps of one start of an upstream.
#[derive(Debug)]
pub(crate) struct Book {
    pub(crate) service: Arc<str>,
    pub(crate) domain: Arc<str>,
    /// Version of the platform's entry that was seen last.
    pub(crate) version: u64,
    /// Start that the platform's entry names.
    listed_born_ms: Option<u64>,
    pub(crate) ledger: Ledger,
    /// Whether it is better avoided: silent, or not reached.
    pub(crate) doubted: bool,
    /// Whether it asked this entry for no request for a while: no order either.
    pub(crate) backed_off: bool,
    pub(crate) asked_at: Option<Instant>,
    pub(crate) intent: Option<Intent>,
    pub(crate) since: HashMap<Arc<str>, Instant>,
    pub(crate) serving: Vec<ResidentModel>,
    pub(crate) coming: Vec<(Arc<str>, Instant)>,
    pub(crate) changed_at: Instant,
    pub(crate) copies: Vec<Arc<str>>,
}

/// A load that waits for an unload.
#[derive(Debug)]
pub(crate) struct Intent {
    pub(crate) load: Arc<str>,
    pub(crate) begun_at: Instant,
}

impl Book {
    /// A book of a start, with the orders to earlier ones that it may still carry
    /// out.
    pub(crate) fn new(upstream: &Upstream, late: UnansweredOrders) -> Self {
        Self {
            service: Arc::clone(&upstream.record.service),
            domain: Arc::clone(&upstream.record.domain),
            version: upstream.version,
            listed_born_ms: upstream.record.started_unix_ms,
            ledger: Ledger::for_incarnation(upstream.record.started_unix_ms, late),
            doubted: false,
            backed_off: false,
            asked_at: None,
            intent: None,
            since: HashMap::new(),
            serving: Vec::new(),
            coming: Vec::new(),
            changed_at: Instant::ZERO,
            copies: Vec::new(),
        }
    }

    /// Whether it is worth an order now.
    ///
    /// One that can't be reached has nothing to do, and would be chosen first for
    /// each order: what callers wait for would not come anywhere.
    pub(crate) const fn takes_orders(&self) -> bool {
        self.ledger.is_idle() && !self.doubted && !self.backed_off
    }

    /// Whether the upstream has started again after the start that this is of.
    pub(crate) fn is_over(&self, upstream: &Upstream) -> bool {
        self.ledger.started_unix_ms() < upstream.record.started_unix_ms
    }

    /// Whether what entries know of the upstream is of the start that this is of.
    /// A report may have told of a later one first.
    pub(crate) fn is_listed(&self) -> bool {
        self.listed_born_ms.is_none()
            || self.listed_born_ms == self.ledger.started_unix_ms()
    }

    /// Start that entries know the upstream by.
    pub(crate) fn start<'a>(&self, id: &'a str) -> UpstreamIncarnation<'a> {
        UpstreamIncarnation {
            id,
            started_unix_ms: self.listed_born_ms,
        }
    }

    /// Takes over a report; true if the upstream has started again. What waited for
    /// an order to the earlier start then waits no more.
    pub(crate) fn report(&mut self, now: Instant, report: &UpstreamReport) -> bool {
        let born_ms = self.ledger.started_unix_ms();
        self.ledger.apply_report(now, report);
        let restarted = self.ledger.started_unix_ms() != born_ms;
        if restarted {
            self.intent = None;
            self.since.clear();
        }
        restarted
    }

    pub(crate) fn follow(&mut self, now: Instant, upstream: &Upstream) {
        self.listed_born_ms = upstream.record.started_unix_ms;
        self.ledger.expire(now);
        self.doubted = upstream.is_avoided(now);
        self.backed_off = upstream.is_backed_off(now);
        if self.version != upstream.version {
            // Something has changed there, as at the end of an order: ask now.
            self.version = upstream.version;
            self.asked_at = None;
        }
        let copies = &upstream.record.local_weights;
        self.copies = copies
            .in_memory
            .iter()
            .chain(&copies.on_disk)
            .cloned()
            .collect();
        let held: Vec<Arc<str>> = self
            .ledger
            .models()
            .map(|(model, _)| Arc::clone(model))
            .collect();
        // What was there before this entry gave orders may go at once.
        for model in &held {
            let first = if self.since.is_empty() {
                Instant::ZERO
            } else {
                now
            };
            self.since.entry(Arc::clone(model)).or_insert(first);
        }
        self.since.retain(|model, _| held.contains(model));
    }

    /// Takes over what came of an order.
    ///
    /// A load waits behind its unload. Where the unload was not taken, the load would
    /// wait for the whole of its time, and its model count as on its way for as long:
    /// one that callers waited for was planned nowhere else for ten seconds.
    pub(crate) fn sent(
        &mut self,
        now: Instant,
        order: &direct::Order,
        sent: SendOutcome,
    ) {
        self.ledger.apply_outcome(now, order, sent);
        let taken = matches!(
            sent,
            SendOutcome::Answered(OrderAnswer::Accepted | OrderAnswer::Done)
        );
        let own = order.started_unix_ms == self.ledger.started_unix_ms();
        if matches!(order.action, OrderAction::Unload(_)) && own && !taken {
            self.intent = None;
        }
    }

    /// Models on their way, also those that wait for an unload.
    pub(crate) fn coming(&self, setup: &Config) -> Vec<(Arc<str>, Instant)> {
        let loading = self.ledger.loading_models();
        let mut coming: Vec<_> = loading
            .map(|(model, ready_at)| (Arc::clone(model), ready_at))
            .collect();
        if let (Some(intent), Some(engine)) =
            (&self.intent, engine(setup, &self.service))
        {
            let takes_ms = self.ledger.load_ms(engine, &intent.load) + UNLOAD_MS;
            coming.push((Arc::clone(&intent.load), intent.begun_at.plus_ms(takes_ms)));
        }
        coming
    }

    /// Models held or on their way, also one that waits for an unload: planned
    /// without it, its load would be started again elsewhere at each plan.
    pub(crate) fn groups(&self, engine: &EngineSpec) -> Vec<PlacedModel> {
        let group = |model: &Arc<str>, unloading| PlacedModel {
            model: Arc::clone(model),
            size_mb: engine.models.get(model).map_or(0.0, |spec| spec.weights_mb),
            unloading,
            since: self.since.get(model).copied().unwrap_or(Instant::ZERO),
        };
        let held = self.ledger.models();
        let held = held.map(|(model, _)| group(model, self.ledger.is_unloading(model)));
        let intent = self.intent.iter();
        held.chain(intent.map(|intent| group(&intent.load, false)))
            .collect()
    }

    /// What the spread of adapters is to know of it.
    pub(crate) fn adapter_spot(
        &self,
        id: &Arc<str>,
        engine: &EngineSpec,
        running: u32,
    ) -> UpstreamAdapterState {
        let takes_orders = self.takes_orders();
        UpstreamAdapterState {
            upstream: Arc::clone(id),
            accepts_orders: takes_orders,
            // One that leaves orders unanswered would have each of these in the way of
            // an order that callers wait for.
            accepts_prefetch: takes_orders
                && self.intent.is_none()
                && !self.ledger.has_unanswered(),
            free_slots: engine
                .adapters_max
                .saturating_sub(self.ledger.adapter_count()),
            free_mb: engine.weights_max_mb - self.ledger.used_mb(engine),
            running,
            models: self.ledger.adapters_held(),
        }
    }

    /// The order that brings an adapter, or the one that makes room for it.
    pub(crate) fn adapter_order(
        &mut self,
        engine: &EngineSpec,
        choice: &PlannedAdapterLoad,
    ) -> Option<direct::Order> {
        let action = match &choice.unload {
            Some(gone) => OrderAction::UnloadAdapter(
                Arc::clone(&gone.model),
                Arc::clone(&gone.adapter),
            ),
            None => OrderAction::LoadAdapter(
                Arc::clone(&choice.load.model),
                Arc::clone(&choice.load.adapter),
            ),
        };
        self.ledger.issue_order(engine, action)
    }
}

/// The engine that upstreams of a service run.
pub(crate) fn engine<'a>(setup: &'a Config, service: &str) -> Option<&'a EngineSpec> {
    setup.services.get(service)?.engine.as_ref()
}
