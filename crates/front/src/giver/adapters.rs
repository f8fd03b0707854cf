//! Orders for the adapters that requests wait for.

use base::prelude::*;
use direct::{Engine, Setup};
use std::sync::Arc;

use super::{Ordered, State, engine};
use crate::state::Node;
use crate::state::wants::Want;

/// Time for which an adapter counts as waited for after an entry named it.
const WANT_MS: u64 = 500;

impl State {
    /// Orders for the adapters that requests wait for.
    pub(super) fn adapters(
        &mut self,
        node: &Node,
        setup: &Setup,
        now: Instant,
    ) -> Vec<Ordered> {
        for want in node.wants.standing(now) {
            self.wants.insert(want, now);
        }
        self.wants.retain(|_, at| now.ms_since(*at) < WANT_MS);
        let wants: Vec<Want> = self.wants.keys().cloned().collect();
        let mut orders = Vec::new();
        for want in wants {
            let Some(engine) = engine(setup, &want.service) else {
                continue;
            };
            if self.is_coming(&want) {
                continue;
            }
            let Some(id) = self.adapter_place(node, &want, engine, now) else {
                continue;
            };
            let Some(book) = self.books.get_mut(&id) else {
                continue;
            };
            let order = book.adapter_order(engine, &want, now);
            if let Some(order) = order {
                orders.push((id, Arc::clone(&want.service), order, false));
            }
        }
        orders
    }

    fn is_coming(&self, want: &Want) -> bool {
        let mut books = self.books.values();
        books.any(|book| book.ledger.has_adapter(&want.model, &want.adapter))
    }

    /// The upstream that is to hold an adapter: the least used one that holds
    /// its model, one with a free place first.
    fn adapter_place(
        &self,
        node: &Node,
        want: &Want,
        engine: &Engine,
        now: Instant,
    ) -> Option<Arc<str>> {
        let fleet = node.fleet.lock();
        let books = self.books.iter().filter(|(_, book)| {
            let mut models = book.ledger.models();
            let holds = models.any(|(model, loaded)| *model == want.model && loaded);
            book.service == want.service && holds && book.takes_orders()
        });
        let best = books.min_by_key(|(id, book)| {
            let full = book.ledger.adapters() >= engine.adapters_max;
            let usage = fleet.get(id).map(|upstream| upstream.usage(now));
            (full, usage.map_or(0, |usage| usage.running))
        });
        best.map(|(id, _)| Arc::clone(id))
    }
}
