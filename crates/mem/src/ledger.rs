//! Memory that is, or may come to be, in use on each accelerator.

use crate::{EndedOrder, Placement, ReportedResident, ReserveError, TrackedOrder};
use base::{FencingEpoch, Instant, ModelId};
use schema::store::Intent;
use std::collections::BTreeMap;

/// Memory ledger of one upstream, kept by the agent that issues its orders.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(crate) capacities_mib: Vec<u32>,
    pub(crate) base_by_adapter: BTreeMap<ModelId, ModelId>,
    pub(crate) order_delay_max_ms: Option<u64>,
    pub(crate) upstream_incarnation: Option<u64>,
    pub(crate) last_report_made_at: Instant,
    /// When this agent adopted the intents of its predecessors.
    pub(crate) intents_adopted_at: Instant,
    pub(crate) residents: BTreeMap<Placement, ReportedResident>,
    pub(crate) orders: BTreeMap<u64, TrackedOrder>,
    /// Loads that have ended but of which another copy may still be in flight.
    /// The upstream ignores a copy by its order number until a restart makes it
    /// forget the numbers, so these loads count until no copy can be in flight.
    pub(crate) copies_in_flight: Vec<TrackedOrder>,
}

impl Ledger {
    /// Creates the ledger of an upstream of which nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the capacity of each accelerator in MiB, the base model of each
    /// adapter, and the longest time in milliseconds after which an order that
    /// was sent can still take effect.
    pub fn configure(
        &mut self,
        capacities_mib: &[u32],
        base_by_adapter: BTreeMap<ModelId, ModelId>,
        order_delay_max_ms: u32,
    ) {
        self.capacities_mib = capacities_mib.to_vec();
        self.base_by_adapter = base_by_adapter;
        self.order_delay_max_ms = Some(u64::from(order_delay_max_ms));
    }

    /// Number of accelerators.
    pub fn accelerators(&self) -> u32 {
        u32::try_from(self.capacities_mib.len()).unwrap_or(u32::MAX)
    }

    /// Capacity of an accelerator in MiB; 0 if it does not exist.
    pub fn capacity_mib(&self, accelerator: u32) -> u64 {
        let capacity = self.capacities_mib.get(accelerator as usize);
        u64::from(capacity.copied().unwrap_or(0))
    }

    /// Memory on an accelerator that is or may come to be in use, in MiB.
    ///
    /// It can exceed the capacity only if the upstream itself reports more, or
    /// while the last report is older than the adopted intents and still
    /// contains what a predecessor has since unloaded. Nothing is reserved in
    /// either case.
    pub fn in_use_mib(&self, accelerator: u32) -> u64 {
        let mut sizes: BTreeMap<&Placement, u32> = BTreeMap::new();
        for resident in self.residents.values() {
            let size = sizes.entry(&resident.placement).or_default();
            *size = (*size).max(resident.size_mib);
        }
        let loads = self.orders.values().filter(|order| order.load);
        for order in loads.chain(&self.copies_in_flight) {
            let size = sizes.entry(&order.placement).or_default();
            *size = (*size).max(order.size_mib);
        }
        let on_accelerator = sizes
            .iter()
            .filter(|(placement, _)| placement.accelerator == accelerator);
        on_accelerator.map(|(_, size)| u64::from(*size)).sum()
    }

    /// Residents in the upstream's last report, ordered by placement.
    pub fn residents(&self) -> impl Iterator<Item = &ReportedResident> {
        self.residents.values()
    }

    /// Finds a resident in the upstream's last report.
    pub fn resident(&self, placement: &Placement) -> Option<&ReportedResident> {
        self.residents.get(placement)
    }

    /// Orders that may still take effect, ordered by number.
    pub fn orders(&self) -> impl Iterator<Item = &TrackedOrder> {
        self.orders.values()
    }

    /// Finds an order that may still take effect.
    pub fn order(&self, id: u64) -> Option<&TrackedOrder> {
        self.orders.get(&id)
    }

    /// Intents to store in the record of the agent whose link address is
    /// `own_address`.
    pub fn intents(&self, own_address: &str) -> Vec<Intent> {
        let orders = self.orders.values().chain(&self.copies_in_flight);
        orders.map(|order| order.intent(own_address)).collect()
    }

    /// Upstream incarnation in the last report.
    pub const fn upstream_incarnation(&self) -> Option<u64> {
        self.upstream_incarnation
    }

    /// Tracks the orders that the intents of predecessors describe.
    ///
    /// A predecessor removes an intent once its order has ended. A report made
    /// before `now` may not contain the effect of such an order, so nothing is
    /// reserved until a later report arrives.
    pub fn adopt_intents(&mut self, now: Instant, intents: &[Intent]) {
        self.intents_adopted_at = now;
        for intent in intents {
            let order = TrackedOrder::from_intent(intent, now);
            self.orders.entry(order.id).or_insert(order);
        }
    }

    /// Records that the agent of `epoch` is dead: its orders can take effect
    /// for the longest order delay from `now` at most.
    ///
    /// Its intents pass to `inheritor`, the agent that knows of the death. If
    /// the inheritor dies too, its successor only has to find out whether the
    /// inheritor is dead.
    pub fn issuer_died(
        &mut self,
        now: Instant,
        epoch: FencingEpoch,
        inheritor: FencingEpoch,
    ) {
        let issued_by_epoch = |order: &&mut TrackedOrder| order.epoch == epoch;
        for order in self.orders.values_mut().filter(issued_by_epoch) {
            order.no_send_after = Some(now);
            order.inherited_by = Some(inheritor);
        }
    }

