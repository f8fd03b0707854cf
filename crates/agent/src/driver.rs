//! The driver of the agent's state machine.

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

use crate::attempts::RunningAttempts;
use crate::links::Links;
use crate::metrics::ProcessMetrics;
use crate::predecessor;
use crate::upstream::{self, Upstream};

/// Feeds events into the agent's state machine and carries out its actions.
#[derive(Debug)]
pub(crate) struct AgentDriver {
    options: AgentOptions,
    link_address: SocketAddr,
    role: Mutex<AgentRole>,
    clock: Clock,
    links: Links,
    attempts: Arc<RunningAttempts>,
    upstream: Upstream,
    deadline_timer: DeadlineTimer,
    platform: Arc<dyn ObjectApi>,
    recorder: EventRecorder,
    metrics: ProcessMetrics,
    ready: AtomicBool,
    exit: CancellationToken,
    runtime: Handle,
    /// Actions of the state machine's construction, until they are carried out.
    initial_actions: Mutex<Vec<AgentAction>>,
}

/// The agent's own address and the external services that it uses.
#[derive(Debug)]
pub(crate) struct Environment {
    /// Address on which this process accepts links.
    pub(crate) link_address: SocketAddr,
    pub(crate) upstream_address: SocketAddr,
    pub(crate) platform: Arc<dyn ObjectApi>,
    pub(crate) recorder: EventRecorder,
}

/// A part of an answer that the state machine has not decided on yet.
#[derive(Debug)]
pub(crate) struct PendingPart {
    pub(crate) payload: Vec<u8>,
    /// Permit for the entry's send queue; `None` if the entry is not connected.
    pub(crate) permit: Option<SendPermit>,
}

impl AgentDriver {
    /// Creates the state machine; [`AgentDriver::start`] carries out its initial
    /// actions.
    pub(crate) fn new(
        options: AgentOptions,
        clock: Clock,
        environment: Environment,
    ) -> Arc<Self> {
        let mut actions = Vec::new();
        let role = AgentRole::new(options.clone(), clock.now(), &mut actions);
        Arc::new(Self {
            options,
            link_address: environment.link_address,
            role: Mutex::new(role),
            clock,
            links: Links::default(),
            attempts: Arc::default(),
            upstream: Upstream::new(environment.upstream_address),
            deadline_timer: DeadlineTimer::new(),
            platform: environment.platform,
            recorder: environment.recorder,
            metrics: ProcessMetrics::new(),
            ready: AtomicBool::new(false),
            exit: CancellationToken::new(),
            runtime: Handle::current(),
            initial_actions: Mutex::new(actions),
        })
    }

    /// Carries out the initial actions and starts the state machine's timer and the
    /// polling of the upstream's state.
    pub(crate) fn start(self: &Arc<Self>) {
        let mut role = self.role.lock();
        let mut actions = std::mem::take(&mut *self.initial_actions.lock());
        self.run_actions(&mut role, &mut actions, &mut None);
        drop(role);
        let driver = Arc::clone(self);
        self.runtime.spawn(async move {
            let due = || driver.role().due();
            let tick = || driver.handle_event(AgentEvent::Tick);
            driver
                .deadline_timer
                .run(&driver.clock, &driver.exit, due, tick)
                .await;
        });
        self.runtime.spawn(upstream::poll_state(Arc::clone(self)));
    }

