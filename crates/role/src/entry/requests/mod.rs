//! Requests in progress, one shard of them.
//!
//! A request is waiting or has one attempt in flight, never both and never two
//! attempts, so frames of any other attempt are late or doubled and dropped.
//! It ends once: whoever ends it takes it out of the shard first.
//!
//! What is said about whether a request ran is not chosen where it is refused.
//! It follows from what was seen of all its attempts ([`AttemptHistory`]), so that no
//! path can say `not_run` of a request with an attempt that may have started.

mod answers;
mod candidates;
mod dispatch;
mod end;
mod failures;
mod send;
mod state;
mod timers;
mod upstream_outcome;

use base::Timers;
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
    /// Request of each attempt in flight.
    attempts: BTreeMap<u64, u64>,
    timers: Timers<Timer>,
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
            timers: Timers::new(),
        }
    }

    /// When the shard wants its next tick.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.timers.due()
    }

    /// Requests in progress.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Attempts in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    fn attempt_id(&mut self) -> AttemptId {
        let sequence = self.next_attempt << self.shard_bits | self.shard;
        self.next_attempt += 1;
        AttemptId {
            origin: self.origin,
            sequence,
        }
    }

    /// Request whose current attempt this is, if the frame came from the agent
    /// that the attempt was sent to.
    fn current(&self, agent: &AgentId, attempt: AttemptId) -> Option<u64> {
        if attempt.origin != self.origin {
            return None;
        }
        let sequence = *self.attempts.get(&attempt.sequence)?;
        let held = self.requests.get(&sequence)?.attempt()?;
        (held.id == attempt && held.agent == *agent).then_some(sequence)
    }
}
