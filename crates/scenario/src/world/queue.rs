//! What is going to happen, in order.

use base::prelude::*;
use base::{PlatformCall, PlatformResponse};
use role::Peer;
use role::agent::{AgentEvent, Order};
use schema::link::{Run, frame};
use std::collections::BTreeMap;

/// One start of one process; what is addressed to an earlier one is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Start(pub(crate) u64);

/// Something that is going to happen.
#[derive(Debug)]
pub(crate) enum Happening {
    Step(usize),
    Tick {
        process: String,
        start: Start,
    },
    Dial {
        entry: String,
        start: Start,
        peer: Peer,
    },
    /// Something reaches one end of a link.
    Passage {
        link: u64,
        to: String,
        passage: Passage,
    },
    PlatformCall {
        process: String,
        start: Start,
        call: PlatformCall,
    },
    PlatformResponse {
        process: String,
        start: Start,
        answer: PlatformResponse,
    },
    WatchEnd {
        id: u64,
    },
    /// An agent asks its upstream for a report.
    Poll {
        process: String,
        start: Start,
    },
    /// An event for an agent from its upstream, with the payload of a part.
    Agent {
        process: String,
        start: Start,
        event: Box<AgentEvent>,
        payload: String,
    },
    HandOver(HandOver),
    EngineStep {
        instance: String,
        run: u64,
    },
    ServiceDone {
        instance: String,
        attempt: AttemptId,
    },
    Order {
        instance: String,
        from: (String, Start),
        order: Order,
        answered: bool,
    },
    OrderDone {
        instance: String,
        run: u64,
        order: u64,
    },
    UpstreamBack {
        instance: String,
    },
}

/// A request on its way from an agent to its upstream.
#[derive(Debug)]
pub(crate) struct HandOver {
    pub(crate) process: String,
    pub(crate) start: Start,
    pub(crate) instance: String,
    pub(crate) attempt: AttemptId,
    pub(crate) run: Box<Run>,
}

/// What passes over a link.
#[derive(Debug)]
pub(crate) enum Passage {
    Hello,
    Frame {
        revision: Revision,
        body: Box<frame::Body>,
    },
    Down,
}

/// Happenings by time, and at the same time in the order added.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pending: BTreeMap<(Instant, u64), Happening>,
    next: u64,
}

impl Queue {
    pub(crate) fn add(&mut self, at: Instant, happening: Happening) {
        self.pending.insert((at, self.next), happening);
        self.next += 1;
    }

    pub(crate) fn take(&mut self) -> Option<(Instant, Happening)> {
        let ((at, _), happening) = self.pending.pop_first()?;
        Some((at, happening))
    }
}
