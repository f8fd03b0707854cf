//! Queue of scheduled events, ordered by simulated time.

use base::prelude::*;
use base::{PlatformCall, PlatformResponse};
use role::Peer;
use role::agent::{AgentEvent, Order};
use schema::link::{Run, frame};
use std::collections::BTreeMap;

/// Identifies one start of a process. Events for an earlier incarnation of the
/// process are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProcessIncarnation(pub(crate) u64);

/// A scheduled event.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// The step of the script at this index is due.
    ScriptStep(usize),
    /// A timer of a process expires.
    Tick {
        process: String,
        incarnation: ProcessIncarnation,
    },
    /// An entry attempts to connect to a peer.
    Dial {
        entry: String,
        incarnation: ProcessIncarnation,
        peer: Peer,
    },
    /// A message arrives at one endpoint of a link.
    LinkMessage {
        link: u64,
        to: String,
        message: LinkMessage,
    },
    /// A call of a process arrives at the platform.
    PlatformCallArrives {
        process: String,
        incarnation: ProcessIncarnation,
        call: PlatformCall,
    },
    /// A response of the platform arrives at a process.
    PlatformResponseArrives {
        process: String,
        incarnation: ProcessIncarnation,
        response: PlatformResponse,
    },
    /// A pending watch has waited for its maximum time.
    WatchTimeout { id: u64 },
    /// An agent polls its upstream for a report.
    PollUpstream {
        process: String,
        incarnation: ProcessIncarnation,
    },
    /// An event for an agent, with the payload if it is an answer part.
    AgentEvent {
        process: String,
        incarnation: ProcessIncarnation,
        event: Box<AgentEvent>,
        payload: String,
    },
    /// An attempt arrives at an upstream.
    AttemptArrives(AttemptStart),
    /// An engine finishes a step.
    EngineStep {
        instance: String,
        upstream_incarnation: u64,
    },
    /// A plain service finishes a call.
    ServiceCallCompletes {
        instance: String,
        attempt: AttemptId,
    },
    /// A load or unload order arrives at an upstream.
    OrderArrives {
        instance: String,
        from: (String, ProcessIncarnation),
        order: Order,
        /// Whether the answer to the order reaches the agent.
        answered: bool,
    },
    /// An upstream has carried out a load or unload order.
    OrderCompletes {
        instance: String,
        upstream_incarnation: u64,
        order: u64,
    },
    /// A crashed upstream runs again.
    UpstreamRestarts { instance: String },
}

/// An attempt of a request on its way from an agent to its upstream.
#[derive(Debug)]
pub(crate) struct AttemptStart {
    pub(crate) process: String,
    pub(crate) incarnation: ProcessIncarnation,
    pub(crate) instance: String,
    pub(crate) attempt: AttemptId,
    pub(crate) run: Box<Run>,
}

/// A message between the endpoints of a link.
#[derive(Debug)]
pub(crate) enum LinkMessage {
    /// The connection is established.
    Hello,
    Frame {
        revision: Revision,
        body: Box<frame::Body>,
    },
    /// The connection has ended.
    Down,
}

/// Events ordered by time; events at the same time keep their order of
/// scheduling.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    pending: BTreeMap<(Instant, u64), SimEvent>,
    next: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Instant, sim_event: SimEvent) {
        self.pending.insert((at, self.next), sim_event);
        self.next += 1;
    }

    pub(crate) fn pop_next(&mut self) -> Option<(Instant, SimEvent)> {
        let ((at, _), sim_event) = self.pending.pop_first()?;
        Some((at, sim_event))
    }
}