    /// Locks the state machine, for reading its state.
    pub(crate) fn role(&self) -> MutexGuard<'_, AgentRole> {
        self.role.lock()
    }

    /// Returns the clock whose time the state machine is given.
    pub(crate) const fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Returns the recorder of timeline events.
    pub(crate) const fn recorder(&self) -> &EventRecorder {
        &self.recorder
    }

    /// Returns the links to entries.
    pub(crate) const fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the attempts that are running at the upstream.
    pub(crate) fn attempts(&self) -> &RunningAttempts {
        &self.attempts
    }

    /// Returns the upstream of this agent.
    pub(crate) const fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Returns the metrics that are counted outside the state machine.
    pub(crate) const fn metrics(&self) -> &ProcessMetrics {
        &self.metrics
    }

    /// Returns the token that is cancelled once the state machine has drained.
    pub(crate) const fn exit(&self) -> &CancellationToken {
        &self.exit
    }

    /// Returns the name of the instance.
    pub(crate) const fn id(&self) -> &AgentId {
        &self.options.id
    }

    /// Returns whether the process accepts work.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.role.lock().config().cloned()
    }

    /// Returns whether the upstream is a model engine rather than a plain service;
    /// `None` while no configuration contains the pool.
    pub(crate) fn is_engine(&self) -> Option<bool> {
        let config = self.config()?;
        let pool = config.pool(self.options.pool.as_str())?;
        Some(pool.is_engine)
    }

    /// Returns the maximum time, in milliseconds, that an order can take to reach the
    /// upstream; `None` while no configuration contains the pool.
    pub(crate) fn order_delay_max_ms(&self) -> Option<u64> {
        let config = self.config()?;
        let pool = config.pool(self.options.pool.as_str())?;
        Some(u64::from(pool.order_delay_max_ms))
    }

    /// Returns the maximum frame size in force, in bytes.
    pub(crate) fn frame_max_bytes(&self) -> u32 {
        self.config()
            .map_or(wire::DEFAULT_FRAME_MAX_BYTES, |config| {
                config.limits().frame_max_bytes
            })
    }

    /// Returns the recorded events that match the filter.
    pub(crate) fn timeline(&self, filter: &EventFilter) -> Vec<line::Event> {
        self.recorder.events(filter)
    }

    /// Passes an event to the state machine and carries out the resulting actions.
    pub(crate) fn handle_event(self: &Arc<Self>, event: AgentEvent) {
        self.handle_events(|| vec![event]);
    }

    /// Passes several events to the state machine and carries out the resulting
    /// actions. The events are created under the state machine's lock, so that what
    /// they report can't change before the state machine has handled them.
    pub(crate) fn handle_events(
        self: &Arc<Self>,
        make_events: impl FnOnce() -> Vec<AgentEvent>,
    ) {
        let mut role = self.role.lock();
        let mut actions = Vec::new();
        for event in make_events() {
            role.handle(self.clock.now(), event, &mut actions);
        }
        self.run_actions(&mut role, &mut actions, &mut None);
    }

    /// Passes a part of an answer to the state machine, which decides whether the
    /// part is forwarded to the entry.
    pub(crate) fn handle_answer_part(
        self: &Arc<Self>,
        event: UpstreamEvent,
        part: PendingPart,
    ) {
        let mut role = self.role.lock();
        let mut actions = Vec::new();
        let event = AgentEvent::Upstream(event);
        role.handle(self.clock.now(), event, &mut actions);
        self.run_actions(&mut role, &mut actions, &mut Some(part));
    }

    /// Returns the `Hello` frame of this process.
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

    /// Carries out actions of the state machine. The caller holds its lock, so frames
    /// are enqueued in the order in which they were decided.
    fn run_actions(
        self: &Arc<Self>,
        role: &mut AgentRole,
        actions: &mut Vec<AgentAction>,
        part: &mut Option<PendingPart>,
    ) {
        let revision = role.revision();
        for action in actions.drain(..) {
            match action {
                AgentAction::SendFrame { entry, body } => {
                    self.send_frame(revision, &entry, body);
                }
                AgentAction::ForwardPart {
                    entry,
                    attempt,
                    offset,
                    units,
                } => {
                    if let Some(part) = part.take() {
                        let payload = part.payload;
                        let answer = answer_frame(attempt, offset, units, payload);
                        let body = frame::Body::Answer(answer);
                        self.forward_part(revision, &entry, part.permit, body);
                    }
                }
                AgentAction::StartAttempt { attempt, run } => {
                    let guard = self.attempts.register(attempt);
                    let driver = Arc::clone(self);
                    self.runtime
                        .spawn(upstream::run_attempt(driver, guard, run));
                }
                AgentAction::StopAttempt { attempt } => self.attempts.stop(attempt),
                AgentAction::SendOrder(order) => {
                    let decided_at = self.clock.now();
                    let driver = Arc::clone(self);
                    self.runtime
                        .spawn(upstream::execute_order(driver, order, decided_at));
                }
                AgentAction::CallPlatform(call) => self.call_platform(call),
                AgentAction::ProbePredecessor { address } => {
                    self.probe_predecessor(address);
                }
                AgentAction::SetReady(ready) => self.set_ready(ready),
                AgentAction::RecordEvent(event) => self.recorder.record(event),
                AgentAction::Exit => self.exit.cancel(),
            }
        }
        self.deadline_timer.rearm(role.due());
    }

    fn send_frame(&self, revision: Revision, entry: &EntryId, body: frame::Body) {
        let Some(sender) = self.links.sender(entry) else {
            self.metrics.unsent_frames.inc();
            return;
        };
        let periodic = is_periodic(&body);
        let sent = sender.try_send(self.frame(revision, body));
        if let Err(error) = sent {
            self.metrics.unsent_frames.inc();
            // If an `End` or `Refused` frame were lost, the entry would wait for it.
            // Closing the link makes the entry notice the loss.
            if matches!(error, WireError::QueueFull) && !periodic {
                sender.close();
            }
        }
    }

    fn forward_part(
        &self,
        revision: Revision,
        entry: &EntryId,
        permit: Option<SendPermit>,
        body: frame::Body,
    ) {
        let Some(permit) = permit else {
            self.send_frame(revision, entry, body);
            return;
        };
        let sent = permit.send(&self.frame(revision, body));
        if sent.is_err() {
            self.metrics.unsent_frames.inc();
            if let Some(sender) = self.links.sender(entry) {
                // Without the part the answer would have a gap.
                sender.close();
            }
        }
    }

    /// Calls the platform in a task and passes the response to the state machine.
    fn call_platform(self: &Arc<Self>, call: PlatformCall) {
        let driver = Arc::clone(self);
        self.runtime.spawn(async move {
            let result = tokio::select! {
                () = driver.exit.cancelled() => return,
                result = driver.platform.call(&call.op) => result,
            };
            let id = call.id;
            driver.handle_events(|| {
                vec![
                    AgentEvent::PlatformGeneration(driver.platform.generation()),
                    AgentEvent::PlatformAnswered(PlatformResponse { id, result }),
                ]
            });
        });
    }

    /// Checks in a task whether a predecessor is dead and reports the result to the
    /// state machine.
    fn probe_predecessor(self: &Arc<Self>, address: String) {
        let driver = Arc::clone(self);
        self.runtime.spawn(async move {
            let dead = predecessor::is_dead(&address, driver.link_address).await;
            driver.handle_event(AgentEvent::PredecessorProbed { dead });
        });
    }

    fn set_ready(&self, ready: bool) {
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            let change = if ready {
                "accepts"
            } else {
                "no longer accepts"
            };
            log::info!("{}: {change} work", self.options.id);
        }
    }
}

fn answer_frame(
    attempt: AttemptId,
    offset: u64,
    units: u32,
    payload: Vec<u8>,
) -> Answer {
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

/// Returns whether a frame is sent periodically, so that the next one of its kind makes
/// up for its loss.
const fn is_periodic(body: &frame::Body) -> bool {
    matches!(
        body,
        frame::Body::Heartbeat(_)
            | frame::Body::ConfigAsk(_)
            | frame::Body::ConfigChanges(_)
    )
}
