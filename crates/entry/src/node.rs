//! The machine and everything its actions reach.

use base::prelude::*;
use base::{PlatformCall, PlatformResponse};
use conf::Config;
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

use crate::calls::Calls;
use crate::links::{Host, Links};
use crate::metrics::Meters;
use crate::reply::{Ending, Incoming};

/// One entry: the machine, and what carries out its actions.
///
/// No lock is held while the machine is called, nor while one waits.
#[derive(Debug)]
pub(crate) struct Node {
    options: EntryOptions,
    role: EntryRole,
    clock: Clock,
    calls: Calls,
    links: Links,
    ticker: DeadlineTimer,
    platform: Arc<dyn ObjectApi>,
    recorder: EventRecorder,
    meters: Meters,
    limits_before_config: Limits,
    ready: AtomicBool,
    exit: CancellationToken,
    runtime: Handle,
    first_actions: Mutex<Vec<EntryAction>>,
}

impl Node {
    /// Makes the machine; [`Node::begin`] carries out its first actions.
    pub(crate) fn new(
        options: EntryOptions,
        clock: Clock,
        platform: Arc<dyn ObjectApi>,
        recorder: EventRecorder,
    ) -> Arc<Self> {
        let mut out = Vec::new();
        let role = EntryRole::new(options.clone(), clock.now(), &mut out);
        let before = Config::new(Revision(0), Fleet::default());
        Arc::new(Self {
            links: Links::new(options.seed),
            options,
            role,
            clock,
            calls: Calls::new(),
            ticker: DeadlineTimer::new(),
            platform,
            recorder,
            meters: Meters::new(),
            limits_before_config: *before.limits(),
            ready: AtomicBool::new(false),
            exit: CancellationToken::new(),
            runtime: Handle::current(),
            first_actions: Mutex::new(out),
        })
    }

    /// Carries out the machine's first actions and starts its timer.
    pub(crate) fn begin(self: &Arc<Self>) {
        let mut out = std::mem::take(&mut *self.first_actions.lock());
        self.perform(&mut out, None);
        let node = Arc::clone(self);
        self.runtime.spawn(async move {
            let due = || node.role().due();
            let tick = || node.tell(EntryEvent::Tick);
            node.ticker.run(&node.clock, &node.exit, due, tick).await;
        });
    }

    /// The machine.
    pub(crate) const fn role(&self) -> &EntryRole {
        &self.role
    }

    /// Requests in progress.
    pub(crate) const fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Seconds since the Unix epoch.
    pub(crate) fn unix_s(&self) -> u64 {
        (self.clock.unix_ms_at_zero() + self.clock.now().as_ms()) / 1_000
    }

    /// Counters of the shell.
    pub(crate) const fn meters(&self) -> &Meters {
        &self.meters
    }

    /// The time line.
    pub(crate) const fn recorder(&self) -> &EventRecorder {
        &self.recorder
    }

    /// Connections to agents and other entries.
    pub(crate) const fn links(&self) -> &Links {
        &self.links
    }

    /// Cancelled once the machine has drained.
    pub(crate) const fn exit(&self) -> &CancellationToken {
        &self.exit
    }

    /// Name of the process.
    pub(crate) const fn id(&self) -> &EntryId {
        &self.options.id
    }

    /// Runs a task on the process's runtime, from any thread.
    pub(crate) const fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Whether the process takes work.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Bounds in force.
    pub(crate) fn limits(&self) -> Limits {
        match self.role.config() {
            Some(config) => *config.limits(),
            None => self.limits_before_config,
        }
    }

    /// Tells the machine an event and carries out what it asks for.
    pub(crate) fn tell(self: &Arc<Self>, event: EntryEvent) {
        let mut out = Vec::new();
        self.role.handle(self.clock.now(), event, &mut out);
        self.perform(&mut out, None);
        self.ticker.rearm(self.role.due());
    }

