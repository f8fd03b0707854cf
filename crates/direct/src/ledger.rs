//! Tracking of the orders to one upstream, and of what the upstream may therefore hold.

use base::prelude::*;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::{
    AdapterName, EngineSpec, Order, OrderAction, OrderAnswer, ResidentModel,
    SendOutcome, UnansweredOrders, UpstreamReport,
};

/// Time after an accepted adapter order after which the adapter is assumed to be
/// loaded. Adapters load in tens of milliseconds, and a request that arrives too early
/// is refused without running.
const ADAPTER_READY_MS: u64 = 40;

/// Time for which an adapter counts as being unloaded while the upstream still lists it.
/// The unload waits for the requests that use it.
const ADAPTER_UNLOAD_MAX_MS: u64 = 60_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Loading,
    Loaded,
    Unloading,
}

#[derive(Debug, Clone)]
struct TrackedModel {
    phase: Phase,
    /// When the model is expected to serve requests.
    ready_at: Instant,
    version: u64,
    adapters: BTreeMap<Arc<str>, TrackedAdapter>,
}

#[derive(Debug, Clone, Copy)]
struct TrackedAdapter {
    ready_at: Instant,
    since: Instant,
    /// When its unload was accepted. It still takes its place until the requests that use
    /// it have ended, and the upstream refuses new ones.
    unloading_since: Option<Instant>,
}

/// What one incarnation of an upstream holds and may come to hold, as known to the
/// coordinator.
///
/// An order without an answer may still be carried out, so the state is unknown until
/// the upstream reports. There is no need to wait for the order: the next one names the
/// same order count, and at most one of the two is carried out.
#[derive(Debug, Default)]
pub struct Ledger {
    started_unix_ms: Option<u64>,
    orders_accepted: u64,
    held: BTreeMap<Arc<str>, TrackedModel>,
    local_weights: crate::LocalWeights,
    /// Whether a model is being loaded or unloaded.
    busy: bool,
    /// The order that has been sent and has no answer yet.
    in_flight: Option<Order>,
    /// Orders that got no answer, including those to earlier incarnations.
    unanswered: UnansweredOrders,
    /// Whether a report was applied since the state last became unknown.
    known: bool,
}

impl Ledger {
    /// Creates a ledger for an upstream that hasn't reported yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a ledger for an incarnation that hasn't reported yet. `unanswered` holds
    /// the orders to earlier incarnations that it may still carry out.
    pub fn for_incarnation(
        started_unix_ms: Option<u64>,
        unanswered: UnansweredOrders,
    ) -> Self {
        Self {
            started_unix_ms,
            unanswered,
            ..Self::default()
        }
    }

    /// Start time of the incarnation that the ledger describes.
    pub const fn started_unix_ms(&self) -> Option<u64> {
        self.started_unix_ms
    }

    /// Returns the orders that may still be carried out, for use after the upstream has
    /// restarted or is no longer known.
    #[must_use]
    pub fn into_unanswered(mut self, now: Instant) -> UnansweredOrders {
        self.unanswered.expire(now);
        if let Some(order) = self.in_flight {
            self.unanswered.add(now, order);
        }
        self.unanswered
    }

    /// Number of unanswered loads, to any incarnation, that may still be carried out.
    pub fn unanswered_loads(&self) -> usize {
        self.unanswered.load_count()
    }

    /// Drops unanswered orders that can no longer be carried out.
    pub fn expire(&mut self, now: Instant) {
        self.unanswered.expire(now);
    }

    /// Number of orders the upstream has accepted, as far as known.
    pub const fn orders_accepted(&self) -> u64 {
        self.orders_accepted
    }

    /// Whether the state of the upstream is known.
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// Whether the upstream has to be asked for a report: before anything is ordered,
    /// and while an unanswered order may start at any moment.
    pub const fn needs_report(&self) -> bool {
        self.in_flight.is_none()
            && (!self.known || self.busy || !self.unanswered.is_empty())
    }

    /// Whether an order can be sent now. While a model is loaded or unloaded, an
    /// upstream refuses adapter orders as well.
    pub const fn is_idle(&self) -> bool {
        self.known && !self.busy && self.in_flight.is_none()
    }

