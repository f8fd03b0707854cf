//! From the planner's target to orders, and what becomes of them.
//!
//! An order passes through these steps, and each has a safeguard of its own:
//!
//! 1. The ledger reserves: what could overcommit is not begun.
//! 2. Its intent is written into the agent's record on condition that nobody
//!    else has written: a replaced agent gets no further.
//! 3. It is given to the upstream under the agent's epoch.
//! 4. Until the upstream shows its end it stays counted, and is given again
//!    under the same number while it is unanswered.

use super::{AgentAction, AgentRole, Order, OrderAnswer, trace};
use base::prelude::*;
use mem::{Blocked, OrderEnd, Placement, TrackedOrder};
use schema::link::Target;
use schema::timeline::EventKind;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an order without an answer is given again.
const RESEND_MS: u64 = 1_000;

/// Time for which an order that was refused is not tried anew.
const REFUSED_MS: u64 = 2_000;

/// Time after which intents that have ended are taken out of the record, if no
/// order has done so before.
const TIDY_MS: u64 = 5_000;

/// Orders of one epoch are numbered within this many bits.
const EPOCH_SHIFT: u32 = 32;

/// What the agent remembers of its orders besides the ledger.
#[derive(Debug, Default)]
pub(super) struct Orders {
    sequence: u64,
    /// When an order is given again.
    resend: BTreeMap<u64, Instant>,
    /// Placements of refused orders, until when they are left alone.
    refused: BTreeMap<(Placement, bool), Instant>,
    /// Residents that are to go as soon as no attempt runs on them.
    retiring: BTreeSet<Placement>,
    /// When ended intents are taken out of the record.
    tidy_at: Option<Instant>,
}

impl Orders {
    /// Whether a copy of a version waits to be unloaded.
    pub(super) fn is_retiring(&self, model: &str, version: u32) -> bool {
        self.retiring.iter().any(|placement| {
            placement.model.as_str() == model && placement.version == version
        })
    }

    pub(super) fn is_retiring_at(&self, placement: &Placement) -> bool {
        self.retiring.contains(placement)
    }

    /// Gives up what was to be done.
    pub(super) fn clear(&mut self) {
        *self = Self {
            sequence: self.sequence,
            ..Self::default()
        };
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let resend = self.resend.values().copied();
        let refused = self.refused.values().copied();
        resend.chain(refused).chain(self.tidy_at).min()
    }

    const fn next_id(&self, epoch: Epoch) -> u64 {
        (epoch.0 << EPOCH_SHIFT) | (self.sequence + 1)
    }
}

impl AgentRole {
    pub(super) fn target(&mut self, now: Instant, target: &Target) {
        let heartbeat_ms = self.heartbeat_ms();
        if target.agent_incarnation != self.options.incarnation.0 {
            self.counters.frames_dropped += 1;
            return;
        }
        self.targets.hear(now, target, heartbeat_ms);
    }

    /// An unload of our own is under way there.
    pub(super) fn is_being_unloaded(&self, placement: &Placement) -> bool {
        let epoch = self.record.epoch();
        self.ledger.orders().any(|order| {
            !order.load && order.epoch == epoch && order.placement == *placement
        })
    }

    /// Takes all orders one step further.
    pub(super) fn advance_orders(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        self.orders.refused.retain(|_, until| *until > now);
        if !self.is_engine() || self.record.is_fenced() {
            return;
        }
        if self.drain.is_some() || !self.upstream.is_up() {
            self.withdraw_unrecorded();
            self.orders.retiring.clear();
        } else {
            self.plan_orders(now);
            self.give_recorded(now, out);
        }
        self.resend(now, out);
        self.write_record(now, out);
    }

