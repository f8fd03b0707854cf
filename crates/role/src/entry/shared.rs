//! State that every shard needs, and the order of locks.
//!
//! Locks are taken in this order and never the other way round: the control
//! part, one shard, one of the locks here. The locks here are held for a few
//! steps and nothing is called under them that takes another.

use base::prelude::*;
use parking_lot::Mutex;
use route::{CallerLimits, SuspectRequests};
use std::collections::BTreeSet;

use super::circuit_breakers::CircuitBreakers;
use super::control::Control;
use super::counters::Counts;
use super::outcome_counts::OutcomeCounts;
use super::resolve::Resource;
use super::wait_queue::WaitQueue;
use super::workload::Workload;
use super::{EntryAction, EntryOptions};

/// Time for which a verdict on a request holds until a configuration says so.
const VERDICT_DEFAULT_MS: u64 = 600_000;

/// State that every shard needs.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: EntryOptions,
    pub(crate) counts: Counts,
    pub(crate) wait_queue: Mutex<WaitQueue>,
    pub(crate) workload: Mutex<Workload>,
    pub(crate) callers: Mutex<CallerLimits>,
    pub(crate) suspects: Mutex<Suspects>,
    pub(crate) breakers: Mutex<CircuitBreakers>,
    pub(crate) outcomes: Mutex<OutcomeCounts>,
}

impl Shared {
    pub(crate) fn new(options: EntryOptions) -> Self {
        Self {
            options,
            counts: Counts::new(),
            wait_queue: Mutex::new(WaitQueue::default()),
            workload: Mutex::new(Workload::new()),
            callers: Mutex::new(CallerLimits::new()),
            suspects: Mutex::new(Suspects::new(VERDICT_DEFAULT_MS)),
            breakers: Mutex::new(CircuitBreakers::default()),
            outcomes: Mutex::new(OutcomeCounts::default()),
        }
    }
}

/// RequestedResource that can only be done once the shard's lock is given back.
#[derive(Debug, Default)]
pub(crate) struct FollowUps {
    /// Queues whose head may now be sent.
    pub(crate) wake: BTreeSet<Resource>,
    /// They are looked at as a full_scan.
    pub(crate) full_scan: bool,
    /// Agents that have agents_with_capacity again.
    pub(crate) agents_with_capacity: BTreeSet<AgentId>,
    /// Requests that lost their place in the queue to a more urgent one.
    pub(crate) evicted: Vec<RequestId>,
    /// RequestedResource waits for a model that nobody holds.
    pub(crate) plan: bool,
    /// Other entries should hear of a suspect at once.
    pub(crate) gossip: bool,
}

impl FollowUps {
    pub(crate) fn is_empty(&self) -> bool {
        let queues = self.wake.is_empty() && self.agents_with_capacity.is_empty();
        queues && self.evicted.is_empty() && !self.plan && !self.gossip
    }
}

/// What a shard works with while an event is handled.
#[derive(Debug)]
pub(crate) struct Ctx<'a> {
    pub(crate) now: Instant,
    pub(crate) shared: &'a Shared,
    pub(crate) control: &'a Control,
    pub(crate) out: &'a mut Vec<EntryAction>,
    pub(crate) follow_ups: &'a mut FollowUps,
}
