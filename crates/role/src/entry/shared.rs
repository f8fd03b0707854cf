//! State shared by all request shards, and the lock order.
//!
//! Locks are taken in this order only: the control state, one shard, one of the
//! locks in [`Shared`]. The locks in [`Shared`] are held briefly, and nothing that
//! takes another lock is called under them.

use base::prelude::*;
use parking_lot::Mutex;
use route::{CallerLimits, SuspectRequests};
use std::collections::BTreeSet;

use super::circuit_breakers::CircuitBreakers;
use super::control::Control;
use super::counters::Counts;
use super::keyed_runs::KeyedRunLog;
use super::outcome_counts::OutcomeCounts;
use super::resolve::Resource;
use super::wait_queue::WaitQueue;
use super::workload::Workload;
use super::{EntryAction, EntryOptions};

/// How long a verdict on a request holds while no configuration is in force.
const VERDICT_DEFAULT_MS: u64 = 600_000;

/// State shared by all request shards.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: EntryOptions,
    pub(crate) counts: Counts,
    pub(crate) wait_queue: Mutex<WaitQueue>,
    pub(crate) workload: Mutex<Workload>,
    pub(crate) callers: Mutex<CallerLimits>,
    pub(crate) suspects: Mutex<SuspectRequests>,
    pub(crate) breakers: Mutex<CircuitBreakers>,
    pub(crate) outcomes: Mutex<OutcomeCounts>,
    pub(crate) keyed_runs: Mutex<KeyedRunLog>,
}

impl Shared {
    pub(crate) fn new(options: EntryOptions) -> Self {
        Self {
            options,
            counts: Counts::new(),
            wait_queue: Mutex::new(WaitQueue::default()),
            workload: Mutex::new(Workload::new()),
            callers: Mutex::new(CallerLimits::new()),
            suspects: Mutex::new(SuspectRequests::new(VERDICT_DEFAULT_MS)),
            breakers: Mutex::new(CircuitBreakers::default()),
            outcomes: Mutex::new(OutcomeCounts::default()),
            keyed_runs: Mutex::new(KeyedRunLog::default()),
        }
    }
}

/// Work deferred until the shard's lock is released.
#[derive(Debug, Default)]
pub(crate) struct FollowUps {
    /// Wait queues whose first requests may be sendable now.
    pub(crate) wake: BTreeSet<Resource>,
    /// Queues are scanned up to `FULL_SCAN_MAX` requests, and not only until some
    /// at their head are blocked.
    pub(crate) full_scan: bool,
    /// Agents that may be able to take requests again.
    pub(crate) agents_with_capacity: BTreeSet<AgentId>,
    /// Requests evicted from the full wait queue by more urgent ones.
    pub(crate) evicted: Vec<RequestId>,
    /// A request waits for a model that no agent holds, so a plan is due.
    pub(crate) plan: bool,
    /// Gossip is due before the next heartbeat.
    pub(crate) gossip: bool,
}

impl FollowUps {
    pub(crate) fn is_empty(&self) -> bool {
        let queues = self.wake.is_empty() && self.agents_with_capacity.is_empty();
        queues && self.evicted.is_empty() && !self.plan && !self.gossip
    }
}

/// What the code of a shard has access to while it handles an event.
#[derive(Debug)]
pub(crate) struct Ctx<'a> {
    pub(crate) now: Instant,
    pub(crate) shared: &'a Shared,
    pub(crate) control: &'a Control,
    pub(crate) out: &'a mut Vec<EntryAction>,
    pub(crate) follow_ups: &'a mut FollowUps,
}
