//! State that every shard needs, and the order of locks.
//!
//! Locks are taken in this order and never the other way round: the control
//! part, one shard, one of the locks here. The locks here are held for a few
//! steps and nothing is called under them that takes another.

use base::prelude::*;
use parking_lot::Mutex;
use route::{CallerLimits, SuspectRequests};
use std::collections::BTreeSet;

use super::book::Book;
use super::control::Control;
use super::counters::Counts;
use super::health::Health;
use super::tally::Tally;
use super::waiting::Waiting;
use super::wanted::Wanted;
use super::{EntryAction, EntryOptions};

/// Time for which a verdict on a request holds until a configuration says so.
const VERDICT_DEFAULT_MS: u64 = 600_000;

/// State that every shard needs.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) options: EntryOptions,
    pub(crate) counts: Counts,
    pub(crate) waiting: Mutex<Waiting>,
    pub(crate) book: Mutex<Book>,
    pub(crate) callers: Mutex<CallerLimits>,
    pub(crate) suspects: Mutex<SuspectRequests>,
    pub(crate) health: Mutex<Health>,
    pub(crate) tally: Mutex<Tally>,
}

impl Shared {
    pub(crate) fn new(options: EntryOptions) -> Self {
        Self {
            options,
            counts: Counts::new(),
            waiting: Mutex::new(Waiting::default()),
            book: Mutex::new(Book::new()),
            callers: Mutex::new(CallerLimits::new()),
            suspects: Mutex::new(SuspectRequests::new(VERDICT_DEFAULT_MS)),
            health: Mutex::new(Health::default()),
            tally: Mutex::new(Tally::default()),
        }
    }
}

/// RequestedResource that can only be done once the shard's lock is given back.
#[derive(Debug, Default)]
pub(crate) struct Later {
    /// Queues whose head may now be sent.
    pub(crate) wake: BTreeSet<Wanted>,
    /// They are looked at as a whole.
    pub(crate) whole: bool,
    /// Agents that have room again.
    pub(crate) room: BTreeSet<AgentId>,
    /// Requests that lost their place in the queue to a more urgent one.
    pub(crate) evicted: Vec<RequestId>,
    /// RequestedResource waits for a model that nobody holds.
    pub(crate) plan: bool,
    /// Other entries should hear of a suspect at once.
    pub(crate) gossip: bool,
}

impl Later {
    pub(crate) fn is_empty(&self) -> bool {
        let queues = self.wake.is_empty() && self.room.is_empty();
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
    pub(crate) later: &'a mut Later,
}
