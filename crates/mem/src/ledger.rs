//! Memory in use on each accelerator.

use crate::{Blocked, OrderEnd, Placement, ReportedResident, TrackedOrder};
use base::{FencingEpoch, Instant, ModelId};
use schema::store::Intent;
use std::collections::BTreeMap;

/// The memory ledger of one upstream.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(crate) capacities_mib: Vec<u32>,
    pub(crate) bases: BTreeMap<ModelId, ModelId>,
    pub(crate) order_delay_max_ms: Option<u64>,
    pub(crate) upstream_incarnation: Option<u64>,
    pub(crate) reported_at: Instant,
    /// When the intents of predecessors were taken in.
    pub(crate) adopted_at: Instant,
    pub(crate) residents: BTreeMap<Placement, ReportedResident>,
    pub(crate) orders: BTreeMap<u64, TrackedOrder>,
    /// Loads that have ended, of which further copies may be under way. The
    /// upstream drops those by their number, but a restart makes it forget the
    /// numbers; so they count until none can be under way.
    pub(crate) copies: Vec<TrackedOrder>,
}

impl Ledger {
    /// A ledger of an upstream of which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the capacities in MiB, the base of each adapter, and the longest
    /// time after which an order can still take effect.
    pub fn configure(
        &mut self,
        capacities_mib: &[u32],
        bases: BTreeMap<ModelId, ModelId>,
        order_delay_max_ms: u32,
    ) {
        self.capacities_mib = capacities_mib.to_vec();
        self.bases = bases;
        self.order_delay_max_ms = Some(u64::from(order_delay_max_ms));
    }

    /// Number of accelerators.
    pub fn accelerators(&self) -> u32 {
        u32::try_from(self.capacities_mib.len()).unwrap_or(u32::MAX)
    }

    /// Memory of an accelerator in MiB; 0 if there is none.
    pub fn capacity_mib(&self, accelerator: u32) -> u64 {
        let held = self.capacities_mib.get(accelerator as usize);
        u64::from(held.copied().unwrap_or(0))
    }

    /// Memory that is or may come to be in use on an accelerator, in MiB.
    ///
    /// It exceeds the capacity only if the upstream itself shows more, or while
    /// no report is current and an older one still shows what a predecessor had
    /// unloaded; nothing is reserved then.
    pub fn in_use_mib(&self, accelerator: u32) -> u64 {
        let mut sizes: BTreeMap<&Placement, u32> = BTreeMap::new();
        for resident in self.residents.values() {
            let held = sizes.entry(&resident.placement).or_default();
            *held = (*held).max(resident.size_mib);
        }
        let loads = self.orders.values().filter(|order| order.load);
        for order in loads.chain(&self.copies) {
            let held = sizes.entry(&order.placement).or_default();
            *held = (*held).max(order.size_mib);
        }
        let here = sizes
            .iter()
            .filter(|(placement, _)| placement.accelerator == accelerator);
        here.map(|(_, size)| u64::from(*size)).sum()
    }

    /// Residents that the upstream shows, in order.
    pub fn residents(&self) -> impl Iterator<Item = &ReportedResident> {
        self.residents.values()
    }

    /// Finds a resident that the upstream shows.
    pub fn resident(&self, placement: &Placement) -> Option<&ReportedResident> {
        self.residents.get(placement)
    }

    /// Orders that may still take effect, in order of number.
    pub fn orders(&self) -> impl Iterator<Item = &TrackedOrder> {
        self.orders.values()
    }

    /// Finds an order that may still take effect.
    pub fn order(&self, id: u64) -> Option<&TrackedOrder> {
        self.orders.get(&id)
    }

    /// The intents that the record of the agent at `own_address` has to hold.
    pub fn intents(&self, own_address: &str) -> Vec<Intent> {
        let orders = self.orders.values().chain(&self.copies);
        orders.map(|order| order.intent(own_address)).collect()
    }

    /// Upstream incarnation of the last report.
    pub const fn upstream_incarnation(&self) -> Option<u64> {
        self.upstream_incarnation
    }

    /// Counts the intents of predecessors.
    ///
    /// The record no longer holds what a predecessor saw to its end. A report
    /// made before this moment may not show that either, so no order is
    /// reserved until a later one has come.
    pub fn adopt(&mut self, now: Instant, intents: &[Intent]) {
        self.adopted_at = now;
        for intent in intents {
            let order = TrackedOrder::adopted(intent, now);
            self.orders.entry(order.id).or_insert(order);
        }
    }

