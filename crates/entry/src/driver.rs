//! The driver of the entry's state machine: passes events to it and runs its
//! actions.

use base::prelude::*;
use base::{PlatformCall, PlatformResponse};
use conf::Config;
use inbound::{BodyMemory, Budget};
use line::EventRecorder;
use oper::{Clock, DeadlineTimer};
use parking_lot::Mutex;
use plat::ObjectApi;
use role::Peer;
use role::entry::{EntryAction, EntryEvent, EntryOptions, EntryRole};
use schema::link::{Answer, Frame, Hello, Run, frame};
use schema::settings::{Fleet, Limits};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use wire::WireError;

use crate::active_requests::ActiveRequests;
use crate::links::{LinkHandler, Links};
use crate::metrics::ProcessMetrics;
use crate::response_queue::{ReceivedPart, ResponseEnd};

/// One entry process: the state machine, and all that its actions work on.
///
/// No lock is held while the state machine is called, nor across an await.
#[derive(Debug)]
pub(crate) struct Driver {
    options: EntryOptions,
    role: EntryRole,
    clock: Clock,
    active_requests: ActiveRequests,
    budget: Budget,
    body_memory: Arc<BodyMemory>,
    links: Links,
    timer: DeadlineTimer,
    platform: Arc<dyn ObjectApi>,
    recorder: EventRecorder,
    metrics: ProcessMetrics,
    default_limits: Limits,
    ready: AtomicBool,
    exit: CancellationToken,
    runtime: Handle,
    initial_actions: Mutex<Vec<EntryAction>>,
}

impl Driver {
    /// Creates the state machine; [`Driver::start`] runs its first actions.
    pub(crate) fn new(
        options: EntryOptions,
        clock: Clock,
        platform: Arc<dyn ObjectApi>,
        recorder: EventRecorder,
        budget: Budget,
    ) -> Arc<Self> {
        let mut actions = Vec::new();
        let role = EntryRole::new(options.clone(), clock.now(), &mut actions);
        let default_config = Config::new(Revision(0), Fleet::default());
        Arc::new(Self {
            links: Links::new(options.seed),
            options,
            role,
            clock,
            active_requests: ActiveRequests::new(),
            body_memory: BodyMemory::new(budget.bodies_bytes, budget.bodies_max_bytes),
            budget,
            timer: DeadlineTimer::new(),
            platform,
            recorder,
            metrics: ProcessMetrics::new(),
            default_limits: *default_config.limits(),
            ready: AtomicBool::new(false),
            exit: CancellationToken::new(),
            runtime: Handle::current(),
            initial_actions: Mutex::new(actions),
        })
    }

    /// Runs the first actions of the state machine and starts its timer.
    pub(crate) fn start(self: &Arc<Self>) {
        let mut actions = std::mem::take(&mut *self.initial_actions.lock());
        self.run_actions(&mut actions, None);
        let driver = Arc::clone(self);
        self.runtime.spawn(async move {
            let due = || driver.role().due();
            let on_due = || driver.handle_event(EntryEvent::Tick);
            driver
                .timer
                .run(&driver.clock, &driver.exit, due, on_due)
                .await;
        });
    }

    /// The state machine.
    pub(crate) const fn role(&self) -> &EntryRole {
        &self.role
    }

    /// What callers may take of the machine.
    pub(crate) const fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Memory for the bodies of requests.
    pub(crate) const fn body_memory(&self) -> &Arc<BodyMemory> {
        &self.body_memory
    }

    /// The current time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Requests in progress.
    pub(crate) const fn active_requests(&self) -> &ActiveRequests {
        &self.active_requests
    }

    /// The current time in seconds since the Unix epoch.
    pub(crate) fn unix_s(&self) -> u64 {
        (self.clock.unix_ms_at_zero() + self.clock.now().as_ms()) / 1_000
    }

    /// Metrics counted outside the state machine.
    pub(crate) const fn metrics(&self) -> &ProcessMetrics {
        &self.metrics
    }

    /// Records events of the timeline.
    pub(crate) const fn recorder(&self) -> &EventRecorder {
        &self.recorder
    }

    /// Links to agents and other entries.
    pub(crate) const fn links(&self) -> &Links {
        &self.links
    }

    /// Cancelled once the state machine has drained.
    pub(crate) const fn exit(&self) -> &CancellationToken {
        &self.exit
    }

    /// Id of the process.
    pub(crate) const fn id(&self) -> &EntryId {
        &self.options.id
    }

