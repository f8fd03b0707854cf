//! Load and unload orders: planned from the planner's target and tracked until
//! their end.
//!
//! An order passes through these steps, each with its own safeguard:
//!
//! 1. The ledger reserves memory; a load that could overcommit is not started.
//! 2. Its intent is written into the agent's record, conditional on the version
//!    last seen; an agent that was replaced gets no further.
//! 3. It is sent to the upstream with the agent's epoch as fencing epoch.
//! 4. It stays counted until the upstream shows its end, and is resent under
//!    the same number while no answer comes.

use super::{AgentAction, AgentRole, Order, OrderAnswer, timeline};
use base::prelude::*;
use mem::{EndedOrder, Placement, ReserveError, TrackedOrder};
use schema::link::Target;
use schema::timeline::EventKind;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an unanswered order is resent.
const RESEND_INTERVAL_MS: u64 = 1_000;

/// Time for which a refused order is not planned again.
const REFUSED_RETRY_DELAY_MS: u64 = 2_000;

/// Time after which ended intents are removed from the record, if no new intent
/// was written before.
const RECORD_CLEANUP_DELAY_MS: u64 = 5_000;

/// Low bits of an order number that count within one epoch; the epoch is in the
/// bits above.
const ORDER_SEQUENCE_BITS: u32 = 32;

/// State of this agent's orders besides the ledger.
#[derive(Debug, Default)]
pub(super) struct Orders {
    /// Number of the last order within the epoch.
    sequence: u64,
    /// When each order is resent, by order number.
    resend_at: BTreeMap<u64, Instant>,
    /// Refused orders (placement, and whether it was a load), and until when
    /// they are not planned again.
    refused_until: BTreeMap<(Placement, bool), Instant>,
    /// Residents to unload as soon as no attempt runs on them.
    pending_unloads: BTreeSet<Placement>,
    /// When ended intents are removed from the record.
    cleanup_at: Option<Instant>,
}

impl Orders {
    /// Whether a model version waits to be unloaded from some accelerator.
    pub(super) fn is_unload_pending(&self, model: &str, version: u32) -> bool {
        self.pending_unloads.iter().any(|placement| {
            placement.model.as_str() == model && placement.version == version
        })
    }

    /// Whether a resident waits to be unloaded.
    pub(super) fn is_unload_pending_at(&self, placement: &Placement) -> bool {
        self.pending_unloads.contains(placement)
    }

    /// Drops all pending work; order numbers continue.
    pub(super) fn clear(&mut self) {
        *self = Self {
            sequence: self.sequence,
            ..Self::default()
        };
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let resend_at = self.resend_at.values().copied();
        let refused = self.refused_until.values().copied();
        resend_at.chain(refused).chain(self.cleanup_at).min()
    }

    const fn next_id(&self, epoch: FencingEpoch) -> u64 {
        (epoch.0 << ORDER_SEQUENCE_BITS) | (self.sequence + 1)
    }
}

impl AgentRole {
    pub(super) fn on_target(&mut self, now: Instant, target: &Target) {
        let heartbeat_ms = self.heartbeat_ms();
        if target.agent_incarnation != self.options.incarnation.0 {
            self.counters.frames_dropped += 1;
            return;
        }
        self.targets.accept(now, target, heartbeat_ms);
    }

    /// Whether this agent has an unload of the placement in progress.
    pub(super) fn is_being_unloaded(&self, placement: &Placement) -> bool {
        let epoch = self.record.epoch();
        self.ledger.orders().any(|order| {
            !order.load && order.epoch == epoch && order.placement == *placement
        })
    }

    /// Plans new orders, sends those whose intents are recorded, resends those
    /// whose end is not reported, and writes the record.
    pub(super) fn advance_orders(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        self.orders.refused_until.retain(|_, until| *until > now);
        if !self.is_engine() || self.record.is_fenced() {
            return;
        }
        if self.drain.is_some() || !self.upstream.is_up() {
            self.withdraw_unrecorded();
            self.orders.pending_unloads.clear();
        } else {
            self.plan_orders(now);
            self.send_recorded_orders(now, out);
        }
        self.resend_orders(now, out);
        self.write_record(now, out);
    }

    /// Reserves the loads and unloads that lead to the followed planner's target.
    fn plan_orders(&mut self, now: Instant) {
        self.orders.pending_unloads.clear();
        // Plan nothing that could not be carried out: while the platform is
        // unreachable, all models stay loaded and keep serving.
        if !self.record.is_writable(now)
            || self.upstream.highest_fencing_epoch() > self.record.epoch().0
        {
            return;
        }
        let heartbeat_ms = self.heartbeat_ms();
        let Some(wanted) = self.targets.wanted(now, heartbeat_ms) else {
            return;
        };
        let wanted = wanted.to_vec();
        self.plan_loads(&wanted);
        self.plan_unloads(&wanted);
    }

