//! State of one request.

use base::prelude::*;

use super::super::IncomingRequest;
use super::super::waiting::Place;
use super::super::wanted::Resolved;

/// What was seen of a request's attempts so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Trail {
    started: bool,
    unsettled: bool,
}

impl Trail {
    /// Adds what is known of an attempt that is over.
    pub(crate) const fn add(&mut self, ran: Ran) {
        match ran {
            Ran::NotRun => {}
            Ran::Ran => self.started = true,
            Ran::Unknown => self.unsettled = true,
        }
    }

    /// What is known now.
    pub(crate) const fn ran(self) -> Ran {
        match (self.started, self.unsettled) {
            (true, _) => Ran::Ran,
            (false, true) => Ran::Unknown,
            (false, false) => Ran::NotRun,
        }
    }
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Box<IncomingRequest>,
    pub(crate) resolved: Resolved,
    pub(crate) caller: CallerId,
    pub(crate) arrived_at: Instant,
    pub(crate) deadline: Instant,
    /// When the caller's first unit was given.
    pub(crate) first_unit_at: Option<Instant>,
    /// Units the caller has.
    pub(crate) delivered: u64,
    /// Version that the units came from; the rest has to come from it as well.
    pub(crate) version: Option<u32>,
    pub(crate) trail: Trail,
    /// Agents not to send to for now.
    pub(crate) excluded: Vec<AgentId>,
    /// Attempts sent.
    pub(crate) sent: u32,
    /// Refusals by gates.
    pub(crate) refused: u32,
    /// Failures of attempts that may have run.
    pub(crate) failed: u32,
    /// Code of the last failure.
    pub(crate) last_code: Option<Code>,
    /// Not sent again before this.
    pub(crate) not_before: Instant,
    pub(crate) state: State,
}

/// Where a request is.
#[derive(Debug)]
pub(crate) enum State {
    /// Being placed; never left so.
    New,
    /// It waits in a queue.
    Waiting(Place),
    /// An attempt is in flight.
    Running(Attempt),
}

/// One attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    pub(crate) agent: AgentId,
    pub(crate) incarnation: Incarnation,
    pub(crate) version: u32,
    pub(crate) sent_at: Instant,
    pub(crate) started: bool,
    /// Parts of its answer came.
    pub(crate) answered: bool,
    /// Last sign of life.
    pub(crate) heard_at: Instant,
    /// When the agent was asked whether it ran, and forbidden to start it.
    pub(crate) revoked_at: Option<Instant>,
    /// It runs alone, as a suspect.
    pub(crate) alone: bool,
    /// Its outcome decides on a failing upstream, and is not known yet.
    pub(crate) probe: bool,
}

impl Request {
    pub(crate) const fn id(&self) -> RequestId {
        self.arrival.request
    }

    pub(crate) const fn attempt(&self) -> Option<&Attempt> {
        match &self.state {
            State::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub(crate) const fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.state {
            State::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Neither sent nor waiting so far.
    pub(crate) const fn is_fresh(&self) -> bool {
        self.sent == 0 && matches!(self.state, State::New)
    }

    pub(crate) fn remaining_ms(&self, now: Instant) -> u64 {
        self.deadline.ms_since(now)
    }

    /// A plain service's answer can't be continued by another run: its bytes
    /// need not be the same.
    pub(crate) fn can_resume(&self) -> bool {
        self.delivered == 0 || self.resolved.wanted.model().is_some()
    }
}