    /// The process's runtime, for spawning tasks from any thread.
    pub(crate) const fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Whether the process accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Limits of the configuration in force, or the defaults before there is one.
    pub(crate) fn limits(&self) -> Limits {
        match self.role.config() {
            Some(config) => *config.limits(),
            None => self.default_limits,
        }
    }

    /// Passes an event to the state machine and runs the actions that it returns.
    pub(crate) fn handle_event(self: &Arc<Self>, event: EntryEvent) {
        let mut actions = Vec::new();
        self.role.handle(self.clock.now(), event, &mut actions);
        self.run_actions(&mut actions, None);
        self.timer.rearm(self.role.due());
    }

    /// Passes a part of an answer to the state machine and runs the actions that
    /// it returns. `scratch` is empty before and after; its memory is reused for
    /// each part.
    pub(crate) fn handle_answer_part(
        self: &Arc<Self>,
        agent: &AgentId,
        answer: Answer,
        scratch: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = answer.attempt else {
            self.metrics.bad_frames.inc();
            return;
        };
        let event = EntryEvent::AnswerPart {
            agent: agent.clone(),
            attempt: AttemptId {
                origin: attempt.origin,
                sequence: attempt.sequence,
            },
            offset: answer.offset,
            units: answer.units,
        };
        let part = ReceivedPart {
            offset: answer.offset,
            units: answer.units,
            payload: answer.payload,
        };
        self.role.handle(self.clock.now(), event, scratch);
        self.run_actions(scratch, Some(part));
        self.timer.rearm(self.role.due());
    }

    /// A frame stamped with this process's clock and configuration revision.
    pub(crate) fn frame(&self, body: frame::Body) -> Frame {
        Frame {
            clock_us: self.recorder.now_us(),
            revision: self.role.revision().0,
            body: Some(body),
        }
    }

    /// The first frame of a link.
    pub(crate) fn hello(&self) -> Frame {
        self.frame(frame::Body::Hello(Hello {
            kind: "entry".to_owned(),
            id: self.options.id.to_string(),
            incarnation: self.options.incarnation.0,
            failure_domain: self.options.failure_domain.to_string(),
        }))
    }

    /// Runs actions. `part` is the received part that a `DeliverPart` among them
    /// refers to.
    fn run_actions(
        self: &Arc<Self>,
        actions: &mut Vec<EntryAction>,
        mut part: Option<ReceivedPart>,
    ) {
        for action in actions.drain(..) {
            self.run_action(action, &mut part);
        }
    }

    fn run_action(
        self: &Arc<Self>,
        action: EntryAction,
        part: &mut Option<ReceivedPart>,
    ) {
        match action {
            EntryAction::DeliverPart {
                request,
                skip_units,
            } => {
                if let Some(part) = part.take() {
                    self.deliver_part(request, part, skip_units);
                }
            }
            EntryAction::Finish {
                request,
                status,
                content_type,
                total_units,
            } => self.end_request(
                request,
                ResponseEnd::Complete {
                    status,
                    content_type,
                    total_units,
                },
            ),
            EntryAction::Fail { request, error } => {
                self.end_request(request, ResponseEnd::Failed(error));
            }
            EntryAction::SendFrame { peer, body } => self.send_frame(&peer, body),
            EntryAction::SendRun {
                request,
                agent,
                run,
            } => self.send_run(request, agent, *run),
            EntryAction::Connect { peer, address } => {
                let handler = Arc::new(Arc::clone(self));
                self.links.connect(handler, peer, address);
            }
            EntryAction::Disconnect { peer } => self.links.disconnect(&peer),
            EntryAction::CallPlatform(call) => self.call_platform(call),
            EntryAction::SetReady(ready) => self.set_ready(ready),
            EntryAction::RecordEvent(event) => self.recorder.record(event),
            EntryAction::Exit => self.exit.cancel(),
        }
    }

    /// Queues a part for the caller, and aborts the request if that fails.
    fn deliver_part(
        self: &Arc<Self>,
        request: RequestId,
        part: ReceivedPart,
        skip_units: u32,
    ) {
        let Some(active) = self.active_requests.get(request) else {
            return;
        };
        self.metrics
            .delivered_bytes
            .inc_by(part.payload.len() as u64);
        let Err(reason) = active.queue.push(part, skip_units) else {
            return;
        };
        self.metrics.count_abort(reason);
        self.abort_request(request);
    }

