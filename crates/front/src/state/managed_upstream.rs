//! The coordinator's state of one upstream.

use base::prelude::*;
use direct::{
    Config, EngineSpec, Ledger, OrderAction, OrderAnswer, PlacedModel,
    PlannedAdapterLoad, ResidentModel, SendOutcome, SoftwareVersion, UnansweredOrders,
    Upstream, UpstreamAdapterState, UpstreamIncarnation, UpstreamReport,
};
use std::collections::HashMap;
use std::sync::Arc;

/// Expected duration of an unload, which waits for running requests.
const EXPECTED_UNLOAD_MS: u64 = 500;

/// The coordinator's state of one incarnation of an upstream.
#[derive(Debug)]
pub(crate) struct ManagedUpstream {
    pub(crate) service: Arc<str>,
    pub(crate) domain: Arc<str>,
    /// Version of the platform's record that was last seen.
    pub(crate) version: u64,
    /// Incarnation that the platform's record states.
    record_started_unix_ms: Option<u64>,
    pub(crate) ledger: Ledger,
    /// Whether it should be avoided, as it is silent or can't be connected to.
    pub(crate) avoided: bool,
    /// Whether it asked this entry to send no requests for a while, which
    /// includes orders.
    pub(crate) backed_off: bool,
    /// When a report was last requested; `None` if the next one is due at once.
    pub(crate) report_requested_at: Option<Instant>,
    pub(crate) pending_load: Option<PendingLoad>,
    /// When each model was first seen on the upstream.
    pub(crate) held_since: HashMap<Arc<str>, Instant>,
    /// Models and adapters that can serve requests, as announced to entries.
    pub(crate) serving: Vec<ResidentModel>,
    /// Models being loaded, with the time at which they are expected to be
    /// ready, as announced to entries.
    pub(crate) loading: Vec<(Arc<str>, Instant)>,
    /// When `serving` or the number of `loading` models last changed.
    pub(crate) holdings_changed_at: Instant,
    /// Models that the upstream can load without the weight store.
    pub(crate) local_weights: Vec<Arc<str>>,
    /// Those of them that are in the memory of its host.
    pub(crate) in_memory: Vec<Arc<str>>,
}

/// A load that waits for an unload.
#[derive(Debug)]
pub(crate) struct PendingLoad {
    pub(crate) model: Arc<str>,
    pub(crate) started_at: Instant,
}

impl ManagedUpstream {
    /// Creates the state of an incarnation, with the unanswered orders to
    /// earlier ones that may still be carried out.
    pub(crate) fn new(upstream: &Upstream, unanswered: UnansweredOrders) -> Self {
        Self {
            service: Arc::clone(&upstream.record.service),
            domain: Arc::clone(&upstream.record.domain),
            version: upstream.version,
            record_started_unix_ms: upstream.record.started_unix_ms,
            ledger: Ledger::for_incarnation(
                upstream.record.started_unix_ms,
                unanswered,
            ),
            avoided: false,
            backed_off: false,
            report_requested_at: None,
            pending_load: None,
            held_since: HashMap::new(),
            serving: Vec::new(),
            loading: Vec::new(),
            holdings_changed_at: Instant::ZERO,
            local_weights: Vec::new(),
            in_memory: Vec::new(),
        }
    }

    /// Returns whether it makes sense to send it an order now.
    ///
    /// An upstream that can't be connected to looks idle and would be chosen
    /// first for every order, so the models that callers wait for would not be
    /// loaded anywhere.
    pub(crate) const fn accepts_orders(&self) -> bool {
        self.ledger.is_idle() && !self.avoided && !self.backed_off
    }

    /// Returns whether the upstream has restarted after this incarnation.
    pub(crate) fn is_superseded(&self, upstream: &Upstream) -> bool {
        self.ledger.started_unix_ms() < upstream.record.started_unix_ms
    }

    /// Returns whether this is the incarnation that entries know from the
    /// platform's record. A report may have revealed a later one first.
    pub(crate) fn matches_record(&self) -> bool {
        self.record_started_unix_ms.is_none()
            || self.record_started_unix_ms == self.ledger.started_unix_ms()
    }

