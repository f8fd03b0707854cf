//! What was ordered from one upstream, and what it may therefore hold.

use base::prelude::*;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{
    EngineSpec, Order, OrderAction, OrderAnswer, ResidentModel, SendOutcome,
    UnansweredOrders, UpstreamReport,
};

/// Time after an accepted order for an adapter after which it is taken to be
/// there. Adapters come in tens of milliseconds, and a request that is early is
/// refused without being run.
const ADAPTER_READY_MS: u64 = 40;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Loading,
    Loaded,
    Unloading,
}

#[derive(Debug, Clone)]
struct TrackedModel {
    phase: Phase,
    /// When it is expected to serve.
    ready_at: Instant,
    version: u64,
    adapters: BTreeMap<Arc<str>, TrackedAdapter>,
}

#[derive(Debug, Clone, Copy)]
struct TrackedAdapter {
    ready_at: Instant,
    since: Instant,
}

/// What one start of an upstream holds and may come to hold, as the giver of
/// orders knows.
///
/// An order without an answer may still be carried out, so the state is then
/// not known until the upstream is asked. It need not be waited for: the next
/// order names the same order count, and at most one of the two is carried out.
#[derive(Debug, Default)]
pub struct Ledger {
    born_ms: Option<u64>,
    orders_accepted: u64,
    held: BTreeMap<Arc<str>, TrackedModel>,
    local_weights: crate::LocalWeights,
    /// Whether a model is being loaded or unloaded.
    busy: bool,
    /// The order that is on its way.
    in_flight: Option<Order>,
    /// Orders without an answer, also to earlier starts.
    unanswered: UnansweredOrders,
    /// Whether what is held was read since it was last unknown.
    known: bool,
}

impl Ledger {
    /// A ledger of an upstream that was not asked yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A ledger of a start that was not asked yet, with the orders to earlier ones
    /// that it may still carry out.
    pub fn for_incarnation(born_ms: Option<u64>, late: UnansweredOrders) -> Self {
        Self {
            born_ms,
            unanswered: late,
            ..Self::default()
        }
    }

    /// The start that it is the ledger of.
    pub const fn started_unix_ms(&self) -> Option<u64> {
        self.born_ms
    }

    /// Orders that may still be carried out when the upstream starts again or is
    /// lost sight of.
    #[must_use]
    pub fn into_unanswered(mut self, now: Instant) -> UnansweredOrders {
        self.unanswered.expire(now);
        if let Some(order) = self.in_flight {
            self.unanswered.add(now, order);
        }
        self.unanswered
    }

    /// Loads without an answer, of any start, that may still be carried out.
    pub fn unanswered_loads(&self) -> usize {
        self.unanswered.load_count()
    }

    /// Forgets orders that can't come any more.
    pub fn expire(&mut self, now: Instant) {
        self.unanswered.expire(now);
    }

    /// Orders accepted, as far as is known.
    pub const fn orders_accepted(&self) -> u64 {
        self.orders_accepted
    }

    /// Whether what it holds is known.
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// Whether the upstream has to be asked: before it is ordered anything, and while
    /// an order without an answer may begin at any moment.
    pub const fn needs_report(&self) -> bool {
        self.in_flight.is_none()
            && (!self.known || self.busy || !self.unanswered.is_empty())
    }

    /// Whether anything can be ordered now. While a model is loaded or unloaded,
    /// an upstream refuses orders for adapters as well.
    pub const fn is_idle(&self) -> bool {
        self.known && !self.busy && self.in_flight.is_none()
    }

    /// Takes over a report; one of an earlier start or from before the last
    /// accepted order is dropped. With one of a later start all begins anew: its
    /// order count is lower than the one known, and it would be dropped for ever.
    pub fn apply_report(&mut self, now: Instant, report: &UpstreamReport) {
        match report.started_unix_ms.cmp(&self.born_ms) {
            Ordering::Less => return,
            Ordering::Greater => {
                let late = std::mem::take(self).into_unanswered(now);
                *self = Self::for_incarnation(report.started_unix_ms, late);
            }
            Ordering::Equal => {}
        }
        if self.in_flight.is_some() || report.orders_accepted < self.orders_accepted {
            return;
        }
        let kept = std::mem::take(&mut self.held);
        for resident in &report.residents {
            self.track_resident(now, resident, kept.get(&resident.model));
        }
        for (model, adapter) in &report.adapters_loading {
            if let Some(held) = self.held.get_mut(model) {
                let known = kept.get(model).and_then(|old| old.adapters.get(adapter));
                let coming = known.copied().unwrap_or(TrackedAdapter {
                    ready_at: now.plus_ms(ADAPTER_READY_MS),
                    since: now,
                });
                held.adapters.insert(Arc::clone(adapter), coming);
            }
        }
        if report.busy {
            self.keep_in_progress(kept);
            self.begin_unanswered_unload(report.orders_accepted);
        }
        self.orders_accepted = report.orders_accepted;
        self.local_weights = report.local_weights.clone();
        self.busy = report.busy;
        self.known = true;
    }

    /// Models held or on their way, with whether they can serve.
    pub fn models(&self) -> impl Iterator<Item = (&Arc<str>, bool)> {
        let held = self.held.iter();
        held.map(|(model, held)| (model, held.phase == Phase::Loaded))
    }

    /// Whether a model is being unloaded.
    pub fn is_unloading(&self, model: &str) -> bool {
        let held = self.held.get(model);
        held.is_some_and(|held| held.phase == Phase::Unloading)
    }