    /// Applies a report. Reports of an earlier incarnation, or from before the last
    /// accepted order, are dropped. A report of a later incarnation resets the ledger:
    /// the order count of that incarnation is lower than the known one, and its reports
    /// would be dropped forever.
    pub fn apply_report(&mut self, now: Instant, report: &UpstreamReport) {
        match report.started_unix_ms.cmp(&self.started_unix_ms) {
            Ordering::Less => return,
            Ordering::Greater => {
                let unanswered = std::mem::take(self).into_unanswered(now);
                *self = Self::for_incarnation(report.started_unix_ms, unanswered);
            }
            Ordering::Equal => {}
        }
        if self.in_flight.is_some() || report.orders_accepted < self.orders_accepted {
            return;
        }
        let previous = std::mem::take(&mut self.held);
        for resident in &report.residents {
            self.track_resident(now, resident, previous.get(&resident.model));
        }
        for (model, adapter) in &report.adapters_loading {
            if let Some(held) = self.held.get_mut(model) {
                let known = previous
                    .get(model)
                    .and_then(|previous| previous.adapters.get(adapter));
                let loading = known.copied().unwrap_or(TrackedAdapter {
                    ready_at: now.plus_ms(ADAPTER_READY_MS),
                    since: now,
                    unloading_since: None,
                });
                held.adapters.insert(Arc::clone(adapter), loading);
            }
        }
        if report.busy {
            self.keep_in_progress(previous);
            self.begin_unanswered_unload(report.orders_accepted);
        }
        self.orders_accepted = report.orders_accepted;
        self.local_weights = report.local_weights.clone();
        self.busy = report.busy;
        self.known = true;
    }

    /// Models that are held or loading, and whether each can serve requests.
    pub fn models(&self) -> impl Iterator<Item = (&Arc<str>, bool)> {
        let held = self.held.iter();
        held.map(|(model, held)| (model, held.phase == Phase::Loaded))
    }

    /// Whether the model is being unloaded.
    pub fn is_unloading(&self, model: &str) -> bool {
        let held = self.held.get(model);
        held.is_some_and(|held| held.phase == Phase::Unloading)
    }

    /// Whether the model can be loaded without the weight store.
    pub fn has_local_weights(&self, model: &Arc<str>) -> bool {
        self.local_weights.in_memory.contains(model)
            || self.local_weights.on_disk.contains(model)
    }

    /// Models and adapters that can serve requests now, as announced to the entries.
    pub fn servable(&self, now: Instant) -> Vec<ResidentModel> {
        let loaded = self
            .held
            .iter()
            .filter(|(_, held)| held.phase == Phase::Loaded);
        loaded
            .map(|(model, held)| ResidentModel {
                model: Arc::clone(model),
                version: held.version,
                adapters: held
                    .adapters
                    .iter()
                    .filter(|(_, adapter)| {
                        adapter.ready_at <= now && adapter.unloading_since.is_none()
                    })
                    .map(|(name, _)| Arc::clone(name))
                    .collect(),
            })
            .collect()
    }

    /// Memory, in MB, of models and adapters that are held, loading, or may be loaded
    /// by unanswered orders to an earlier incarnation.
    pub fn used_mb(&self, engine: &EngineSpec) -> f64 {
        let reserved = self.unanswered.reserved_mb(
            engine,
            self.started_unix_ms,
            self.orders_accepted,
        );
        reserved + self.held_mb(engine)
    }

    fn held_mb(&self, engine: &EngineSpec) -> f64 {
        let sizes = self.held.iter().map(|(model, held)| {
            let spec = engine.models.get(model);
            spec.map_or(0.0, |spec| {
                spec.weights_mb + spec.adapter_mb * held.adapters.len() as f64
            })
        });
        sizes.sum()
    }

    /// Number of adapters that are held, loading, or may be loaded by unanswered orders
    /// to an earlier incarnation.
    pub fn adapter_count(&self) -> u32 {
        let count: usize = self.held.values().map(|held| held.adapters.len()).sum();
        let reserved = self
            .unanswered
            .reserved_adapters(self.started_unix_ms, self.orders_accepted);
        u32::try_from(count)
            .unwrap_or(u32::MAX)
            .saturating_add(reserved)
    }

    /// Whether the adapter is held, loading or just ordered.
    pub fn has_adapter(&self, model: &str, adapter: &str) -> bool {
        let in_flight = self.in_flight.as_ref().map(|order| &order.action);
        if let Some(OrderAction::LoadAdapter(of, name)) = in_flight
            && **of == *model
            && **name == *adapter
        {
            return true;
        }
        let held = self.held.get(model);
        held.is_some_and(|held| held.adapters.contains_key(adapter))
    }

    /// Whether requests for the adapter are served, or will be: it is held, loading or
    /// just ordered, and not being unloaded.
    pub fn serves_adapter(&self, model: &str, adapter: &str) -> bool {
        let held = self.held.get(model);
        let tracked = held.and_then(|held| held.adapters.get(adapter));
        let is_unloading =
            tracked.is_some_and(|tracked| tracked.unloading_since.is_some());
        self.has_adapter(model, adapter) && !is_unloading
    }