    /// Returns the incarnation under which entries know the upstream.
    pub(crate) fn incarnation<'a>(&self, id: &'a str) -> UpstreamIncarnation<'a> {
        UpstreamIncarnation {
            id,
            started_unix_ms: self.record_started_unix_ms,
        }
    }

    /// Applies a report. Returns whether the upstream has restarted; a load
    /// that was waiting for an order to the earlier incarnation is then
    /// dropped.
    pub(crate) fn apply_report(
        &mut self,
        now: Instant,
        report: &UpstreamReport,
    ) -> bool {
        let started_unix_ms = self.ledger.started_unix_ms();
        self.ledger.apply_report(now, report);
        let restarted = self.ledger.started_unix_ms() != started_unix_ms;
        if restarted {
            self.pending_load = None;
            self.held_since.clear();
        }
        restarted
    }

    /// Applies what the fleet knows about this incarnation.
    pub(crate) fn apply_record(&mut self, now: Instant, upstream: &Upstream) {
        self.record_started_unix_ms = upstream.record.started_unix_ms;
        self.ledger.expire(now);
        self.avoided = upstream.is_avoided(now);
        self.backed_off = upstream.is_backed_off(now);
        if self.version != upstream.version {
            // Something has changed, such as an order that finished: request a
            // report now.
            self.version = upstream.version;
            self.report_requested_at = None;
        }
        let local_weights = &upstream.record.local_weights;
        self.local_weights = local_weights
            .in_memory
            .iter()
            .chain(&local_weights.on_disk)
            .cloned()
            .collect();
        self.in_memory.clone_from(&local_weights.in_memory);
        let held: Vec<Arc<str>> = self
            .ledger
            .models()
            .map(|(model, _)| Arc::clone(model))
            .collect();
        // Models that were held before this entry sent orders may be unloaded
        // at once.
        for model in &held {
            let since = if self.held_since.is_empty() {
                Instant::ZERO
            } else {
                now
            };
            self.held_since.entry(Arc::clone(model)).or_insert(since);
        }
        self.held_since.retain(|model, _| held.contains(model));
    }

    /// Applies the result of an order.
    ///
    /// A load waits for the unload before it. If the unload was not accepted,
    /// the load would otherwise wait for its full timeout and its model count
    /// as loading for as long: a model that callers waited for was not planned
    /// anywhere else for ten seconds.
    pub(crate) fn apply_order_result(
        &mut self,
        now: Instant,
        order: &direct::Order,
        result: SendOutcome,
    ) {
        self.ledger.apply_outcome(now, order, result);
        let accepted = matches!(
            result,
            SendOutcome::Answered(OrderAnswer::Accepted | OrderAnswer::Done)
        );
        let same_incarnation = order.started_unix_ms == self.ledger.started_unix_ms();
        if matches!(order.action, OrderAction::Unload(_))
            && same_incarnation
            && !accepted
        {
            self.pending_load = None;
        }
    }

    /// Returns whether a load from the weight store waits for an unload.
    pub(crate) fn awaits_store_load(&self) -> bool {
        let pending_load = self.pending_load.as_ref();
        pending_load.is_some_and(|load| !self.ledger.has_local_weights(&load.model))
    }

    /// Returns the models being loaded, including those that wait for an
    /// unload.
    pub(crate) fn pending_models(&self, config: &Config) -> Vec<(Arc<str>, Instant)> {
        let ordered = self.ledger.loading_models();
        let mut loading: Vec<_> = ordered
            .map(|(model, ready_at)| (Arc::clone(model), ready_at))
            .collect();
        if let (Some(pending_load), Some(engine)) =
            (&self.pending_load, engine_of(config, &self.service))
        {
            let duration_ms =
                self.ledger.load_ms(engine, &pending_load.model) + EXPECTED_UNLOAD_MS;
            loading.push((
                Arc::clone(&pending_load.model),
                pending_load.started_at.plus_ms(duration_ms),
            ));
        }
        loading
    }

    /// Returns the models that are held or being loaded, including one that
    /// waits for an unload: otherwise each plan would start its load again
    /// elsewhere.
    pub(crate) fn placed_models(&self, engine: &EngineSpec) -> Vec<PlacedModel> {
        let placed = |model: &Arc<str>, unloading| PlacedModel {
            model: Arc::clone(model),
            size_mb: engine.models.get(model).map_or(0.0, |spec| spec.weights_mb),
            unloading,
            since: self.held_since.get(model).copied().unwrap_or(Instant::ZERO),
        };
        let held = self.ledger.models();
        let held =
            held.map(|(model, _)| placed(model, self.ledger.is_unloading(model)));
        let pending_load = self.pending_load.iter();
        held.chain(pending_load.map(|pending_load| placed(&pending_load.model, false)))
            .collect()
    }

    /// Returns the input for planning adapters on this upstream.
    pub(crate) fn adapter_state(
        &self,
        id: &Arc<str>,
        engine: &EngineSpec,
        running: u32,
        software: Option<SoftwareVersion>,
    ) -> UpstreamAdapterState {
        let accepts_orders = self.accepts_orders();
        UpstreamAdapterState {
            upstream: Arc::clone(id),
            accepts_orders,
            // On an upstream that leaves orders unanswered, prefetching would
            // delay orders that callers wait for.
            accepts_prefetch: accepts_orders
                && self.pending_load.is_none()
                && !self.ledger.has_unanswered(),
            free_slots: engine
                .adapters_max
                .saturating_sub(self.ledger.adapter_count()),
            free_mb: engine.weights_max_mb - self.ledger.used_mb(engine),
            running,
            unloading: self.ledger.adapters_unloading(),
            software,
            models: self.ledger.adapters_held(),
        }
    }

    /// Returns the order that loads an adapter, or the one that makes room for
    /// it.
    pub(crate) fn adapter_order(
        &mut self,
        engine: &EngineSpec,
        planned: &PlannedAdapterLoad,
    ) -> Option<direct::Order> {
        let action = match &planned.unload {
            Some(unloaded) => OrderAction::UnloadAdapter(
                Arc::clone(&unloaded.model),
                Arc::clone(&unloaded.adapter),
            ),
            None => OrderAction::LoadAdapter(
                Arc::clone(&planned.load.model),
                Arc::clone(&planned.load.adapter),
            ),
        };
        self.ledger.issue_order(engine, action)
    }
}

/// Returns the engine that a service's upstreams run.
pub(crate) fn engine_of<'a>(
    config: &'a Config,
    service: &str,
) -> Option<&'a EngineSpec> {
    config.services.get(service)?.engine.as_ref()
}
