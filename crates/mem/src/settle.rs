//! How reports settle what the ledger counts.

use crate::{EndedOrder, Ledger, MemoryReport, ReportedOrderState, TrackedOrder};
use base::Instant;

impl Ledger {
    /// A report has come that was made after the record was read, so that it
    /// shows all that predecessors saw to its end.
    pub fn has_current_report(&self) -> bool {
        self.reported_at >= self.adopted_at
    }

    /// Takes in a report; returns the orders that it shows to have ended.
    ///
    /// A report made before the last one is dropped: it would show memory as
    /// free that has been given away since.
    pub fn apply_report(
        &mut self,
        now: Instant,
        state: &MemoryReport,
    ) -> Vec<EndedOrder> {
        if self.upstream_incarnation.is_some() && state.made_at < self.reported_at {
            return Vec::new();
        }
        self.reported_at = state.made_at;
        self.note_incarnation(now, state.incarnation);
        self.residents = state
            .residents
            .iter()
            .map(|resident| (resident.placement.clone(), resident.clone()))
            .collect();
        let mut ends = self.end_shown(now, state);
        ends.extend(self.end_evident(now, state.made_at));
        ends.extend(self.end_expired(now, state));
        self.drop_copies(state.made_at);
        ends
    }

    /// Orders that this agent made for an earlier run of the upstream can reach
    /// the present one only as long as an order can be under way.
    ///
    /// A predecessor that may live is another matter: it may not have seen the
    /// restart yet, and go on giving its order to the new run.
    fn note_incarnation(&mut self, now: Instant, incarnation: u64) {
        if self.upstream_incarnation == Some(incarnation) {
            return;
        }
        self.upstream_incarnation = Some(incarnation);
        self.orders.retain(|_, order| order.send_count > 0);
        for order in self.orders.values_mut() {
            let earlier = order.upstream_incarnation != incarnation;
            if earlier && !order.adopted && order.no_send_after.is_none() {
                order.no_send_after = Some(now);
            }
        }
    }

    fn end_shown(&mut self, now: Instant, state: &MemoryReport) -> Vec<EndedOrder> {
        let mut ends = Vec::new();
        for order in self.orders.values_mut() {
            order.in_progress = false;
        }
        for shown in &state.orders {
            let done = match shown.state {
                ReportedOrderState::InProgress => {
                    self.note_progress(shown.id);
                    continue;
                }
                ReportedOrderState::Done => true,
                ReportedOrderState::Failed => false,
            };
            ends.extend(self.end(now, shown.id, done));
        }
        ends
    }

    fn note_progress(&mut self, id: u64) {
        if let Some(order) = self.orders.get_mut(&id) {
            order.in_progress = true;
        }
    }

    /// Ends orders of our own whose effect a later report shows, though it no
    /// longer lists them.
    fn end_evident(&mut self, now: Instant, made_at: Instant) -> Vec<EndedOrder> {
        let evident = |order: &&TrackedOrder| {
            let resident = self.residents.get(&order.placement);
            let effect = if order.load {
                resident.is_some_and(|resident| resident.loaded)
            } else {
                resident.is_none()
            };
            order.accepted && made_at > order.sent_at && effect
        };
        let ids: Vec<u64> =
            self.orders.values().filter(evident).map(|o| o.id).collect();
        ids.into_iter()
            .filter_map(|id| self.end(now, id, true))
            .collect()
    }

    pub(crate) fn end(
        &mut self,
        now: Instant,
        id: u64,
        done: bool,
    ) -> Option<EndedOrder> {
        let order = self.orders.remove(&id)?;
        if order.load && order.may_have_copies() {
            self.copies.push(TrackedOrder {
                no_send_after: order.no_send_after.or(Some(now)),
                ..order.clone()
            });
        }
        Some(EndedOrder {
            id,
            load: order.load,
            placement: order.placement,
            took_effect: done,
        })
    }

    /// Ends orders that can no longer take effect.
    ///
    /// The report must have been made after the last moment at which they could:
    /// one that is behind does not yet show what they did at that moment.
    fn end_expired(&mut self, now: Instant, state: &MemoryReport) -> Vec<EndedOrder> {
        let delay_ms = self.order_delay_max_ms;
        let over = |order: &&TrackedOrder| {
            order.is_over(state.made_at, delay_ms) && !order.in_progress
        };
        let ids: Vec<u64> = self.orders.values().filter(over).map(|o| o.id).collect();
        ids.into_iter()
            .filter_map(|id| self.end(now, id, false))
            .collect()
    }
    fn drop_copies(&mut self, made_at: Instant) {
        let delay_ms = self.order_delay_max_ms;
        self.copies.retain(|copy| !copy.is_over(made_at, delay_ms));
    }
}
