//! The machine and everything its actions reach.

use base::prelude::*;
use base::{PlatformCall, PlatformResponse};
use conf::Config;
use line::{EventFilter, EventRecorder};
use oper::{Clock, DeadlineTimer};
use parking_lot::{Mutex, MutexGuard};
use plat::ObjectApi;
use role::agent::{AgentAction, AgentEvent, AgentOptions, AgentRole, UpstreamEvent};
use schema::link::{self, Answer, Frame, Hello, frame};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use wire::{SendPermit, WireError};

use crate::attempts::Attempts;
use crate::links::Links;
use crate::metrics::Meters;
use crate::predecessor;
use crate::upstream::{self, Upstream};

/// One agent: the machine, and what carries out its actions.
#[derive(Debug)]
pub(crate) struct Node {
    options: AgentOptions,
    link_address: SocketAddr,
    role: Mutex<AgentRole>,
    clock: Clock,
    links: Links,
    attempts: Arc<Attempts>,
    upstream: Upstream,
    ticker: DeadlineTimer,
    platform: Arc<dyn ObjectApi>,
    recorder: EventRecorder,
    meters: Meters,
    ready: AtomicBool,
    exit: CancellationToken,
    runtime: Handle,
    first_actions: Mutex<Vec<AgentAction>>,
}

/// What an agent reaches outside itself.
#[derive(Debug)]
pub(crate) struct Outside {
    pub(crate) link_address: SocketAddr,
    pub(crate) upstream: SocketAddr,
    pub(crate) platform: Arc<dyn ObjectApi>,
    pub(crate) recorder: EventRecorder,
}

/// A part of an answer, with its room in the queue towards the entry.
#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) payload: Vec<u8>,
    /// `None` if the entry is not connected.
    pub(crate) room: Option<SendPermit>,
}

impl Node {
    /// Makes the machine; [`Node::begin`] carries out its first actions.
    pub(crate) fn new(
        options: AgentOptions,
        clock: Clock,
        outside: Outside,
    ) -> Arc<Self> {
        let mut out = Vec::new();
        let role = AgentRole::new(options.clone(), clock.now(), &mut out);
        Arc::new(Self {
            options,
            link_address: outside.link_address,
            role: Mutex::new(role),
            clock,
            links: Links::default(),
            attempts: Arc::default(),
            upstream: Upstream::new(outside.upstream),
            ticker: DeadlineTimer::new(),
            platform: outside.platform,
            recorder: outside.recorder,
            meters: Meters::new(),
            ready: AtomicBool::new(false),
            exit: CancellationToken::new(),
            runtime: Handle::current(),
            first_actions: Mutex::new(out),
        })
    }

    /// Carries out the machine's first actions and starts its timer and the
    /// questions for the upstream's state.
    pub(crate) fn begin(self: &Arc<Self>) {
        let mut role = self.role.lock();
        let mut out = std::mem::take(&mut *self.first_actions.lock());
        self.perform(&mut role, &mut out, &mut None);
        drop(role);
        let node = Arc::clone(self);
        self.runtime.spawn(async move {
            let due = || node.role().due();
            let tick = || node.tell(AgentEvent::Tick);
            node.ticker.run(&node.clock, &node.exit, due, tick).await;
        });
        self.runtime.spawn(upstream::poll(Arc::clone(self)));
    }

