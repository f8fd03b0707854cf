//! One shard of the requests in progress.
//!
//! A request is either waiting or has one attempt in flight, so frames of any other
//! attempt are late or duplicated and are dropped. It ends exactly once: the code that
//! ends it removes it from the shard first.
//!
//! Whether a request ran is not decided where it is refused. It follows from what is
//! known of all its attempts ([`AttemptHistory`]), so that no code path can report
//! `not_run` for a request with an attempt that may have started.

mod answers;
mod candidates;
mod dispatch;
mod end;
mod failures;
mod keyed_runs;
mod send;
mod state;
mod timers;
mod upstream_outcome;

use base::TimerQueue;
use base::prelude::*;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

pub(crate) use answers::{AnswerPart, PartOutcome, decode_attempt_id};
pub(crate) use dispatch::Dispatched;
pub(crate) use state::{AttemptHistory, Request, State};

use timers::Timer;

/// One shard of requests.
#[derive(Debug)]
pub(crate) struct Requests {
    shard: u64,
    shard_bits: u32,
    origin: u64,
    next_attempt: u64,
    rng: Pcg64Mcg,
    requests: BTreeMap<u64, Request>,
    /// Sequence number of the request of each attempt in flight.
    attempts: BTreeMap<u64, u64>,
    timers: TimerQueue<Timer>,
}

impl Requests {
    pub(crate) fn new(shard: u64, shard_bits: u32, origin: u64, seed: u64) -> Self {
        let state = u128::from(seed) << 64 | u128::from(shard) << 1 | 1;
        Self {
            shard,
            shard_bits,
            origin,
            next_attempt: 1,
            rng: Pcg64Mcg::new(state),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: TimerQueue::new(),
        }
    }

    /// When the next timer of the shard is due.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.timers.next_deadline()
    }

    /// Number of requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Number of attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    fn next_attempt_id(&mut self) -> AttemptId {
        let sequence = self.next_attempt << self.shard_bits | self.shard;
        self.next_attempt += 1;
        AttemptId {
            origin: self.origin,
            sequence,
        }
    }

    /// Sequence number of the request whose current attempt this is, provided that
    /// `agent`, the sender of a frame, is the one that the attempt was sent to.
    fn request_of_attempt(&self, agent: &AgentId, attempt: AttemptId) -> Option<u64> {
        if attempt.origin != self.origin {
            return None;
        }
        let sequence = *self.attempts.get(&attempt.sequence)?;
        let current = self.requests.get(&sequence)?.attempt()?;
        (current.id == attempt && current.agent == *agent).then_some(sequence)
    }
}
