//! What the giver of orders knows.

use base::prelude::*;
use direct::{
    LoadPlanner, Order, ResidentModel, SendOutcome, UnansweredOrders, UpstreamReport,
};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::sync::Notify;

use super::book::Book;
use super::wants::Want;

/// Time for which a change of what an upstream holds is told with each message, so
/// that it is told at least twice: a message may be lost.
const FRESH_MS: u64 = 300;

/// State of the giver of orders.
#[derive(Debug)]
pub(crate) struct Giver {
    pub(crate) window_ms: u64,
    pub(crate) state: Mutex<State>,
    /// Told when there may be something to order.
    pub(crate) wake: Notify,
    /// Told when what upstreams hold has changed.
    pub(crate) changed: Notify,
}

/// What the giver knows, under one lock.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Token under which orders are given; `None` while this entry may not.
    pub(crate) token: Option<u64>,
    /// Token under which orders were given before they paused.
    pub(crate) last_token: Option<u64>,
    pub(crate) books: BTreeMap<Arc<str>, Book>,
    /// Orders without an answer to upstreams that are not used now.
    pub(crate) late: BTreeMap<Arc<str>, UnansweredOrders>,
    pub(crate) moves: BTreeMap<Arc<str>, LoadPlanner>,
    pub(crate) planned_at: Instant,
    /// When adapters that nobody waits for were last looked at.
    pub(crate) spread_at: Instant,
    pub(crate) wants: BTreeMap<Want, Instant>,
}

/// What entries are told of one upstream.
#[derive(Debug)]
pub(crate) struct Told {
    pub(crate) upstream: Arc<str>,
    /// Start that holds this.
    pub(crate) born_ms: Option<u64>,
    pub(crate) residents: Vec<ResidentModel>,
    /// Models on their way, with when they are expected to serve.
    pub(crate) coming: Vec<(Arc<str>, Instant)>,
}

impl Giver {
    pub(crate) fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            state: Mutex::default(),
            wake: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// An entry's request waits for an adapter.
    pub(crate) fn want(&self, now: Instant, want: Want) {
        self.state.lock().wants.insert(want, now);
        self.wake.notify_waiters();
    }

    /// What upstreams hold: those that changed lately, and those whose index is
    /// in turn.
    pub(crate) fn told(
        &self,
        now: Instant,
        in_turn: impl Fn(usize) -> bool,
    ) -> Vec<Told> {
        let state = self.state.lock();
        let books = state.books.iter().enumerate();
        let told = books.filter(|(index, (_, book))| {
            let fresh = now.ms_since(book.changed_at) < FRESH_MS;
            let known = book.ledger.is_known() && book.is_listed();
            known && (fresh || in_turn(*index))
        });
        told.map(|(_, (id, book))| Told {
            upstream: Arc::clone(id),
            born_ms: book.start(id).started_unix_ms,
            residents: book.serving.clone(),
            coming: book.coming.clone(),
        })
        .collect()
    }

    /// Books what came of an order, if the upstream is still kept.
    pub(crate) fn sent(
        &self,
        now: Instant,
        id: &str,
        order: &Order,
        sent: SendOutcome,
    ) {
        if let Some(book) = self.state.lock().books.get_mut(id) {
            book.sent(now, order, sent);
        }
        self.wake.notify_waiters();
    }

    /// Books a report, if the upstream is still kept.
    pub(crate) fn reported(&self, now: Instant, id: &str, report: &UpstreamReport) {
        let mut state = self.state.lock();
        let State { books, moves, .. } = &mut *state;
        if let Some(book) = books.get_mut(id)
            && book.report(now, report)
            && let Some(moves) = moves.get_mut(&book.service)
        {
            moves.record_surviving_loads(now, book.ledger.unanswered_loads());
        }
        drop(state);
        self.wake.notify_waiters();
    }

    /// Whether an upstream has not started again since an order was decided. What
    /// was decided on what the earlier start held may not fit into the later one.
    pub(crate) fn is_current(&self, id: &str, order: &Order) -> bool {
        let state = self.state.lock();
        let book = state.books.get(id);
        book.is_some_and(|book| book.ledger.started_unix_ms() == order.started_unix_ms)
    }

    /// A load from the weight store got no answer.
    pub(crate) fn load_unanswered(&self, now: Instant, service: &str) {
        if let Some(moves) = self.state.lock().moves.get_mut(service) {
            moves.record_unanswered_load(now);
        }
    }
}
