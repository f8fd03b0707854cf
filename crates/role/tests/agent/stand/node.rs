//! An agent between platform and engine.

use super::{ENTRY, Engine, Platform, id};
use base::prelude::*;
use base::{PlatformAnswer, PlatformCall, PlatformResult};
use role::agent::{
    AgentAction, AgentEvent, AgentOptions, AgentRole, Order, OrderAnswer, UpstreamEvent,
};
use schema::link::{self, End, Run, Target, TargetModel, frame};
use std::collections::VecDeque;

/// An agent with what it asked for and what nobody has answered yet.
#[derive(Debug)]
pub struct Node {
    pub role: AgentRole,
    pub now: Instant,
    pub calls: VecDeque<PlatformCall>,
    pub orders: VecDeque<Order>,
    pub starts: Vec<(AttemptId, Box<Run>)>,
    pub stops: Vec<AttemptId>,
    pub frames: Vec<(EntryId, frame::Body)>,
    pub forwards: Vec<(AttemptId, u64, u32)>,
    pub probes: Vec<String>,
    pub ready: bool,
    pub exited: bool,
}

pub fn options(incarnation: u64, pool: &str, link_address: &str) -> AgentOptions {
    AgentOptions {
        id: AgentId::new("one"),
        incarnation: Incarnation(incarnation),
        failure_domain: DomainId::new("zone"),
        pool: PoolId::new(pool),
        link_address: link_address.to_owned(),
        operator_address: "127.0.0.1:2".to_owned(),
        seed: incarnation,
        unix_ms_at_zero: 1_000_000,
    }
}

impl Node {
    pub fn start(incarnation: u64, pool: &str, address: &str, now: Instant) -> Self {
        let mut out = Vec::new();
        let options = options(incarnation, pool, address);
        let role = AgentRole::new(options, now, &mut out);
        let mut node = Self {
            role,
            now,
            calls: VecDeque::new(),
            orders: VecDeque::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            frames: Vec::new(),
            forwards: Vec::new(),
            probes: Vec::new(),
            ready: false,
            exited: false,
        };
        node.take(out);
        node
    }

    /// An agent beside an engine, with a configuration, an epoch and an entry.
    pub fn engine(
        incarnation: u64,
        address: &str,
        now: Instant,
        platform: &mut Platform,
        engine: &Engine,
    ) -> Self {
        let mut node = Self::start(incarnation, "engines", address, now);
        node.link_up(ENTRY);
        node.pump(platform);
        node.report(engine);
        node.pump(platform);
        node
    }

    /// An agent beside a plain service.
    pub fn service(incarnation: u64, now: Instant, platform: &mut Platform) -> Self {
        let mut node = Self::start(incarnation, "desk", "127.0.0.1:1", now);
        node.link_up(ENTRY);
        node.pump(platform);
        node.report(&Engine::new());
        node
    }

    pub fn handle(&mut self, event: AgentEvent) {
        let mut out = Vec::new();
        self.role.handle(self.now, event, &mut out);
        self.take(out);
    }

