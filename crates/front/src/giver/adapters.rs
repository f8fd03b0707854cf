//! Orders for adapters: those that requests wait for, and those ahead of need.

use base::prelude::*;
use direct::{
    AdapterName, AdapterPlanner, Config, EngineSpec, PlannedAdapterLoad,
    UpstreamAdapterState,
};
use std::sync::Arc;

use super::{Ordered, State, engine, loads};
use crate::state::Node;
use crate::state::wants::Want;

/// Time for which an adapter counts as waited for after an entry named it.
const WANT_MS: u64 = 500;

/// Time between two orders to an upstream for adapters that nobody waits for. A few
/// may be on their way to it at a time, and each takes tens of milliseconds.
const AHEAD_EVERY_MS: u64 = 100;

/// The same for each upstream, where that is more: a look at all of them takes time that
/// grows with them.
const AHEAD_EVERY_MS_EACH: u64 = 1;

impl State {
    /// Orders for the adapters that requests wait for and, now and then, for those
    /// that they may come to ask for.
    pub(super) fn adapters(
        &mut self,
        node: &Node,
        setup: &Config,
        now: Instant,
    ) -> Vec<Ordered> {
        for want in node.wants.standing(now) {
            self.wants.insert(want, now);
        }
        self.wants.retain(|_, at| now.ms_since(*at) < WANT_MS);
        let each_ms = AHEAD_EVERY_MS_EACH * self.books.len() as u64;
        let ahead = now.ms_since(self.spread_at) >= AHEAD_EVERY_MS.max(each_ms);
        if ahead {
            self.spread_at = now;
        }
        let services: Vec<Arc<str>> = self.moves.keys().cloned().collect();
        let mut orders = Vec::new();
        for service in services {
            let wanted = self.missing(&service);
            if wanted.is_empty() && !ahead {
                continue;
            }
            let Some(engine) = engine(setup, &service) else {
                continue;
            };
            let loads = loads(node, &service, now);
            let spots = self.adapter_spots(node, &service, engine, now);
            let mut spread = AdapterPlanner::new(now, engine, &spots, &loads);
            let mut choices: Vec<PlannedAdapterLoad> = wanted
                .iter()
                .filter_map(|name| spread.load_requested(name))
                .collect();
            if ahead {
                choices.extend(spread.prefetch());
            }
            for choice in choices {
                orders.extend(self.adapter_order(&service, engine, &choice));
            }
        }
        orders
    }

    /// Adapters of a service that requests wait for and that are not on their way.
    fn missing(&self, service: &str) -> Vec<AdapterName> {
        let wants = self.wants.keys().filter(|want| &*want.service == service);
        let missing = wants.filter(|want| !self.is_coming(want));
        missing
            .map(|want| AdapterName::new(&want.model, &want.adapter))
            .collect()
    }

    fn is_coming(&self, want: &Want) -> bool {
        let mut books = self.books.values();
        books.any(|book| book.ledger.has_adapter(&want.model, &want.adapter))
    }

    fn adapter_spots(
        &self,
        node: &Node,
        service: &str,
        engine: &EngineSpec,
        now: Instant,
    ) -> Vec<UpstreamAdapterState> {
        let fleet = node.fleet.lock();
        let books = self
            .books
            .iter()
            .filter(|(_, book)| &*book.service == service);
        let spots = books.map(|(id, book)| {
            let upstream = fleet.get(id);
            let running = upstream.map_or(0, |upstream| upstream.usage(now).running);
            book.adapter_spot(id, engine, running)
        });
        spots.collect()
    }

    fn adapter_order(
        &mut self,
        service: &Arc<str>,
        engine: &EngineSpec,
        choice: &PlannedAdapterLoad,
    ) -> Option<Ordered> {
        let book = self.books.get_mut(&choice.upstream)?;
        let order = book.adapter_order(engine, choice)?;
        Some((
            Arc::clone(&choice.upstream),
            Arc::clone(service),
            order,
            false,
        ))
    }
}