    /// Whether a model can be loaded without the weight store.
    pub fn has_local_weights(&self, model: &Arc<str>) -> bool {
        self.local_weights.in_memory.contains(model)
            || self.local_weights.on_disk.contains(model)
    }

    /// What can serve now, as entries are told.
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
                    .filter(|(_, adapter)| adapter.ready_at <= now)
                    .map(|(name, _)| Arc::clone(name))
                    .collect(),
            })
            .collect()
    }

    /// Weights held or on their way, also by late orders to an earlier start.
    pub fn used_mb(&self, engine: &EngineSpec) -> f64 {
        let late =
            self.unanswered
                .reserved_mb(engine, self.born_ms, self.orders_accepted);
        late + self.held_mb(engine)
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

    /// Adapters held or on their way, also by late orders to an earlier start.
    pub fn adapter_count(&self) -> u32 {
        let count: usize = self.held.values().map(|held| held.adapters.len()).sum();
        let late = self
            .unanswered
            .reserved_adapters(self.born_ms, self.orders_accepted);
        u32::try_from(count)
            .unwrap_or(u32::MAX)
            .saturating_add(late)
    }

    /// Whether a model and an adapter are held, on their way or just ordered.
    pub fn has_adapter(&self, model: &str, adapter: &str) -> bool {
        let open = self.in_flight.as_ref().map(|order| &order.action);
        if let Some(OrderAction::LoadAdapter(of, name)) = open
            && **of == *model
            && **name == *adapter
        {
            return true;
        }
        let held = self.held.get(model);
        held.is_some_and(|held| held.adapters.contains_key(adapter))
    }

    /// Adapters held or on their way of each model that can serve, with since when.
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

    /// Whether orders without an answer may still be carried out.
    pub const fn has_unanswered(&self) -> bool {
        !self.unanswered.is_empty()
    }

    /// Makes an order, or none if it can't be given now or would not fit.
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
            started_unix_ms: self.born_ms,
            expected_count: self.orders_accepted,
        };
        self.in_flight = Some(order.clone());
        Some(order)
    }

    /// Takes over what came of an order.
    pub fn apply_outcome(&mut self, now: Instant, order: &Order, sent: SendOutcome) {
        match sent {
            SendOutcome::Unanswered => self.unanswered.add(now, order.clone()),
            SendOutcome::Answered(OrderAnswer::Accepted | OrderAnswer::Done) => {}
            SendOutcome::Answered(_) | SendOutcome::NotSent => {
                self.unanswered.remove(order)
            }
        }
        if order.started_unix_ms != self.born_ms {
            // Which start has answered is not said, so what is held is not known.
            self.known = false;
            return;
        }
        self.in_flight = None;
        match sent {
            SendOutcome::Answered(OrderAnswer::Accepted) => {
                self.apply_accepted(now, order, false);
            }
            SendOutcome::Answered(OrderAnswer::Done) => {
                self.apply_accepted(now, order, true)
            }
            SendOutcome::Answered(OrderAnswer::Conflict | OrderAnswer::Refused)
            | SendOutcome::Unanswered => self.known = false,
            SendOutcome::NotSent => {}
        }
    }

    fn expected_ms(&self, engine: &EngineSpec, action: &OrderAction) -> u64 {
        let OrderAction::Load(model) = action else {
            return 0;
        };
        self.load_ms(engine, model)
    }

    /// Time that a load of a model takes from where its weights are.
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

    /// Models on their way, with when they are expected to serve.
    pub fn loading_models(&self) -> impl Iterator<Item = (&Arc<str>, Instant)> {
        let loading = self
            .held
            .iter()
            .filter(|(_, held)| held.phase == Phase::Loading);
        loading.map(|(model, held)| (model, held.ready_at))
    }

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
                // Whether it counted as an order is not said.
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
                    let coming = TrackedAdapter {
                        ready_at: now.plus_ms(ADAPTER_READY_MS),
                        since: now,
                    };
                    held.adapters.insert(Arc::clone(adapter), coming);
                }
            }
            OrderAction::UnloadAdapter(model, adapter) if done => {
                // It is gone at once, and counted as an order.
                self.orders_accepted = order.expected_count + 1;
                if let Some(held) = self.held.get_mut(model) {
                    held.adapters.remove(adapter);
                }
            }
            // It waits for a request that uses it; a report tells when it is
            // gone.
            OrderAction::UnloadAdapter(..) => self.known = false,
        }
    }

    fn track_resident(
        &mut self,
        now: Instant,
        resident: &ResidentModel,
        old: Option<&TrackedModel>,
    ) {
        let adapters = resident.adapters.iter().map(|name| {
            let known = old.and_then(|old| old.adapters.get(name));
            let adapter = TrackedAdapter {
                ready_at: now.min(known.map_or(now, |known| known.ready_at)),
                since: known.map_or(now, |known| known.since),
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

    /// An unload that got no answer is carried out after all. The upstream still lists
    /// the model and refuses all requests for it until what runs there has ended.
    fn begin_unanswered_unload(&mut self, orders_accepted: u64) {
        for model in self
            .unanswered
            .unloads_in_progress(self.born_ms, orders_accepted)
        {
            if let Some(held) = self.held.get_mut(model) {
                held.phase = Phase::Unloading;
            }
        }
    }

    /// Keeps what a busy upstream is loading or unloading.
    fn keep_in_progress(&mut self, kept: BTreeMap<Arc<str>, TrackedModel>) {
        for (model, old) in kept {
            match old.phase {
                Phase::Loading => {
                    self.held.entry(model).or_insert(old);
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
