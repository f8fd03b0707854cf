//! Which upstreams the giver of orders keeps books of.

use base::prelude::*;
use direct::{Config, UnansweredOrders, Upstream};
use std::sync::Arc;

use crate::state::Node;
use crate::state::book::Book;
use crate::state::giver::State;

impl State {
    /// Ends the books of upstreams that are gone or have started again, and begins
    /// those of new starts.
    pub(super) fn follow_fleet(&mut self, node: &Node, setup: &Config, now: Instant) {
        let fleet = node.fleet.lock();
        let gone = self.books.extract_if(.., |id, book| {
            let upstream = fleet.get(id);
            upstream.is_none_or(|upstream| {
                !upstream.is_usable(now) || book.is_over(upstream)
            })
        });
        for (id, book) in gone {
            self.late.insert(id, book.ledger.into_unanswered(now));
        }
        for upstream in fleet.model_upstreams(now, setup) {
            let id = &upstream.record.id;
            if !self.books.contains_key(id) {
                let late = self.take_late(now, upstream);
                let book = Book::new(upstream, late);
                self.books.insert(Arc::clone(id), book);
            }
            if let Some(book) = self.books.get_mut(id) {
                book.follow(now, upstream);
            }
        }
        self.late.retain(|_, late| {
            late.expire(now);
            !late.is_empty()
        });
    }

    /// Orders to an upstream's earlier starts that may still be carried out.
    fn take_late(&mut self, now: Instant, upstream: &Upstream) -> UnansweredOrders {
        let mut late = self.late.remove(&upstream.record.id).unwrap_or_default();
        late.expire(now);
        if let Some(moves) = self.moves.get_mut(&upstream.record.service) {
            moves.record_surviving_loads(now, late.load_count());
        }
        late
    }
}