    /// Reserves loads of the wanted models, base models before adapters.
    fn plan_loads(&mut self, wanted: &[Placement]) {
        let (adapters, bases): (Vec<_>, Vec<_>) = wanted
            .iter()
            .partition(|placement| self.base_of(&placement.model).is_some());
        for placement in bases.into_iter().chain(adapters) {
            if let Some(size_mib) = self.loadable_size_mib(placement) {
                // What does not fit now is planned again after the next event.
                let _ = self.reserve(true, placement, size_mib);
            }
        }
    }

    /// Size of a wanted model, if it belongs to this agent's pool.
    fn loadable_size_mib(&self, placement: &Placement) -> Option<u32> {
        let spec = self.config()?.model(placement.model.as_str())?;
        (spec.pool == self.options.pool).then_some(spec.size_mib)
    }

    fn base_of(&self, model: &ModelId) -> Option<ModelId> {
        let spec = self.config()?.model(model.as_str())?;
        spec.base.clone()
    }

    /// Reserves unloads of the residents that are not wanted, once no attempt
    /// runs on them.
    fn plan_unloads(&mut self, wanted: &[Placement]) {
        let loaded: Vec<(Placement, u32)> = self
            .ledger
            .residents()
            .filter(|resident| resident.loaded)
            .map(|resident| (resident.placement.clone(), resident.size_mib))
            .collect();
        for (placement, size_mib) in loaded {
            if self.must_stay(&placement, wanted) || self.is_being_unloaded(&placement)
            {
                continue;
            }
            // Attempts still run on it, so it is unloaded after the last one. The
            // unwanted resident may be new: a load that was in progress when the
            // target changed still completes.
            if self
                .attempts
                .any_for_model(&placement.model, placement.version)
            {
                self.orders.pending_unloads.insert(placement);
                continue;
            }
            let _ = self.reserve(false, &placement, size_mib);
        }
    }

    /// Whether a resident must stay: it is wanted, it is the base of a wanted
    /// adapter, or its newer version is being loaded beside it.
    fn must_stay(&self, placement: &Placement, wanted: &[Placement]) -> bool {
        if wanted.contains(placement) {
            return true;
        }
        let on_same_accelerator = wanted
            .iter()
            .filter(|other| other.accelerator == placement.accelerator);
        let is_base = |other: &Placement| {
            self.base_of(&other.model).as_ref() == Some(&placement.model)
        };
        let is_being_replaced = |other: &Placement| {
            other.model == placement.model
                && self
                    .ledger
                    .orders()
                    .any(|order| order.load && order.placement == *other)
        };
        on_same_accelerator
            .into_iter()
            .any(|other| is_base(other) || is_being_replaced(other))
    }

    /// Reserves memory for a new order in the ledger, unless the same order was
    /// refused a short time ago.
    fn reserve(
        &mut self,
        load: bool,
        placement: &Placement,
        size_mib: u32,
    ) -> Result<(), ReserveError> {
        if self
            .orders
            .refused_until
            .contains_key(&(placement.clone(), load))
        {
            return Err(ReserveError::OrderPending);
        }
        let epoch = self.record.epoch();
        let id = self.orders.next_id(epoch);
        self.ledger.reserve(id, epoch, load, placement, size_mib)?;
        self.orders.sequence += 1;
        Ok(())
    }

    /// Sends the orders whose intents are in the record.
    fn send_recorded_orders(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if !self.record.is_confirmed() {
            return;
        }
        let ready = self.ledger.orders().filter(|order| {
            order.send_count == 0 && self.record.contains_intent(order.id)
        });
        let ids: Vec<u64> = ready.map(|order| order.id).collect();
        for id in ids {
            if self.no_longer_fits(id) {
                self.ledger.cancel_unsent(id);
            } else {
                self.send_order(now, id, out);
            }
        }
    }

    /// Whether a reserved load no longer fits, because the upstream has since
    /// reported memory that this agent did not order.
    fn no_longer_fits(&self, id: u64) -> bool {
        self.ledger.order(id).is_some_and(|order| {
            let accelerator = order.placement.accelerator;
            let capacity_mib = self.ledger.capacity_mib(accelerator);
            order.load && self.ledger.in_use_mib(accelerator) > capacity_mib
        })
    }

    fn send_order(&mut self, now: Instant, id: u64, out: &mut Vec<AgentAction>) {
        let Some(order) = self.ledger.order(id) else {
            return;
        };
        let kind = if order.load {
            EventKind::ModelLoadOrdered
        } else {
            EventKind::ModelUnloadOrdered
        };
        let model = order.placement.model.as_str();
        let detail = format!("order {id:x}, copy {}", order.send_count + 1);
        timeline::model_event(kind, model, detail, out);
        out.push(AgentAction::SendOrder(self.order_message(order)));
        self.ledger.mark_sent(now, id);
        self.counters.orders += 1;
        let timeout_ms = self.order_timeout_ms();
        self.orders.resend_at.insert(id, now.plus_ms(timeout_ms));
    }

