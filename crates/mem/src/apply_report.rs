//! Updates the ledger from the upstream's reports.

use crate::{EndedOrder, Ledger, MemoryReport, ReportedOrderState, TrackedOrder};
use base::Instant;

impl Ledger {
    /// Whether the last report was made after the intents of predecessors were
    /// adopted, so that it contains the effect of every order whose intent a
    /// predecessor had removed.
    pub fn has_current_report(&self) -> bool {
        self.last_report_made_at >= self.intents_adopted_at
    }

    /// Applies a report and returns the orders that have ended according to it.
    ///
    /// A report made before the last one is dropped: it could lack models that
    /// have been loaded since, and their memory would count as free.
    pub fn apply_report(
        &mut self,
        now: Instant,
        report: &MemoryReport,
    ) -> Vec<EndedOrder> {
        if self.upstream_incarnation.is_some()
            && report.made_at < self.last_report_made_at
        {
            return Vec::new();
        }
        self.last_report_made_at = report.made_at;
        self.set_incarnation(now, report.incarnation);
        self.residents = report
            .residents
            .iter()
            .map(|resident| (resident.placement.clone(), resident.clone()))
            .collect();
        let mut ended = self.end_reported(now, report);
        ended.extend(self.end_by_observed_effect(now, report.made_at));
        ended.extend(self.end_expired(now, report));
        self.remove_expired_copies(report.made_at);
        ended
    }

    /// Sets the incarnation of the upstream.
    ///
    /// Orders that this agent issued for an earlier incarnation can reach the
    /// new one only as long as an order can be in flight. This does not hold
    /// for a predecessor that may be alive: it may not know of the restart and
    /// may resend its order to the new incarnation.
    fn set_incarnation(&mut self, now: Instant, incarnation: u64) {
        if self.upstream_incarnation == Some(incarnation) {
            return;
        }
        self.upstream_incarnation = Some(incarnation);
        self.orders.retain(|_, order| order.send_count > 0);
        for order in self.orders.values_mut() {
            let is_for_earlier = order.upstream_incarnation != incarnation;
            if is_for_earlier && !order.adopted && order.no_send_after.is_none() {
                order.no_send_after = Some(now);
            }
        }
    }

    fn end_reported(&mut self, now: Instant, report: &MemoryReport) -> Vec<EndedOrder> {
        let mut ended = Vec::new();
        for order in self.orders.values_mut() {
            order.in_progress = false;
        }
        for reported in &report.orders {
            let took_effect = match reported.state {
                ReportedOrderState::InProgress => {
                    self.mark_in_progress(reported.id);
                    continue;
                }
                ReportedOrderState::Done => true,
                ReportedOrderState::Failed => false,
            };
            ended.extend(self.end_order(now, reported.id, took_effect));
        }
        ended
    }

    fn mark_in_progress(&mut self, id: u64) {
        if let Some(order) = self.orders.get_mut(&id) {
            order.in_progress = true;
        }
    }

    /// Ends accepted orders of this agent whose effect a later report contains,
    /// even if the report does not list the order.
    fn end_by_observed_effect(
        &mut self,
        now: Instant,
        made_at: Instant,
    ) -> Vec<EndedOrder> {
        let effect_observed = |order: &&TrackedOrder| {
            let resident = self.residents.get(&order.placement);
            let has_effect = if order.load {
                resident.is_some_and(|resident| resident.loaded)
            } else {
                resident.is_none()
            };
            order.accepted && made_at > order.sent_at && has_effect
        };
        let ids: Vec<u64> = self
            .orders
            .values()
            .filter(effect_observed)
            .map(|o| o.id)
            .collect();
        ids.into_iter()
            .filter_map(|id| self.end_order(now, id, true))
            .collect()
    }

    pub(crate) fn end_order(
        &mut self,
        now: Instant,
        id: u64,
        took_effect: bool,
    ) -> Option<EndedOrder> {
        let order = self.orders.remove(&id)?;
        if order.load && order.may_have_copies() {
            self.copies_in_flight.push(TrackedOrder {
                no_send_after: order.no_send_after.or(Some(now)),
                ..order.clone()
            });
        }
        Some(EndedOrder {
            id,
            load: order.load,
            placement: order.placement,
            took_effect,
        })
    }

    /// Ends orders that can no longer take effect.
    ///
    /// The report must have been made after the last time at which they could:
    /// an earlier one does not contain an effect at that time.
    fn end_expired(&mut self, now: Instant, report: &MemoryReport) -> Vec<EndedOrder> {
        let delay_ms = self.order_delay_max_ms;
        let expired = |order: &&TrackedOrder| {
            order.has_expired(report.made_at, delay_ms) && !order.in_progress
        };
        let ids: Vec<u64> =
            self.orders.values().filter(expired).map(|o| o.id).collect();
        ids.into_iter()
            .filter_map(|id| self.end_order(now, id, false))
            .collect()
    }

    fn remove_expired_copies(&mut self, made_at: Instant) {
        let delay_ms = self.order_delay_max_ms;
        self.copies_in_flight
            .retain(|copy| !copy.has_expired(made_at, delay_ms));
    }
}
