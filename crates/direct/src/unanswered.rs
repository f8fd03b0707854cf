//! Orders that may still be carried out, also by a later start of their upstream.

use base::prelude::*;
use std::sync::Arc;

use crate::{EngineSpec, Order, OrderAction};

/// Time for which an order without an answer may still be carried out.
pub(crate) const MAX_ORDER_DELAY_MS: u64 = 12_500;

/// Orders of one upstream that got no answer, each until it can't come any more.
///
/// An upstream that starts again counts its orders anew, so an order that was
/// decided at an earlier start meets the count that it names once more. It is then
/// carried out beside what was ordered from the later start, which without this
/// would be ordered to hold more than it can and crash.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UnansweredOrders {
    orders: Vec<(Instant, Order)>,
}

impl UnansweredOrders {
    /// An order that has no answer yet.
    pub(crate) fn add(&mut self, now: Instant, order: Order) {
        self.remove(&order);
        self.orders.push((now.plus_ms(MAX_ORDER_DELAY_MS), order));
    }

    /// The upstream has refused an order, or it was never sent.
    pub(crate) fn remove(&mut self, order: &Order) {
        self.orders.retain(|(_, known)| known != order);
    }

    /// Forgets orders that can't come any more.
    pub fn expire(&mut self, now: Instant) {
        self.orders.retain(|(until, _)| now < *until);
    }

    /// Whether there are none.
    pub const fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Loads of models among them, of any start.
    pub fn load_count(&self) -> usize {
        let all = self.orders.iter();
        all.filter(|(_, order)| matches!(order.action, OrderAction::Load(_)))
            .count()
    }

    /// Models whose unload may be the order that an upstream of this start carries out
    /// now, having accepted so many.
    pub(crate) fn unloads_in_progress(
        &self,
        born_ms: Option<u64>,
        orders_accepted: u64,
    ) -> impl Iterator<Item = &Arc<str>> {
        let orders = self.orders.iter().map(|(_, order)| order);
        let accepted = orders.filter(move |order| {
            order.started_unix_ms == born_ms
                && order.expected_count + 1 == orders_accepted
        });
        accepted.filter_map(|order| match &order.action {
            OrderAction::Unload(model) => Some(model),
            _ => None,
        })
    }

    /// Weights that orders to earlier starts may bring to a later one.
    pub(crate) fn reserved_mb(
        &self,
        engine: &EngineSpec,
        born_ms: Option<u64>,
        count: u64,
    ) -> f64 {
        let sizes = self
            .still_possible(born_ms, count)
            .map(|action| match action {
                OrderAction::Load(model) => {
                    let spec = engine.models.get(model);
                    spec.map_or(0.0, |spec| spec.weights_mb)
                }
                OrderAction::LoadAdapter(model, _) => {
                    let spec = engine.models.get(model);
                    spec.map_or(0.0, |spec| spec.adapter_mb)
                }
                OrderAction::Unload(_) | OrderAction::UnloadAdapter(..) => 0.0,
            });
        sizes.sum()
    }

    /// Adapters that orders to earlier starts may bring to a later one.
    pub(crate) fn reserved_adapters(&self, born_ms: Option<u64>, count: u64) -> u32 {
        let loads = self.still_possible(born_ms, count);
        let loads =
            loads.filter(|action| matches!(action, OrderAction::LoadAdapter(..)));
        u32::try_from(loads.count()).unwrap_or(u32::MAX)
    }

    /// Orders to earlier starts that a later one with this order count may carry
    /// out beside the next order that it is given.
    ///
    /// One that names a lower count is refused for ever. One that names this count
    /// excludes the next order, which names it too. The others may come.
    fn still_possible(
        &self,
        born_ms: Option<u64>,
        count: u64,
    ) -> impl Iterator<Item = &OrderAction> {
        let earlier = self.orders.iter().map(|(_, order)| order);
        earlier
            .filter(move |order| {
                order.started_unix_ms < born_ms && order.expected_count > count
            })
            .map(|order| &order.action)
    }
}