    /// Ends a request whose response this process aborted. The state machine
    /// handles it as if the caller had disconnected.
    fn abort_request(self: &Arc<Self>, request: RequestId) {
        if self.active_requests.remove(request).is_some() {
            self.handle_event(EntryEvent::CallerDisconnected { request });
        }
    }

    /// Ends a request and its response as the state machine decided.
    fn end_request(&self, request: RequestId, end: ResponseEnd) {
        if let Some(active) = self.active_requests.remove(request) {
            active.queue.end(end);
        }
    }

    /// Queues a frame on the link to a peer, if the link is up.
    fn send_frame(&self, peer: &Peer, body: frame::Body) {
        let Some(sender) = self.links.sender(peer) else {
            self.metrics.unsent_frames.inc();
            return;
        };
        let periodic = is_periodic(&body);
        if let Err(error) = sender.try_send(self.frame(body)) {
            self.metrics.unsent_frames.inc();
            // A lost `Cancel` or `Revoke` would leave a request running that
            // nobody waits for. Closing the link shows the loss to both
            // sides, and the state machine then handles what was in flight.
            if matches!(error, WireError::QueueFull) && !periodic {
                sender.close();
            }
        }
    }

    /// Sends a `Run` with the request's body to an agent, unless the request has
    /// ended in the meantime.
    fn send_run(self: &Arc<Self>, request: RequestId, agent: AgentId, mut run: Run) {
        let Some(active) = self.active_requests.get(request) else {
            return;
        };
        let Some(sender) = self.links.sender(&Peer::Agent(agent)) else {
            self.metrics.unsent_frames.inc();
            return;
        };
        run.body = active.body.to_vec();
        let frame = self.frame(frame::Body::Run(run));
        let sent = self
            .active_requests
            .with_active(request, || sender.try_send(frame))
            .unwrap_or(Ok(()));
        match sent {
            Ok(()) => {}
            Err(WireError::FrameTooLarge { .. }) => {
                let error = RequestError::not_run(ErrorCode::BodyTooLarge);
                active.queue.end(ResponseEnd::Failed(error));
                self.abort_request(request);
            }
            Err(error) => {
                self.metrics.unsent_frames.inc();
                if matches!(error, WireError::QueueFull) {
                    sender.close();
                }
            }
        }
    }

    /// Executes an operation on the platform, and passes its result to the state
    /// machine.
    fn call_platform(self: &Arc<Self>, call: PlatformCall) {
        let driver = Arc::clone(self);
        self.runtime.spawn(async move {
            let result = tokio::select! {
                () = driver.exit.cancelled() => return,
                result = driver.platform.call(&call.op) => result,
            };
            let answer = PlatformResponse {
                id: call.id,
                result,
            };
            driver.handle_event(EntryEvent::PlatformAnswered(answer));
        });
    }

    fn set_ready(&self, ready: bool) {
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            let word = if ready { "accepts" } else { "does not accept" };
            log::info!("{}: {word} requests", self.options.id);
        }
    }
}

/// Whether a frame is sent periodically, so that the next one of its kind
/// replaces a lost one.
const fn is_periodic(body: &frame::Body) -> bool {
    matches!(
        body,
        frame::Body::Heartbeat(_)
            | frame::Body::Gossip(_)
            | frame::Body::Target(_)
            | frame::Body::ConfigAsk(_)
            | frame::Body::ConfigChanges(_)
    )
}

impl LinkHandler for Arc<Driver> {
    fn id(&self) -> &EntryId {
        Driver::id(self)
    }

    fn links(&self) -> &Links {
        Driver::links(self)
    }

    fn frame_max_bytes(&self) -> u32 {
        self.limits().frame_max_bytes
    }

    fn hello(&self) -> Frame {
        Driver::hello(self)
    }

    fn recorder(&self) -> &EventRecorder {
        Driver::recorder(self)
    }

    fn metrics(&self) -> &ProcessMetrics {
        Driver::metrics(self)
    }

    fn exit(&self) -> &CancellationToken {
        Driver::exit(self)
    }

    fn runtime(&self) -> &Handle {
        Driver::runtime(self)
    }

    fn handle_event(&self, event: EntryEvent) {
        Driver::handle_event(self, event);
    }

    fn handle_answer_part(
        &self,
        agent: &AgentId,
        answer: Answer,
        scratch: &mut Vec<EntryAction>,
    ) {
        Driver::handle_answer_part(self, agent, answer, scratch);
    }
}
