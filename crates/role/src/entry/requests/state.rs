//! State of one request.

use base::prelude::*;

use super::super::IncomingRequest;
use super::super::resolve::ResolvedRequest;
use super::super::wait_queue::QueuePosition;

/// What is known of a request's finished attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct AttemptHistory {
    /// An attempt ran.
    ran: bool,
    /// It is unknown whether some attempt ran.
    unknown: bool,
}

impl AttemptHistory {
    /// Adds a finished attempt.
    pub(crate) const fn add(&mut self, ran: RunStatus) {
        match ran {
            RunStatus::NotRun => {}
            RunStatus::Ran => self.ran = true,
            RunStatus::Unknown => self.unknown = true,
        }
    }

    /// Whether the request ran, as far as is known.
    pub(crate) const fn ran(self) -> RunStatus {
        match (self.ran, self.unknown) {
            (true, _) => RunStatus::Ran,
            (false, true) => RunStatus::Unknown,
            (false, false) => RunStatus::NotRun,
        }
    }
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) incoming: Box<IncomingRequest>,
    pub(crate) resolved: ResolvedRequest,
    pub(crate) caller: CallerId,
    pub(crate) arrived_at: Instant,
    pub(crate) deadline: Instant,
    /// When the first unit was delivered to the caller.
    pub(crate) first_unit_at: Option<Instant>,
    /// Units delivered to the caller.
    pub(crate) delivered: u64,
    /// Model version that produced the delivered units; the rest has to come from the
    /// same version.
    pub(crate) version: Option<u32>,
    pub(crate) history: AttemptHistory,
    /// Agents that have refused or failed the request; it is not sent to them until it
    /// waits in the queue again.
    pub(crate) excluded_agents: Vec<AgentId>,
    /// Attempts sent.
    pub(crate) attempts_sent: u32,
    /// Refusals by the agents' admission control.
    pub(crate) admission_refusals: u32,
    /// Failed attempts that may have run.
    pub(crate) failures: u32,
    /// Code of the last failure.
    pub(crate) last_failure_code: Option<ErrorCode>,
    /// Earliest time of the next attempt.
    pub(crate) not_before: Instant,
    pub(crate) state: State,
}

/// Phase of a request.
#[derive(Debug)]
pub(crate) enum State {
    /// Being dispatched; only while an event is handled.
    New,
    /// In a wait queue.
    Waiting(QueuePosition),
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
    /// A frame of the agent shows that it handed the attempt to the upstream.
    pub(crate) started: bool,
    /// At least one part of its answer was received.
    pub(crate) answered: bool,
    /// When a frame about it was last received, or when it was sent.
    pub(crate) last_frame_at: Instant,
    /// When `Revoke` was sent, which asks the agent whether the attempt ran and forbids
    /// it to start.
    pub(crate) revoked_at: Option<Instant>,
    /// It is an exclusive run of a suspect request.
    pub(crate) exclusive: bool,
    /// It probes a failing upstream, and its outcome is still unknown.
    pub(crate) probe: bool,
}

impl Request {
    pub(crate) const fn id(&self) -> RequestId {
        self.incoming.request
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

    /// Whether the request has neither been sent nor waited yet.
    pub(crate) const fn is_fresh(&self) -> bool {
        self.attempts_sent == 0 && matches!(self.state, State::New)
    }

    pub(crate) fn remaining_ms(&self, now: Instant) -> u64 {
        self.deadline.ms_since(now)
    }

    /// Whether another attempt may continue the answer. The answer of a plain service
    /// can't be continued, since its bytes may differ from run to run.
    pub(crate) fn can_resume(&self) -> bool {
        self.delivered == 0 || self.resolved.resource.model().is_some()
    }
}