    /// Tells the machine of a part of an answer. `scratch` is empty before and
    /// after; its memory is used again for each part.
    pub(crate) fn tell_part(
        self: &Arc<Self>,
        agent: &AgentId,
        answer: Answer,
        scratch: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = answer.attempt else {
            self.meters.bad_frames.inc();
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
        let held = Incoming {
            offset: answer.offset,
            units: answer.units,
            payload: answer.payload,
        };
        self.role.handle(self.clock.now(), event, scratch);
        self.perform(scratch, Some(held));
        self.ticker.rearm(self.role.due());
    }

    /// A frame with this process's clock and revision.
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

    fn perform(
        self: &Arc<Self>,
        actions: &mut Vec<EntryAction>,
        mut held: Option<Incoming>,
    ) {
        for action in actions.drain(..) {
            self.carry_out(action, &mut held);
        }
    }

    fn carry_out(self: &Arc<Self>, action: EntryAction, held: &mut Option<Incoming>) {
        match action {
            EntryAction::DeliverPart {
                request,
                skip_units,
            } => {
                if let Some(part) = held.take() {
                    self.deliver(request, part, skip_units);
                }
            }
            EntryAction::Finish {
                request,
                status,
                content_type,
                total_units,
            } => self.end(
                request,
                Ending::Whole {
                    status,
                    content_type,
                    total_units,
                },
            ),
            EntryAction::Refuse { request, refusal } => {
                self.end(request, Ending::Refused(refusal));
            }
            EntryAction::SendFrame { peer, body } => self.send(&peer, body),
            EntryAction::SendRun {
                request,
                agent,
                run,
            } => self.send_run(request, agent, *run),
            EntryAction::Connect { peer, address } => {
                let host = Arc::new(Arc::clone(self));
                self.links.connect(host, peer, address);
            }
            EntryAction::Disconnect { peer } => self.links.disconnect(&peer),
            EntryAction::CallPlatform(call) => self.call_platform(call),
            EntryAction::SetReady(ready) => self.set_ready(ready),
            EntryAction::RecordEvent(event) => self.recorder.record(event),
            EntryAction::Exit => self.exit.cancel(),
        }
    }

    fn deliver(self: &Arc<Self>, request: RequestId, part: Incoming, skip_units: u32) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        self.meters
            .delivered_bytes
            .inc_by(part.payload.len() as u64);
        let Err(broken) = call.reply.push(part, skip_units) else {
            return;
        };
        self.meters.broken(broken);
        self.give_up(request);
    }

    /// Ends a request whose answer this process broke off: for the machine it
    /// is as if the caller had gone.
    fn give_up(self: &Arc<Self>, request: RequestId) {
        if self.calls.remove(request).is_some() {
            self.tell(EntryEvent::CallerDisconnected { request });
        }
    }

    fn end(&self, request: RequestId, ending: Ending) {
        if let Some(call) = self.calls.remove(request) {
            call.reply.end(ending);
        }
    }

    fn send(&self, peer: &Peer, body: frame::Body) {
        let Some(sender) = self.links.sender(peer) else {
            self.meters.unsent_frames.inc();
            return;
        };
        let renewed = is_renewed(&body);
        if let Err(fault) = sender.try_send(self.frame(body)) {
            self.meters.unsent_frames.inc();
            // A lost `Cancel` or `Revoke` would leave a request running that
            // nobody waits for. Ending the link makes the loss plain to both
            // sides, and the machine settles what was in flight.
            if matches!(fault, WireError::QueueFull) && !renewed {
                sender.close();
            }
        }
    }

    fn send_run(self: &Arc<Self>, request: RequestId, agent: AgentId, mut run: Run) {
        let Some(call) = self.calls.get(request) else {
            return;
        };
        let Some(sender) = self.links.sender(&Peer::Agent(agent)) else {
            self.meters.unsent_frames.inc();
            return;
        };
        run.body = call.body.to_vec();
        let frame = self.frame(frame::Body::Run(run));
        let sent = self
            .calls
            .while_open(request, || sender.try_send(frame))
            .unwrap_or(Ok(()));
        match sent {
            Ok(()) => {}
            Err(WireError::FrameTooLarge { .. }) => {
                let refusal = RequestError::not_run(ErrorCode::BodyTooLarge);
                call.reply.end(Ending::Refused(refusal));
                self.give_up(request);
            }
            Err(fault) => {
                self.meters.unsent_frames.inc();
                if matches!(fault, WireError::QueueFull) {
                    sender.close();
                }
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
            let answer = PlatformResponse {
                id: call.id,
                result,
            };
            node.tell(EntryEvent::PlatformAnswered(answer));
        });
    }

    fn set_ready(&self, ready: bool) {
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            let word = if ready { "takes" } else { "does not take" };
            log::info!("{}: {word} requests", self.options.id);
        }
    }
}

/// Whether a lost frame is made up for by the next one of its kind.
const fn is_renewed(body: &frame::Body) -> bool {
    matches!(
        body,
        frame::Body::Heartbeat(_)
            | frame::Body::Gossip(_)
            | frame::Body::Target(_)
            | frame::Body::ConfigAsk(_)
            | frame::Body::ConfigChanges(_)
    )
}

impl Host for Arc<Node> {
    fn id(&self) -> &EntryId {
        Node::id(self)
    }

    fn links(&self) -> &Links {
        Node::links(self)
    }

    fn frame_max_bytes(&self) -> u32 {
        self.limits().frame_max_bytes
    }

    fn hello(&self) -> Frame {
        Node::hello(self)
    }

    fn recorder(&self) -> &EventRecorder {
        Node::recorder(self)
    }

    fn meters(&self) -> &Meters {
        Node::meters(self)
    }

    fn exit(&self) -> &CancellationToken {
        Node::exit(self)
    }

    fn runtime(&self) -> &Handle {
        Node::runtime(self)
    }

    fn tell(&self, event: EntryEvent) {
        Node::tell(self, event);
    }

    fn tell_part(
        &self,
        agent: &AgentId,
        answer: Answer,
        scratch: &mut Vec<EntryAction>,
    ) {
        Node::tell_part(self, agent, answer, scratch);
    }
}
