//! Tokens of workspaces and of upstreams at this entry, and requests for tokens
//! to other entries.
//!
//! Each pool of tokens has a keeper, the entry from which others take tokens.
//! The other entries send it the tokens that they refill, which is called a
//! feed.

use base::prelude::*;
use direct::Config;
use parking_lot::Mutex;
use quota::{RateLimit, RecentAnswers, TakeOutcome, TokenPools};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::{Notify, oneshot};

use super::Node;
use crate::quota::Scope;

/// Time without a response after which another entry takes over as keeper. A
/// request is answered within a millisecond, or within a tenth of a second by a
/// process that has used up its share of CPU time.
const KEEPER_TIMEOUT_MS: u64 = 350;

/// Time for which an unresponsive entry is excluded, after which it is tried
/// again.
const KEEPER_EXCLUSION_MS: u64 = 1_500;

/// Time for which a request is remembered. Its response may come late; the
/// tokens that it brings are returned to the pool.
const REQUEST_RETENTION_MS: u64 = 3_000;

/// Longest time for which one refusal also applies to the following requests of
/// a workspace. It saves the keeper a request for each one when a workspace far
/// exceeds its limit, and withholds tokens from others no longer than this.
const MAX_SHORTAGE_CACHE_MS: u64 = 50;

/// Token pools of one scope at this entry.
#[derive(Debug)]
pub(crate) struct Quotas {
    pub(crate) pools: Mutex<TokenPools>,
    /// Requests of other entries that were answered.
    pub(crate) answered_requests: Mutex<RecentAnswers>,
    /// Whether the other entries have known this one for long enough that it
    /// may refill tokens.
    pub(crate) is_settled: AtomicBool,
    /// Notified when a limit is set.
    pub(crate) limits_set: Notify,
    pending: Mutex<HashMap<u64, PendingRequest>>,
    /// Number of the last request or feed that this entry sent.
    last_number: AtomicU64,
    /// Entries that were sent something, with the time since which they have
    /// not responded.
    unanswered: Mutex<HashMap<String, Instant>>,
    /// Incarnation and number of the last feed of each entry.
    last_feeds: Mutex<HashMap<Arc<str>, (u64, u64)>>,
    /// Until when a workspace's requests are refused without asking, and when
    /// they should come back.
    shortages: Mutex<HashMap<Arc<str>, (Instant, Instant)>>,
}

/// A request that has no response yet.
#[derive(Debug)]
struct PendingRequest {
    workspace: Arc<str>,
    cost: f64,
    sent_at: Instant,
    /// Passes the result to the task that waits for it.
    result_sender: Option<oneshot::Sender<TakeOutcome>>,
}

impl Quotas {
    pub(crate) fn new(overdraft: f64) -> Self {
        Self {
            pools: Mutex::new(TokenPools::new(overdraft)),
            answered_requests: Mutex::default(),
            is_settled: AtomicBool::new(false),
            limits_set: Notify::new(),
            pending: Mutex::default(),
            last_number: AtomicU64::new(0),
            unanswered: Mutex::default(),
            last_feeds: Mutex::default(),
            shortages: Mutex::default(),
        }
    }

    /// Sets the limits of workspaces from a configuration.
    pub(crate) fn set_workspace_limits(&self, now: Instant, config: &Config) {
        let workspaces = config.directory.iter();
        let workspaces = workspaces.flat_map(|directory| directory.workspaces());
        let limits = workspaces.filter_map(|workspace| {
            let allowance = workspace.allowance.as_ref()?;
            Some((&workspace.name, allowance.limit))
        });
        self.set_pool_limits(now, limits);
        self.shortages.lock().clear();
    }

    /// Sets all limits.
    pub(crate) fn set_pool_limits<'a>(
        &self,
        now: Instant,
        limits: impl IntoIterator<Item = (&'a Arc<str>, RateLimit)>,
    ) {
        let mut pools = self.pools.lock();
        pools.set_limits(now, limits);
        if !pools.is_empty() {
            self.limits_set.notify_one();
        }
    }