    /// The agent of `epoch` is known dead: what it gave can take effect for the
    /// longest order delay at most.
    ///
    /// Its intents pass to `heir`, the agent that knows it: should that die too,
    /// its successor has only to find out about the heir.
    pub fn giver_died(
        &mut self,
        now: Instant,
        epoch: FencingEpoch,
        heir: FencingEpoch,
    ) {
        let theirs = |order: &&mut TrackedOrder| order.epoch == epoch;
        for order in self.orders.values_mut().filter(theirs) {
            order.ends_from = Some(now);
            order.heir = Some(heir);
        }
    }

    /// Predecessors that are not known dead and whose orders count, each with
    /// its link address as far as that is known.
    pub fn givers(&self) -> BTreeMap<FencingEpoch, &str> {
        let open = self
            .orders
            .values()
            .filter(|order| order.adopted && order.ends_from.is_none());
        open.map(|order| (order.epoch, order.giver_address.as_str()))
            .collect()
    }

    /// Reserves what an order needs, before it is given.
    ///
    /// # Errors
    ///
    /// Nothing is reserved if the order could overcommit the accelerator, or
    /// leave an adapter without its base.
    pub fn reserve(
        &mut self,
        id: u64,
        epoch: FencingEpoch,
        load: bool,
        placement: &Placement,
        size_mib: u32,
    ) -> Result<(), Blocked> {
        if !self.is_current() {
            return Err(Blocked::Unseen);
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
            sends: 0,
            sent_at: Instant::ZERO,
            accepted: false,
            in_progress: false,
            adopted: false,
            giver_address: String::new(),
            heir: None,
            ends_from: None,
        };
        self.orders.insert(id, order);
        Ok(())
    }

    fn check_load(&self, placement: &Placement, size_mib: u32) -> Result<(), Blocked> {
        let accelerator = placement.accelerator;
        if accelerator >= self.accelerators() {
            return Err(Blocked::NoAccelerator);
        }
        if self.pending(placement).next().is_some() {
            return Err(Blocked::Pending);
        }
        if self.residents.contains_key(placement) {
            return Err(Blocked::Nothing);
        }
        if let Some(base) = self.bases.get(&placement.model)
            && !self.base_stays(accelerator, base)
        {
            return Err(Blocked::NoBase);
        }
        let needed = self.in_use_mib(accelerator) + u64::from(size_mib);
        if needed > self.capacity_mib(accelerator) {
            return Err(Blocked::NoRoom);
        }
        Ok(())
    }

    fn check_unload(
        &self,
        epoch: FencingEpoch,
        placement: &Placement,
    ) -> Result<(), Blocked> {
        if !self.residents.contains_key(placement) {
            return Err(Blocked::Nothing);
        }
        // A predecessor's unload need not be waited for: the model leaves once.
        let blocks = |order: &TrackedOrder| order.load || order.epoch == epoch;
        if self.pending(placement).any(blocks) {
            return Err(Blocked::Pending);
        }
        if self.adapter_stands_on(placement) {
            return Err(Blocked::UnderAdapter);
        }
        Ok(())
    }

    fn pending<'a>(
        &'a self,
        placement: &'a Placement,
    ) -> impl Iterator<Item = &'a TrackedOrder> {
        let orders = self.orders.values();
        orders.filter(move |order| order.placement == *placement)
    }

    /// A version of the base is loaded there and no unload of it is under way.
    fn base_stays(&self, accelerator: u32, base: &ModelId) -> bool {
        self.residents.values().any(|resident| {
            let placement = &resident.placement;
            placement.accelerator == accelerator
                && placement.model == *base
                && resident.loaded
                && self.pending(placement).all(|order| order.load)
        })
    }

    fn adapter_stands_on(&self, base: &Placement) -> bool {
        let on_base = |placement: &Placement| {
            placement.accelerator == base.accelerator
                && self.bases.get(&placement.model) == Some(&base.model)
        };
        let mut loads = self.orders.values().filter(|order| order.load);
        self.residents.keys().any(on_base)
            || loads.any(|order| on_base(&order.placement))
    }

    /// The order was given to the upstream.
    pub fn given(&mut self, now: Instant, id: u64) {
        if let Some(order) = self.orders.get_mut(&id) {
            order.sends = order.sends.saturating_add(1);
            order.sent_at = now;
        }
    }

    /// The upstream will carry the order out.
    pub fn accepted(&mut self, id: u64) {
        if let Some(order) = self.orders.get_mut(&id) {
            order.accepted = true;
        }
    }

    /// The upstream refused the order.
    ///
    /// If an earlier copy of a load went unanswered, that copy may be the one
    /// which takes effect; it counts until none can be under way.
    pub fn refused(&mut self, now: Instant, id: u64) -> Option<OrderEnd> {
        self.end(now, id, false)
    }

    /// Forgets an order that was reserved and never given.
    pub fn withdraw(&mut self, id: u64) {
        if self.orders.get(&id).is_some_and(|order| order.sends == 0) {
            self.orders.remove(&id);
        }
    }
}
