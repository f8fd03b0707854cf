//! Tokens of workspaces and of upstreams at this entry, and what was asked of others
//! for them.

use base::prelude::*;
use direct::Config;
use parking_lot::Mutex;
use quota::{Asked, Limit, Pools, Take};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::{Notify, oneshot};

use super::Node;
use crate::quota::Scope;

/// Time without an answer after which another entry keeps what this one kept. A
/// question is answered within a millisecond, and within a tenth of a second where a
/// process has used up its share of the processor.
const AWAY_AFTER_MS: u64 = 350;

/// Time for which an entry that did not answer is left out; it is tried again then.
const AWAY_FOR_MS: u64 = 1_500;

/// Time for which a question is remembered. Its answer may come late, and what it
/// brings is put back.
const OPEN_MS: u64 = 3_000;

/// Longest time for which a refusal answers for the next requests of the workspace as
/// well. It spares the keeper a question for each request of a workspace that sends
/// many times its limit, and holds tokens back from others for no longer than this.
const SHORT_MS: u64 = 50;

/// Tokens of one kind of pools at this entry.
#[derive(Debug)]
pub(crate) struct Quotas {
    pub(crate) pools: Mutex<Pools>,
    /// Questions of others that were answered.
    pub(crate) asked: Mutex<Asked>,
    /// Whether the others have known this entry for long enough that it may make
    /// tokens.
    pub(crate) is_settled: AtomicBool,
    /// Told when something has a bound.
    pub(crate) bounded: Notify,
    open: Mutex<HashMap<u64, Open>>,
    /// Number of the last question or feed.
    last: AtomicU64,
    /// Entries that were sent something, since when without an answer.
    unanswered: Mutex<HashMap<String, Instant>>,
    /// Start and number of the last feed of each entry.
    fed: Mutex<HashMap<Arc<str>, (u64, u64)>>,
    /// Until when a workspace's requests are refused without asking, and when they
    /// should come back.
    short: Mutex<HashMap<Arc<str>, (Instant, Instant)>>,
}

/// A question that has no answer yet.
#[derive(Debug)]
struct Open {
    workspace: Arc<str>,
    cost: f64,
    asked_at: Instant,
    answer: Option<oneshot::Sender<Take>>,
}

impl Quotas {
    pub(crate) fn new(overdraft: f64) -> Self {
        Self {
            pools: Mutex::new(Pools::new(overdraft)),
            asked: Mutex::default(),
            is_settled: AtomicBool::new(false),
            bounded: Notify::new(),
            open: Mutex::default(),
            last: AtomicU64::new(0),
            unanswered: Mutex::default(),
            fed: Mutex::default(),
            short: Mutex::default(),
        }
    }

    /// Takes over the bounds of a configuration.
    pub(crate) fn set_limits(&self, now: Instant, setup: &Config) {
        let workspaces = setup.directory.iter();
        let workspaces = workspaces.flat_map(|directory| directory.workspaces());
        let limits = workspaces.filter_map(|workspace| {
            let allowance = workspace.allowance.as_ref()?;
            Some((&workspace.name, allowance.limit))
        });
        self.set_bounds(now, limits);
        self.short.lock().clear();
    }

    /// Takes over all bounds.
    pub(crate) fn set_bounds<'a>(
        &self,
        now: Instant,
        bounds: impl IntoIterator<Item = (&'a Arc<str>, Limit)>,
    ) {
        let mut pools = self.pools.lock();
        pools.set_limits(now, bounds);
        if !pools.is_empty() {
            self.bounded.notify_one();
        }
    }

    /// A number for a question or a feed. Both grow together.
    pub(crate) fn next_number(&self) -> u64 {
        self.last.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Opens a question; its answer comes by the receiver.
    pub(crate) fn open(
        &self,
        now: Instant,
        workspace: &Arc<str>,
        cost: f64,
    ) -> (u64, oneshot::Receiver<Take>) {
        let (sender, receiver) = oneshot::channel();
        let id = self.next_number();
        let open = Open {
            workspace: Arc::clone(workspace),
            cost,
            asked_at: now,
            answer: Some(sender),
        };
        self.open.lock().insert(id, open);
        (id, receiver)
    }

    /// A question was answered. Tokens for a request that waits no more are put back.
    pub(crate) fn answered(&self, id: u64, take: Take) {
        let Some(open) = self.open.lock().remove(&id) else {
            return;
        };
        let unused = open.answer.is_none_or(|answer| answer.send(take).is_err());
        if unused && take == Take::Taken {
            self.pools.lock().give_back(&open.workspace, open.cost);
        }
    }

    /// Something that wants an answer was sent to an entry.
    pub(crate) fn sent(&self, now: Instant, entry: &str) {
        let mut unanswered = self.unanswered.lock();
        if !unanswered.contains_key(entry) {
            unanswered.insert(entry.to_owned(), now);
        }
    }

    /// An entry answered.
    pub(crate) fn heard(&self, entry: &str) {
        self.unanswered.lock().remove(entry);
    }

    /// Entries that have not answered lately.
    pub(crate) fn away(&self, now: Instant) -> Vec<String> {
        let unanswered = self.unanswered.lock();
        let away = unanswered
            .iter()
            .filter(|(_, since)| now.ms_since(**since) >= AWAY_AFTER_MS);
        away.map(|(name, _)| name.clone()).collect()
    }

    /// Whether a feed is new: later than all that came from this start of its sender.
    pub(crate) fn is_new_feed(&self, from: &Arc<str>, start: u64, feed: u64) -> bool {
        let mut fed = self.fed.lock();
        let last = fed.entry(Arc::clone(from)).or_default();
        let is_new = (start, feed) > *last;
        if is_new {
            *last = (start, feed);
        }
        is_new
    }

    /// A workspace has too little for some time.
    pub(crate) fn note_short(&self, now: Instant, workspace: &Arc<str>, ms: u64) {
        let until = now.plus_ms(ms.min(SHORT_MS));
        let known = (until, now.plus_ms(ms));
        self.short.lock().insert(Arc::clone(workspace), known);
    }

    /// Time in which a workspace has something again that was found a moment ago to
    /// have too little.
    pub(crate) fn short_ms(&self, now: Instant, workspace: &str) -> Option<u64> {
        let short = self.short.lock();
        let (until, return_at) = short.get(workspace)?;
        (now < *until).then(|| return_at.ms_since(now))
    }

    /// Forgets what is too old to matter.
    pub(crate) fn sweep(&self, now: Instant) {
        self.pools.lock().sweep(now);
        let mut open = self.open.lock();
        open.retain(|_, open| now.ms_since(open.asked_at) < OPEN_MS);
        drop(open);
        let mut unanswered = self.unanswered.lock();
        unanswered.retain(|_, at| now.ms_since(*at) < AWAY_AFTER_MS + AWAY_FOR_MS);
    }
}

/// Tokens that a request has taken. Given up before it was sent anywhere, they are
/// put back.
#[derive(Debug)]
pub(crate) struct Charge {
    node: Arc<Node>,
    scope: Scope,
    pool: Arc<str>,
    pub(crate) cost: f64,
    /// Whether the request runs, or may have run.
    pub(crate) is_used: bool,
}

impl Charge {
    pub(crate) const fn new(
        node: Arc<Node>,
        scope: Scope,
        pool: Arc<str>,
        cost: f64,
    ) -> Self {
        Self {
            node,
            scope,
            pool,
            cost,
            is_used: false,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_used {
            let mut pools = self.node.quotas(self.scope).pools.lock();
            pools.give_back(&self.pool, self.cost);
        }
    }
}