    fn take(&mut self, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::SendFrame { entry, body } => {
                    self.frames.push((entry, body));
                }
                AgentAction::ForwardPart {
                    attempt,
                    offset,
                    units,
                    ..
                } => self.forwards.push((attempt, offset, units)),
                AgentAction::StartAttempt { attempt, run } => {
                    self.starts.push((attempt, run));
                }
                AgentAction::StopAttempt { attempt } => self.stops.push(attempt),
                AgentAction::SendOrder(order) => self.orders.push_back(order),
                AgentAction::CallPlatform(call) => self.calls.push_back(call),
                AgentAction::ProbePredecessor { address } => self.probes.push(address),
                AgentAction::SetReady(ready) => self.ready = ready,
                AgentAction::RecordEvent(_) => {}
                AgentAction::Exit => self.exited = true,
            }
        }
    }

    pub fn link_up(&mut self, entry: &str) {
        let entry = EntryId::new(entry);
        self.handle(AgentEvent::LinkUp { entry });
    }

    pub fn link_down(&mut self, entry: &str) {
        let entry = EntryId::new(entry);
        self.handle(AgentEvent::LinkDown { entry });
    }

    pub fn frame(&mut self, body: frame::Body) {
        self.handle(AgentEvent::Frame {
            entry: EntryId::new(ENTRY),
            revision: Revision(1),
            body,
        });
    }

    pub fn upstream(&mut self, event: UpstreamEvent) {
        self.handle(AgentEvent::Upstream(event));
    }

    pub fn report(&mut self, engine: &Engine) {
        self.upstream(UpstreamEvent::Report(engine.report()));
    }

    pub fn answer(&mut self, id: u64, result: PlatformResult) {
        self.handle(AgentEvent::PlatformAnswered(PlatformAnswer { id, result }));
    }

    /// Answers one call.
    pub fn step(&mut self, platform: &mut Platform) -> bool {
        let Some(call) = self.calls.pop_front() else {
            return false;
        };
        let result = platform.apply(&call.op);
        self.answer(call.id, result);
        true
    }

    /// Answers calls until none is left.
    pub fn pump(&mut self, platform: &mut Platform) {
        for _ in 0..200 {
            if !self.step(platform) {
                return;
            }
        }
        panic!("the agent never comes to rest");
    }

    /// Gives the engine the orders that wait, and tells the agent its answers.
    pub fn deliver_orders(&mut self, engine: &mut Engine) {
        while let Some(order) = self.orders.pop_front() {
            let answer = engine.take(&order);
            let order = order.id;
            self.upstream(UpstreamEvent::OrderAnswered { order, answer });
        }
    }

    pub fn unanswered(&mut self, order: u64) {
        let answer = OrderAnswer::Unanswered;
        self.upstream(UpstreamEvent::OrderAnswered { order, answer });
    }

    /// Lets time pass; the driver ticks whenever the machine wants it.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while let Some(due) = self.role.due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.handle(AgentEvent::Tick);
            let next = self.role.due().expect("heartbeats are always due");
            assert!(next > self.now, "still due after its tick");
        }
        self.now = end;
    }

    /// Lets time pass with engine and platform at work.
    pub fn work(&mut self, ms: u64, platform: &mut Platform, engine: &mut Engine) {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.pass(100);
            self.pump(platform);
            self.deliver_orders(engine);
            engine.finish();
            self.report(engine);
            self.pump(platform);
        }
    }

    /// A planner wants these models on the accelerator.
    pub fn target(&mut self, planner: &str, rank: u64, models: &[(&str, u32)]) {
        let models = models.iter().map(|(model, version)| TargetModel {
            model: (*model).to_owned(),
            version: *version,
            accelerator: 0,
            reason: 0,
        });
        let target = Target {
            planner: planner.to_owned(),
            rank,
            sequence: self.now.as_us(),
            agent_incarnation: self.incarnation(),
            models: models.collect(),
            revision: 1,
        };
        self.frame(frame::Body::Target(target));
    }

    pub fn incarnation(&self) -> u64 {
        self.role.status().incarnation
    }

    pub fn in_use_mib(&self) -> u64 {
        self.role.ledger().in_use_mib(0)
    }

    /// The refusal of an attempt, if one was sent.
    pub fn refusal(&self, attempt: u64) -> Option<Code> {
        self.frames.iter().find_map(|(_, body)| match body {
            frame::Body::Refused(refused) if is(refused.attempt, attempt) => {
                Code::from_number(refused.code)
            }
            _ => None,
        })
    }

    pub fn end(&self, attempt: u64) -> Option<&End> {
        self.frames.iter().find_map(|(_, body)| match body {
            frame::Body::End(end) if is(end.attempt, attempt) => Some(end),
            _ => None,
        })
    }

    pub fn revoked(&self, attempt: u64) -> Option<Ran> {
        self.frames.iter().rev().find_map(|(_, body)| match body {
            frame::Body::Revoked(revoked) if is(revoked.attempt, attempt) => {
                Some(Ran::from_number(revoked.ran))
            }
            _ => None,
        })
    }

    pub fn started(&self, attempt: u64) -> bool {
        self.starts.iter().any(|(id, _)| id.sequence == attempt)
    }

    /// Ends an attempt in good order with a small answer.
    pub fn serve(&mut self, attempt: u64) {
        let attempt = id(attempt);
        self.upstream(UpstreamEvent::Started { attempt });
        self.upstream(UpstreamEvent::KeyedAnswerPart {
            attempt,
            units: 2,
            payload: b"ok".to_vec(),
        });
        self.upstream(UpstreamEvent::Done {
            attempt,
            status: 200,
            content_type: "text/plain".to_owned(),
        });
    }
}

fn is(attempt: Option<link::Attempt>, sequence: u64) -> bool {
    attempt.is_some_and(|attempt| attempt.sequence == sequence)
}