    /// Predecessors that may still be alive and whose orders count, with their
    /// link addresses. An address is empty if it is unknown.
    pub fn issuers_not_known_dead(&self) -> BTreeMap<FencingEpoch, &str> {
        let not_known_dead = self
            .orders
            .values()
            .filter(|order| order.adopted && order.no_send_after.is_none());
        not_known_dead
            .map(|order| (order.epoch, order.issuer_address.as_str()))
            .collect()
    }

    /// Reserves the memory that an order needs, before the order is sent.
    ///
    /// # Errors
    ///
    /// Nothing is reserved if the order could overcommit the accelerator or
    /// leave an adapter without its base model.
    pub fn reserve(
        &mut self,
        id: u64,
        epoch: FencingEpoch,
        load: bool,
        placement: &Placement,
        size_mib: u32,
    ) -> Result<(), ReserveError> {
        if !self.has_current_report() {
            return Err(ReserveError::NoCurrentReport);
        }
        if load {
            self.check_load(placement, size_mib)?;
        } else {
            self.check_unload(epoch, placement)?;
        }
        let order = TrackedOrder {
            id,
            epoch,
            load,
            placement: placement.clone(),
            size_mib,
            upstream_incarnation: self.upstream_incarnation.unwrap_or(0),
            send_count: 0,
            sent_at: Instant::ZERO,
            accepted: false,
            in_progress: false,
            adopted: false,
            issuer_address: String::new(),
            inherited_by: None,
            no_send_after: None,
        };
        self.orders.insert(id, order);
        Ok(())
    }

    fn check_load(
        &self,
        placement: &Placement,
        size_mib: u32,
    ) -> Result<(), ReserveError> {
        let accelerator = placement.accelerator;
        if accelerator >= self.accelerators() {
            return Err(ReserveError::UnknownAccelerator);
        }
        if self.pending_orders(placement).next().is_some() {
            return Err(ReserveError::OrderPending);
        }
        if self.residents.contains_key(placement) {
            return Err(ReserveError::NothingToDo);
        }
        if let Some(base) = self.base_by_adapter.get(&placement.model)
            && !self.base_remains_loaded(accelerator, base)
        {
            return Err(ReserveError::BaseNotLoaded);
        }
        let needed = self.in_use_mib(accelerator) + u64::from(size_mib);
        if needed > self.capacity_mib(accelerator) {
            return Err(ReserveError::InsufficientMemory);
        }
        Ok(())
    }

    fn check_unload(
        &self,
        epoch: FencingEpoch,
        placement: &Placement,
    ) -> Result<(), ReserveError> {
        if !self.residents.contains_key(placement) {
            return Err(ReserveError::NothingToDo);
        }
        // An unload can be sent while one of a predecessor is pending, because
        // the model is removed only once.
        let blocks = |order: &TrackedOrder| order.load || order.epoch == epoch;
        if self.pending_orders(placement).any(blocks) {
            return Err(ReserveError::OrderPending);
        }
        if self.adapter_depends_on(placement) {
            return Err(ReserveError::BaseInUse);
        }
        Ok(())
    }

    fn pending_orders<'a>(
        &'a self,
        placement: &'a Placement,
    ) -> impl Iterator<Item = &'a TrackedOrder> {
        let orders = self.orders.values();
        orders.filter(move |order| order.placement == *placement)
    }

    /// Whether a version of the base model is loaded on the accelerator and not
    /// being unloaded.
    fn base_remains_loaded(&self, accelerator: u32, base: &ModelId) -> bool {
        self.residents.values().any(|resident| {
            let placement = &resident.placement;
            placement.accelerator == accelerator
                && placement.model == *base
                && resident.loaded
                && self.pending_orders(placement).all(|order| order.load)
        })
    }

    fn adapter_depends_on(&self, base: &Placement) -> bool {
        let on_base = |placement: &Placement| {
            placement.accelerator == base.accelerator
                && self.base_by_adapter.get(&placement.model) == Some(&base.model)
        };
        let mut loads = self.orders.values().filter(|order| order.load);
        self.residents.keys().any(on_base)
            || loads.any(|order| on_base(&order.placement))
    }

    /// Records that the order was sent to the upstream once more.
    pub fn mark_sent(&mut self, now: Instant, id: u64) {
        if let Some(order) = self.orders.get_mut(&id) {
            order.send_count = order.send_count.saturating_add(1);
            order.sent_at = now;
        }
    }

    /// Records that the upstream has accepted the order and will carry it out.
    pub fn mark_accepted(&mut self, id: u64) {
        if let Some(order) = self.orders.get_mut(&id) {
            order.accepted = true;
        }
    }

    /// Ends an order that the upstream refused.
    ///
    /// If an earlier copy of a load went unanswered, that copy may still take
    /// effect, so the load counts until no copy can be in flight.
    pub fn mark_refused(&mut self, now: Instant, id: u64) -> Option<EndedOrder> {
        self.end_order(now, id, false)
    }

    /// Removes an order that was reserved and never sent.
    pub fn cancel_unsent(&mut self, id: u64) {
        if self
            .orders
            .get(&id)
            .is_some_and(|order| order.send_count == 0)
        {
            self.orders.remove(&id);
        }
    }
}