    /// Adapters that are being unloaded.
    pub fn adapters_unloading(&self) -> BTreeSet<AdapterName> {
        let held = self.held.iter();
        let adapters = held.flat_map(|(model, held)| {
            let unloading = held
                .adapters
                .iter()
                .filter(|(_, adapter)| adapter.unloading_since.is_some());
            unloading.map(move |(adapter, _)| AdapterName::new(model, adapter))
        });
        adapters.collect()
    }

    /// Adapters held, loading or being unloaded for each model that can serve, with the
    /// time since when they are there.
    pub fn adapters_held(&self) -> BTreeMap<Arc<str>, BTreeMap<Arc<str>, Instant>> {
        let loaded = self
            .held
            .iter()
            .filter(|(_, held)| held.phase == Phase::Loaded);
        let adapters = |held: &TrackedModel| {
            let all = held.adapters.iter();
            all.map(|(name, adapter)| (Arc::clone(name), adapter.since))
                .collect()
        };
        loaded
            .map(|(model, held)| (Arc::clone(model), adapters(held)))
            .collect()
    }

    /// Whether any unanswered order may still be carried out.
    pub const fn has_unanswered(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Creates an order, or returns `None` if it can't be sent now or wouldn't fit.
    pub fn issue_order(
        &mut self,
        engine: &EngineSpec,
        action: OrderAction,
    ) -> Option<Order> {
        if !self.allows(engine, &action) {
            return None;
        }
        let order = Order {
            expected_ms: self.expected_ms(engine, &action),
            action,
            started_unix_ms: self.started_unix_ms,
            expected_count: self.orders_accepted,
        };
        self.in_flight = Some(order.clone());
        Some(order)
    }

    /// Applies the outcome of an order.
    pub fn apply_outcome(&mut self, now: Instant, order: &Order, outcome: SendOutcome) {
        match outcome {
            SendOutcome::Unanswered => self.unanswered.add(now, order.clone()),
            SendOutcome::Answered(OrderAnswer::Accepted | OrderAnswer::Done) => {}
            SendOutcome::Answered(_) | SendOutcome::NotSent => {
                self.unanswered.remove(order);
            }
        }
        if order.started_unix_ms != self.started_unix_ms {
            // The answer doesn't tell which incarnation gave it, so the state is
            // unknown.
            self.known = false;
            return;
        }
        self.in_flight = None;
        match outcome {
            SendOutcome::Answered(OrderAnswer::Accepted) => {
                self.apply_accepted(now, order, false);
            }
            SendOutcome::Answered(OrderAnswer::Done) => {
                self.apply_accepted(now, order, true);
            }
            SendOutcome::Answered(OrderAnswer::Conflict | OrderAnswer::Refused)
            | SendOutcome::Unanswered => self.known = false,
            SendOutcome::NotSent => {}
        }
    }

    /// Expected duration of an order; 0 unless it loads a model.
    fn expected_ms(&self, engine: &EngineSpec, action: &OrderAction) -> u64 {
        let OrderAction::Load(model) = action else {
            return 0;
        };
        self.load_ms(engine, model)
    }

    /// Time that a load of the model takes from where its weights are.
    pub fn load_ms(&self, engine: &EngineSpec, model: &Arc<str>) -> u64 {
        let Some(spec) = engine.models.get(model) else {
            return 0;
        };
        if self.local_weights.in_memory.contains(model) {
            spec.memory_load_ms
        } else if self.local_weights.on_disk.contains(model) {
            spec.disk_load_ms
        } else {
            spec.store_load_ms
        }
    }

    /// Models that are loading, with the time at which they are expected to serve.
    pub fn loading_models(&self) -> impl Iterator<Item = (&Arc<str>, Instant)> {
        let loading = self
            .held
            .iter()
            .filter(|(_, held)| held.phase == Phase::Loading);
        loading.map(|(model, held)| (model, held.ready_at))
    }

    /// Whether an order can be sent now and what it adds fits.
    fn allows(&self, engine: &EngineSpec, action: &OrderAction) -> bool {
        match action {
            OrderAction::Load(model) => {
                let spec = engine.models.get(model);
                let fits = spec.is_some_and(|spec| {
                    self.used_mb(engine) + spec.weights_mb <= engine.weights_max_mb
                });
                self.is_idle() && !self.held.contains_key(model) && fits
            }
            OrderAction::Unload(model) => {
                self.is_idle() && self.held.contains_key(model)
            }
            OrderAction::LoadAdapter(model, adapter) => {
                let loaded = self
                    .held
                    .get(model)
                    .is_some_and(|held| held.phase == Phase::Loaded);
                let spec = engine.models.get(model);
                let fits = spec.is_some_and(|spec| {
                    self.used_mb(engine) + spec.adapter_mb <= engine.weights_max_mb
                        && self.adapter_count() < engine.adapters_max
                });
                self.is_idle() && loaded && fits && !self.has_adapter(model, adapter)
            }
            OrderAction::UnloadAdapter(model, adapter) => {
                self.is_idle() && self.has_adapter(model, adapter)
            }
        }
    }

    /// Applies an order that the upstream has accepted. With `done`, the upstream is in
    /// the ordered state already.
    fn apply_accepted(&mut self, now: Instant, order: &Order, done: bool) {
        if !done {
            self.orders_accepted = order.expected_count + 1;
        }
        match &order.action {
            OrderAction::Load(model) => {
                let held = TrackedModel {
                    phase: if done { Phase::Loaded } else { Phase::Loading },
                    ready_at: now.plus_ms(order.expected_ms),
                    version: 0,
                    adapters: BTreeMap::new(),
                };
                self.held.insert(Arc::clone(model), held);
                self.busy = !done;
            }
            OrderAction::Unload(model) if done => {
                self.held.remove(model);
                // The answer doesn't tell whether the unload counted as an order.
                self.known = false;
            }
            OrderAction::Unload(model) => {
                if let Some(held) = self.held.get_mut(model) {
                    held.phase = Phase::Unloading;
                }
                self.busy = true;
            }
            OrderAction::LoadAdapter(model, adapter) => {
                if let Some(held) = self.held.get_mut(model) {
                    let loading = TrackedAdapter {
                        ready_at: now.plus_ms(ADAPTER_READY_MS),
                        since: now,
                        unloading_since: None,
                    };
                    held.adapters.insert(Arc::clone(adapter), loading);
                }
            }
            OrderAction::UnloadAdapter(model, adapter) if done => {
                // The adapter is gone at once, and the unload counted as an order.
                self.orders_accepted = order.expected_count + 1;
                if let Some(held) = self.held.get_mut(model) {
                    held.adapters.remove(adapter);
                }
            }
            // The unload waits for a request that uses the adapter. A report tells when
            // the adapter is gone.
            OrderAction::UnloadAdapter(model, adapter) => {
                self.known = false;
                let held = self.held.get_mut(model);
                if let Some(unloading) =
                    held.and_then(|held| held.adapters.get_mut(adapter))
                {
                    unloading.unloading_since = Some(now);
                }
            }
        }
    }

    /// Tracks a reported model as loaded, with the known times of its adapters.
    fn track_resident(
        &mut self,
        now: Instant,
        resident: &ResidentModel,
        previous: Option<&TrackedModel>,
    ) {
        let adapters = resident.adapters.iter().map(|name| {
            let known = previous.and_then(|previous| previous.adapters.get(name));
            let adapter = TrackedAdapter {
                ready_at: now.min(known.map_or(now, |known| known.ready_at)),
                since: known.map_or(now, |known| known.since),
                unloading_since: known
                    .and_then(|known| known.unloading_since)
                    .filter(|at| now.ms_since(*at) < ADAPTER_UNLOAD_MAX_MS),
            };
            (Arc::clone(name), adapter)
        });
        let held = TrackedModel {
            phase: Phase::Loaded,
            ready_at: now,
            version: resident.version,
            adapters: adapters.collect(),
        };
        self.held.insert(Arc::clone(&resident.model), held);
    }

    /// Marks models whose unanswered unload is carried out after all. The upstream
    /// still lists such a model, and refuses all requests for it until its running
    /// requests have ended.
    fn begin_unanswered_unload(&mut self, orders_accepted: u64) {
        for model in self
            .unanswered
            .unloads_in_progress(self.started_unix_ms, orders_accepted)
        {
            if let Some(held) = self.held.get_mut(model) {
                held.phase = Phase::Unloading;
            }
        }
    }

    /// Keeps the loads and unloads that a busy upstream has in progress.
    fn keep_in_progress(&mut self, previous: BTreeMap<Arc<str>, TrackedModel>) {
        for (model, previous) in previous {
            match previous.phase {
                Phase::Loading => {
                    self.held.entry(model).or_insert(previous);
                }
                Phase::Unloading => {
                    if let Some(held) = self.held.get_mut(&model) {
                        held.phase = Phase::Unloading;
                    }
                }
                Phase::Loaded => {}
            }
        }
    }
}
