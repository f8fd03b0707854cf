//! Orders without an answer, which may still be carried out, even by a later
//! incarnation of their upstream.

use base::prelude::*;
use std::sync::Arc;

use crate::{EngineSpec, Order, OrderAction};

/// Maximum time after which an order without an answer may still be carried out.
pub(crate) const MAX_ORDER_DELAY_MS: u64 = 12_500;

/// Orders to one upstream that got no answer, each kept until it can no longer be
/// carried out.
///
/// An upstream that restarts counts its orders from zero, so an order decided for an
/// earlier incarnation may match the count again. It is then carried out in addition to
/// the orders to the later incarnation. Unless its memory is reserved, the later
/// incarnation is ordered to hold more than fits and crashes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UnansweredOrders {
    orders: Vec<(Instant, Order)>,
}

impl UnansweredOrders {
    /// Adds an order that got no answer.
    pub(crate) fn add(&mut self, now: Instant, order: Order) {
        self.remove(&order);
        self.orders.push((now.plus_ms(MAX_ORDER_DELAY_MS), order));
    }

    /// Removes an order that the upstream refused or that was never sent.
    pub(crate) fn remove(&mut self, order: &Order) {
        self.orders.retain(|(_, known)| known != order);
    }

    /// Drops orders that can no longer be carried out.
    pub fn expire(&mut self, now: Instant) {
        self.orders.retain(|(until, _)| now < *until);
    }

    /// Whether there are no such orders.
    pub const fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Number of model loads among the orders, to any incarnation.
    pub fn load_count(&self) -> usize {
        let all = self.orders.iter();
        all.filter(|(_, order)| matches!(order.action, OrderAction::Load(_)))
            .count()
    }

    /// Models whose unload may be the order that an upstream of this incarnation is
    /// carrying out, given the number of orders that it has accepted.
    pub(crate) fn unloads_in_progress(
        &self,
        started_unix_ms: Option<u64>,
        orders_accepted: u64,
    ) -> impl Iterator<Item = &Arc<str>> {
        let orders = self.orders.iter().map(|(_, order)| order);
        let accepted = orders.filter(move |order| {
            order.started_unix_ms == started_unix_ms
                && order.expected_count + 1 == orders_accepted
        });
        accepted.filter_map(|order| match &order.action {
            OrderAction::Unload(model) => Some(model),
            _ => None,
        })
    }

    /// Memory, in MB, that orders to earlier incarnations may add to a later one.
    pub(crate) fn reserved_mb(
        &self,
        engine: &EngineSpec,
        started_unix_ms: Option<u64>,
        orders_accepted: u64,
    ) -> f64 {
        let sizes =
            self.still_possible(started_unix_ms, orders_accepted)
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

    /// Number of adapters that orders to earlier incarnations may add to a later one.
    pub(crate) fn reserved_adapters(
        &self,
        started_unix_ms: Option<u64>,
        orders_accepted: u64,
    ) -> u32 {
        let loads = self.still_possible(started_unix_ms, orders_accepted);
        let loads =
            loads.filter(|action| matches!(action, OrderAction::LoadAdapter(..)));
        u32::try_from(loads.count()).unwrap_or(u32::MAX)
    }

    /// Orders to earlier incarnations that a later one with this order count may carry
    /// out in addition to the next order to it.
    ///
    /// An order that names a lower count will always be refused. One that names this
    /// count excludes the next order, which names the same count. Any other may still
    /// be carried out.
    fn still_possible(
        &self,
        started_unix_ms: Option<u64>,
        orders_accepted: u64,
    ) -> impl Iterator<Item = &OrderAction> {
        let orders = self.orders.iter().map(|(_, order)| order);
        orders
            .filter(move |order| {
                order.started_unix_ms < started_unix_ms
                    && order.expected_count > orders_accepted
            })
            .map(|order| &order.action)
    }
}