    /// The machine, for looking at it.
    pub(crate) fn role(&self) -> MutexGuard<'_, AgentRole> {
        self.role.lock()
    }

    /// The clock.
    pub(crate) const fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The time line.
    pub(crate) const fn recorder(&self) -> &EventRecorder {
        &self.recorder
    }

    /// Connections of entries.
    pub(crate) const fn links(&self) -> &Links {
        &self.links
    }

    /// Attempts at the upstream.
    pub(crate) fn attempts(&self) -> &Attempts {
        &self.attempts
    }

    /// The upstream.
    pub(crate) const fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Counters of the shell.
    pub(crate) const fn meters(&self) -> &Meters {
        &self.meters
    }

    /// Cancelled once the machine has drained.
    pub(crate) const fn exit(&self) -> &CancellationToken {
        &self.exit
    }

    /// Name of the instance.
    pub(crate) const fn id(&self) -> &AgentId {
        &self.options.id
    }

    /// Whether the process takes work.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.role.lock().config().cloned()
    }

    /// Whether the upstream is a model engine; `None` while no configuration
    /// names the pool.
    pub(crate) fn is_engine(&self) -> Option<bool> {
        let config = self.config()?;
        let pool = config.pool(self.options.pool.as_str())?;
        Some(pool.is_engine)
    }

    /// Longest time for which an order to the upstream can be under way; `None`
    /// while no configuration names the pool.
    pub(crate) fn order_delay_max_ms(&self) -> Option<u64> {
        let config = self.config()?;
        let pool = config.pool(self.options.pool.as_str())?;
        Some(u64::from(pool.order_delay_max_ms))
    }

    /// Bound on frames in force.
    pub(crate) fn frame_max_bytes(&self) -> u32 {
        self.config()
            .map_or(wire::DEFAULT_FRAME_MAX_BYTES, |config| {
                config.limits().frame_max_bytes
            })
    }

    /// Kept events that the filter takes.
    pub(crate) fn timeline(&self, filter: &EventFilter) -> Vec<line::Event> {
        self.recorder.events(filter)
    }

    /// Tells the machine an event and carries out what it asks for.
    pub(crate) fn tell(self: &Arc<Self>, event: AgentEvent) {
        self.tell_all(|| vec![event]);
    }

    /// Tells the machine events that are made under its lock, so that what they
    /// tell of can't change before it hears of it.
    pub(crate) fn tell_all(self: &Arc<Self>, make: impl FnOnce() -> Vec<AgentEvent>) {
        let mut role = self.role.lock();
        let mut out = Vec::new();
        for event in make() {
            role.handle(self.clock.now(), event, &mut out);
        }
        self.perform(&mut role, &mut out, &mut None);
    }

    /// Tells the machine of a part of an answer, and passes the part on if the
    /// machine says so.
    pub(crate) fn tell_part(self: &Arc<Self>, event: UpstreamEvent, part: Part) {
        let mut role = self.role.lock();
        let mut out = Vec::new();
        let event = AgentEvent::Upstream(event);
        role.handle(self.clock.now(), event, &mut out);
        self.perform(&mut role, &mut out, &mut Some(part));
    }

    /// The first frame of a link.
    pub(crate) fn hello(&self) -> Frame {
        let revision = self.role.lock().revision();
        let body = frame::Body::Hello(Hello {
            kind: "agent".to_owned(),
            id: self.options.id.to_string(),
            incarnation: self.options.incarnation.0,
            failure_domain: self.options.failure_domain.to_string(),
        });
        self.frame(revision, body)
    }

    fn frame(&self, revision: Revision, body: frame::Body) -> Frame {
        Frame {
            clock_us: self.recorder.now_us(),
            revision: revision.0,
            body: Some(body),
        }
    }

    fn perform(
        self: &Arc<Self>,
        role: &mut AgentRole,
        actions: &mut Vec<AgentAction>,
        part: &mut Option<Part>,
    ) {
        let revision = role.revision();
        for action in actions.drain(..) {
            match action {
                AgentAction::SendFrame { entry, body } => {
                    self.send(revision, &entry, body);
                }
                AgentAction::ForwardPart {
                    entry,
                    attempt,
                    offset,
                    units,
                } => {
                    if let Some(part) = part.take() {
                        let payload = part.payload;
                        let answer = answer(attempt, offset, units, payload);
                        let body = frame::Body::Answer(answer);
                        self.forward(revision, &entry, part.room, body);
                    }
                }
                AgentAction::StartAttempt { attempt, run } => {
                    let running = self.attempts.enter(attempt);
                    let node = Arc::clone(self);
                    self.runtime.spawn(upstream::run(node, running, run));
                }
                AgentAction::StopAttempt { attempt } => self.attempts.stop(attempt),
                AgentAction::SendOrder(order) => {
                    let decided = self.clock.now();
                    let node = Arc::clone(self);
                    self.runtime.spawn(upstream::order(node, order, decided));
                }
                AgentAction::CallPlatform(call) => self.call_platform(call),
                AgentAction::ProbePredecessor { address } => self.probe(address),
                AgentAction::SetReady(ready) => self.set_ready(ready),
                AgentAction::RecordEvent(event) => self.recorder.record(event),
                AgentAction::Exit => self.exit.cancel(),
            }
        }
        self.ticker.rearm(role.due());
    }

    fn send(&self, revision: Revision, entry: &EntryId, body: frame::Body) {
        let Some(sender) = self.links.sender(entry) else {
            self.meters.unsent_frames.inc();
            return;
        };
        let renewed = is_renewed(&body);
        let sent = sender.try_send(self.frame(revision, body));
        if let Err(fault) = sent {
            self.meters.unsent_frames.inc();
            // A lost `End` or `Refused` would leave the entry waiting for what
            // was already said. Ending the link makes the loss plain.
            if matches!(fault, WireError::QueueFull) && !renewed {
                sender.close();
            }
        }
    }

    fn forward(
        &self,
        revision: Revision,
        entry: &EntryId,
        room: Option<SendPermit>,
        body: frame::Body,
    ) {
        let Some(room) = room else {
            self.send(revision, entry, body);
            return;
        };
        let sent = room.send(&self.frame(revision, body));
        if sent.is_err() {
            self.meters.unsent_frames.inc();
            if let Some(sender) = self.links.sender(entry) {
                // The entry would see a gap in the answer.
                sender.close();
            }
        }
    }

    fn call_platform(self: &Arc<Self>, call: PlatformCall) {
        let node = Arc::clone(self);
        self.runtime.spawn(async move {
            let result = tokio::select! {
                () = node.exit.cancelled() => return,
                result = node.platform.call(&call.op) => result,
            };
            let id = call.id;
            node.tell(AgentEvent::PlatformAnswered(PlatformResponse {
                id,
                result,
            }));
        });
    }

    fn probe(self: &Arc<Self>, address: String) {
        let node = Arc::clone(self);
        self.runtime.spawn(async move {
            let dead = predecessor::is_dead(&address, node.link_address).await;
            node.tell(AgentEvent::PredecessorProbed { dead });
        });
    }

    fn set_ready(&self, ready: bool) {
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            let word = if ready { "takes" } else { "does not take" };
            log::info!("{}: {word} work", self.options.id);
        }
    }
}

fn answer(attempt: AttemptId, offset: u64, units: u32, payload: Vec<u8>) -> Answer {
    Answer {
        attempt: Some(link::Attempt {
            origin: attempt.origin,
            sequence: attempt.sequence,
        }),
        offset,
        units,
        payload,
    }
}

/// Whether a lost frame is made up for by the next one of its kind.
const fn is_renewed(body: &frame::Body) -> bool {
    matches!(
        body,
        frame::Body::Heartbeat(_)
            | frame::Body::ConfigAsk(_)
            | frame::Body::ConfigChanges(_)
    )
}