    fn order_message(&self, order: &TrackedOrder) -> Order {
        Order {
            id: order.id,
            fencing_epoch: self.record.epoch(),
            load: order.load,
            model: order.placement.model.clone(),
            version: order.placement.version,
            base: self.base_of(&order.placement.model),
            accelerator: order.placement.accelerator,
            size_mib: order.size_mib,
        }
    }

    /// How long an accepted order may be missing from the upstream's reports
    /// before it is resent.
    fn order_timeout_ms(&self) -> u64 {
        let delay_ms = self.pool().map_or(0, |pool| pool.order_delay_max_ms);
        RESEND_INTERVAL_MS.max(u64::from(delay_ms)) + 2 * self.heartbeat_ms()
    }

    /// Resends orders whose end is not reported.
    ///
    /// The order number is the same, so the upstream carries out at most one
    /// copy.
    fn resend_orders(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        let ledger = &self.ledger;
        self.orders.resend_at.retain(|id, _| {
            ledger
                .order(*id)
                .is_some_and(|order| order.no_send_after.is_none())
        });
        let due = self.orders.resend_at.iter().filter(|(_, at)| **at <= now);
        let ids: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in ids {
            let not_in_progress = self
                .ledger
                .order(id)
                .is_some_and(|order| !order.in_progress);
            let can_send = self.record.is_confirmed() && self.upstream.is_up();
            if not_in_progress && can_send && self.record.contains_intent(id) {
                self.send_order(now, id, out);
            } else {
                self.orders
                    .resend_at
                    .insert(id, now.plus_ms(RESEND_INTERVAL_MS));
            }
        }
    }

    /// Writes the record if it lacks an intent, or if the removal of ended
    /// intents is due.
    fn write_record(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        let intents = self.ledger.intents(&self.options.link_address);
        let has_ended_intents = self
            .record
            .intents()
            .iter()
            .any(|intent| !intents.contains(intent));
        let cleanup_at = self
            .orders
            .cleanup_at
            .unwrap_or(now.plus_ms(RECORD_CLEANUP_DELAY_MS));
        self.orders.cleanup_at = has_ended_intents.then_some(cleanup_at);
        let cleanup_due = has_ended_intents && cleanup_at <= now;
        if !self.record.is_writable(now) || self.record.has_call_in_flight() {
            // The record can't be written now, so the cleanup is postponed: the
            // state machine's `due` ignores a time in the past.
            if cleanup_due {
                self.orders.cleanup_at = Some(now.plus_ms(RESEND_INTERVAL_MS));
            }
            return;
        }
        // An intent inherited from a predecessor is written at once, too.
        let recorded = self.record.intents();
        let unrecorded = intents.iter().any(|intent| !recorded.contains(intent));
        if unrecorded || cleanup_due {
            self.orders.cleanup_at = None;
            self.record.write(now, intents, &mut self.client, out);
        }
    }

    pub(super) fn on_order_answer(
        &mut self,
        now: Instant,
        id: u64,
        answer: OrderAnswer,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(order) = self.ledger.order(id) else {
            return;
        };
        let placement = order.placement.clone();
        let load = order.load;
        match answer {
            OrderAnswer::Accepted => {
                self.ledger.mark_accepted(id);
                let timeout_ms = self.order_timeout_ms();
                self.orders.resend_at.insert(id, now.plus_ms(timeout_ms));
            }
            OrderAnswer::Unanswered => {
                self.counters.orders_unanswered += 1;
                let model = placement.model.as_str();
                let detail = format!("order {id:x}");
                timeline::model_event(EventKind::OrderUnanswered, model, detail, out);
                self.orders
                    .resend_at
                    .insert(id, now.plus_ms(RESEND_INTERVAL_MS));
            }
            OrderAnswer::Refused | OrderAnswer::Fenced => {
                self.counters.orders_refused += 1;
                let until = now.plus_ms(REFUSED_RETRY_DELAY_MS);
                self.orders.refused_until.insert((placement, load), until);
                self.ledger.mark_refused(now, id);
                if answer == OrderAnswer::Fenced {
                    self.record.require_read();
                }
            }
        }
    }

    pub(super) fn on_orders_ended(
        &mut self,
        ended: Vec<EndedOrder>,
        out: &mut Vec<AgentAction>,
    ) {
        for order in ended {
            self.orders.resend_at.remove(&order.id);
            let kind = match (order.took_effect, order.load) {
                (false, _) => continue,
                (true, true) => EventKind::ModelLoaded,
                (true, false) => EventKind::ModelUnloaded,
            };
            match order.load {
                true => self.counters.loads += 1,
                false => self.counters.unloads += 1,
            }
            let detail = format!("order {:x}", order.id);
            timeline::model_event(kind, order.placement.model.as_str(), detail, out);
        }
    }
}