    fn plan_orders(&mut self, now: Instant) {
        self.orders.retiring.clear();
        // Nothing is begun that could not be carried out: while the platform is
        // away all models stay, and stay served.
        if !self.record.is_writable(now)
            || self.upstream.fence() > self.record.epoch().0
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

    fn plan_loads(&mut self, wanted: &[Placement]) {
        let (adapters, bases): (Vec<_>, Vec<_>) = wanted
            .iter()
            .partition(|placement| self.base_of(&placement.model).is_some());
        for placement in bases.into_iter().chain(adapters) {
            if let Some(size_mib) = self.loadable_mib(placement) {
                // What does not fit now is tried again after the next event.
                let _ = self.reserve(true, placement, size_mib);
            }
        }
    }

    /// Size of a wanted model that the pool may hold.
    fn loadable_mib(&self, placement: &Placement) -> Option<u32> {
        let spec = self.config()?.model(placement.model.as_str())?;
        (spec.pool == self.options.pool).then_some(spec.size_mib)
    }

    fn base_of(&self, model: &ModelId) -> Option<ModelId> {
        let spec = self.config()?.model(model.as_str())?;
        spec.base.clone()
    }

    fn plan_unloads(&mut self, wanted: &[Placement]) {
        let held: Vec<(Placement, u32)> = self
            .ledger
            .residents()
            .filter(|resident| resident.loaded)
            .map(|resident| (resident.placement.clone(), resident.size_mib))
            .collect();
        for (placement, size_mib) in held {
            if self.stays(&placement, wanted) || self.is_being_unloaded(&placement) {
                continue;
            }
            // A load that was under way when the target changed may still come.
            if self.attempts.any_on(&placement.model, placement.version) {
                self.orders.retiring.insert(placement);
                continue;
            }
            let _ = self.reserve(false, &placement, size_mib);
        }
    }

    /// Whether a resident stays: it is wanted, it is the base of a wanted
    /// adapter, or its newer version is on its way beside it.
    fn stays(&self, placement: &Placement, wanted: &[Placement]) -> bool {
        if wanted.contains(placement) {
            return true;
        }
        let here = wanted
            .iter()
            .filter(|other| other.accelerator == placement.accelerator);
        let is_base = |other: &Placement| {
            self.base_of(&other.model).as_ref() == Some(&placement.model)
        };
        let is_renewed = |other: &Placement| {
            other.model == placement.model
                && self
                    .ledger
                    .orders()
                    .any(|order| order.load && order.placement == *other)
        };
        here.into_iter()
            .any(|other| is_base(other) || is_renewed(other))
    }

    fn reserve(
        &mut self,
        load: bool,
        placement: &Placement,
        size_mib: u32,
    ) -> Result<(), Blocked> {
        if self.orders.refused.contains_key(&(placement.clone(), load)) {
            return Err(Blocked::Pending);
        }
        let epoch = self.record.epoch();
        let id = self.orders.next_id(epoch);
        self.ledger.reserve(id, epoch, load, placement, size_mib)?;
        self.orders.sequence += 1;
        Ok(())
    }

    /// Gives the orders whose intents are in the record.
    fn give_recorded(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        if !self.record.is_sure() {
            return;
        }
        let ready = self
            .ledger
            .orders()
            .filter(|order| order.sends == 0 && self.record.holds(order.id));
        let ids: Vec<u64> = ready.map(|order| order.id).collect();
        for id in ids {
            if self.has_outgrown(id) {
                self.ledger.withdraw(id);
            } else {
                self.give(now, id, out);
            }
        }
    }

    /// The upstream has shown something since the load was reserved that was
    /// nobody's order here, and there is no room for both.
    fn has_outgrown(&self, id: u64) -> bool {
        self.ledger.order(id).is_some_and(|order| {
            let accelerator = order.placement.accelerator;
            let capacity_mib = self.ledger.capacity_mib(accelerator);
            order.load && self.ledger.in_use_mib(accelerator) > capacity_mib
        })
    }

    fn give(&mut self, now: Instant, id: u64, out: &mut Vec<AgentAction>) {
        let Some(order) = self.ledger.order(id) else {
            return;
        };
        let kind = if order.load {
            EventKind::ModelLoadOrdered
        } else {
            EventKind::ModelUnloadOrdered
        };
        let model = order.placement.model.as_str();
        let detail = format!("order {id:x}, copy {}", order.sends + 1);
        trace::model(kind, model, detail, out);
        out.push(AgentAction::SendOrder(self.order_message(order)));
        self.ledger.given(now, id);
        self.counters.orders += 1;
        let patience_ms = self.order_patience_ms();
        self.orders.resend.insert(id, now.plus_ms(patience_ms));
    }

    fn order_message(&self, order: &TrackedOrder) -> Order {
        Order {
            id: order.id,
            fencing_token: self.record.epoch(),
            load: order.load,
            model: order.placement.model.clone(),
            version: order.placement.version,
            base: self.base_of(&order.placement.model),
            accelerator: order.placement.accelerator,
            size_mib: order.size_mib,
        }
    }

    /// How long the upstream may show nothing of an order that it accepted.
    fn order_patience_ms(&self) -> u64 {
        let delay_ms = self.pool().map_or(0, |pool| pool.order_delay_max_ms);
        RESEND_MS.max(u64::from(delay_ms)) + 2 * self.heartbeat_ms()
    }

    /// Gives orders again whose end does not show.
    ///
    /// The number is the same, so the upstream carries out at most one copy.
    fn resend(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        let ledger = &self.ledger;
        self.orders.resend.retain(|id, _| {
            ledger
                .order(*id)
                .is_some_and(|order| order.ends_from.is_none())
        });
        let due = self.orders.resend.iter().filter(|(_, at)| **at <= now);
        let ids: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in ids {
            let silent = self.ledger.order(id).is_some_and(|o| !o.in_progress);
            let able = self.record.is_sure() && self.upstream.is_up();
            if silent && able && self.record.holds(id) {
                self.give(now, id, out);
            } else {
                self.orders.resend.insert(id, now.plus_ms(RESEND_MS));
            }
        }
    }

    fn write_record(&mut self, now: Instant, out: &mut Vec<AgentAction>) {
        let intents = self.ledger.intents(&self.options.link_address);
        let untidy = self.record.intents().iter().any(|o| !intents.contains(o));
        let tidy_at = self.orders.tidy_at.unwrap_or(now.plus_ms(TIDY_MS));
        self.orders.tidy_at = untidy.then_some(tidy_at);
        let tidy = untidy && tidy_at <= now;
        if !self.record.is_writable(now) || self.record.is_busy() {
            // Not now; the next look is not to be in the past.
            if tidy {
                self.orders.tidy_at = Some(now.plus_ms(RESEND_MS));
            }
            return;
        }
        // One that passed to this agent is written at once, too.
        let recorded = self.record.intents();
        let unrecorded = intents.iter().any(|o| !recorded.contains(o));
        if unrecorded || tidy {
            self.orders.tidy_at = None;
            self.record.write(now, intents, &mut self.caller, out);
        }
    }

    pub(super) fn order_answered(
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
                self.ledger.accepted(id);
                let patience_ms = self.order_patience_ms();
                self.orders.resend.insert(id, now.plus_ms(patience_ms));
            }
            OrderAnswer::Unanswered => {
                self.counters.orders_unanswered += 1;
                let model = placement.model.as_str();
                let detail = format!("order {id:x}");
                trace::model(EventKind::OrderUnanswered, model, detail, out);
                self.orders.resend.insert(id, now.plus_ms(RESEND_MS));
            }
            OrderAnswer::Refused | OrderAnswer::Fenced => {
                self.counters.orders_refused += 1;
                let until = now.plus_ms(REFUSED_MS);
                self.orders.refused.insert((placement, load), until);
                self.ledger.refused(now, id);
                if answer == OrderAnswer::Fenced {
                    self.record.doubt();
                }
            }
        }
    }

    pub(super) fn orders_ended(
        &mut self,
        ends: Vec<OrderEnd>,
        out: &mut Vec<AgentAction>,
    ) {
        for end in ends {
            self.orders.resend.remove(&end.id);
            let kind = match (end.done, end.load) {
                (false, _) => continue,
                (true, true) => EventKind::ModelLoaded,
                (true, false) => EventKind::ModelUnloaded,
            };
            match end.load {
                true => self.counters.loads += 1,
                false => self.counters.unloads += 1,
            }
            let detail = format!("order {:x}", end.id);
            trace::model(kind, end.placement.model.as_str(), detail, out);
        }
    }
}