    /// Returns the next number for a request or a feed. Both share one
    /// sequence.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Opens a request. The receiver gets its result.
    pub(crate) fn open_request(
        &self,
        now: Instant,
        workspace: &Arc<str>,
        cost: f64,
    ) -> (u64, oneshot::Receiver<TakeOutcome>) {
        let (sender, receiver) = oneshot::channel();
        let id = self.next_number();
        let pending = PendingRequest {
            workspace: Arc::clone(workspace),
            cost,
            sent_at: now,
            result_sender: Some(sender),
        };
        self.pending.lock().insert(id, pending);
        (id, receiver)
    }

    /// Completes a request. If nobody waits for its tokens anymore, they are
    /// returned to the pool.
    pub(crate) fn complete(&self, id: u64, outcome: TakeOutcome) {
        let Some(pending) = self.pending.lock().remove(&id) else {
            return;
        };
        let unused = pending
            .result_sender
            .is_none_or(|sender| sender.send(outcome).is_err());
        if unused && outcome == TakeOutcome::Taken {
            self.pools.lock().refund(&pending.workspace, pending.cost);
        }
    }

    /// Records that a message that needs a response was sent to an entry.
    pub(crate) fn note_sent(&self, now: Instant, entry: &str) {
        let mut unanswered = self.unanswered.lock();
        if !unanswered.contains_key(entry) {
            unanswered.insert(entry.to_owned(), now);
        }
    }

    /// Records that an entry responded.
    pub(crate) fn note_response(&self, entry: &str) {
        self.unanswered.lock().remove(entry);
    }

    /// Returns the entries that have not responded recently.
    pub(crate) fn unresponsive(&self, now: Instant) -> Vec<String> {
        let unanswered = self.unanswered.lock();
        let unresponsive = unanswered
            .iter()
            .filter(|(_, since)| now.ms_since(**since) >= KEEPER_TIMEOUT_MS);
        unresponsive.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether a feed is later than all others from this incarnation of
    /// its sender, and records it.
    pub(crate) fn is_new_feed(
        &self,
        from: &Arc<str>,
        started_unix_ms: u64,
        number: u64,
    ) -> bool {
        let mut last_feeds = self.last_feeds.lock();
        let last = last_feeds.entry(Arc::clone(from)).or_default();
        let is_new = (started_unix_ms, number) > *last;
        if is_new {
            *last = (started_unix_ms, number);
        }
        is_new
    }

    /// Records that a pool has too few tokens for `ms` milliseconds.
    pub(crate) fn cache_shortage(&self, now: Instant, workspace: &Arc<str>, ms: u64) {
        let until = now.plus_ms(ms.min(MAX_SHORTAGE_CACHE_MS));
        let shortage = (until, now.plus_ms(ms));
        self.shortages
            .lock()
            .insert(Arc::clone(workspace), shortage);
    }

    /// Returns the time until a workspace has tokens again, if it was found
    /// short of them a moment ago.
    pub(crate) fn cached_shortage_ms(
        &self,
        now: Instant,
        workspace: &str,
    ) -> Option<u64> {
        let shortages = self.shortages.lock();
        let (until, available_at) = shortages.get(workspace)?;
        (now < *until).then(|| available_at.ms_since(now))
    }

    /// Removes expired state.
    pub(crate) fn sweep(&self, now: Instant) {
        self.pools.lock().remove_stale_feeders(now);
        let mut pending = self.pending.lock();
        pending
            .retain(|_, request| now.ms_since(request.sent_at) < REQUEST_RETENTION_MS);
        drop(pending);
        let mut unanswered = self.unanswered.lock();
        unanswered.retain(|_, at| {
            now.ms_since(*at) < KEEPER_TIMEOUT_MS + KEEPER_EXCLUSION_MS
        });
    }
}

/// Tokens that a request has taken. They are returned to the pool if it is
/// dropped before the request was sent anywhere.
#[derive(Debug)]
pub(crate) struct Charge {
    node: Arc<Node>,
    scope: Scope,
    pool: Arc<str>,
    pub(crate) cost: f64,
    /// Whether the request is running or may have run.
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
            pools.refund(&self.pool, self.cost);
        }
    }
}
