//! Stand-ins: a platform, an engine with memory, and an agent between them.

use base::prelude::*;
use base::{Expect, PlatformAnswer, PlatformCall, PlatformOp, PlatformResult, Version};
use prost::Message as _;
use role::agent::{
    AgentAction, AgentEvent, AgentOptions, AgentRole, Order, OrderAnswer,
    UpstreamEvent, UpstreamOrder, UpstreamOrderState, UpstreamReport, UpstreamResident,
};
use schema::link::{self, End, Run, Target, TargetModel, frame};
use schema::store::AgentRecord;
use std::collections::{BTreeMap, VecDeque};

pub const HEARTBEAT_MS: u64 = 500;
pub const ORDER_DELAY_MS: u64 = 3_000;
pub const ENTRY: &str = "entry-1";

/// The configuration of every test: one pool of engines with one accelerator
/// of 100 MiB, and one of plain services.
const DOCUMENT: &str = r#"{
    "deployment": "test",
    "pools": {
        "engines": {"kind": "engine", "instances": 1, "accelerators_mib": [100],
            "concurrent_max": 4, "order_delay_max_ms": 3000},
        "desk": {"kind": "service", "instances": 1, "concurrent_max": 4}
    },
    "models": {
        "a": {"size_mib": 60, "version": 1, "pool": "engines"},
        "b": {"size_mib": 60, "version": 1, "pool": "engines"},
        "c": {"size_mib": 30, "version": 1, "pool": "engines"}
    },
    "adapters": {"a-adapter": {"base": "a", "size_mib": 10, "version": 1}},
    "profiles": {"talk": {"kind": "interactive", "models": ["a"],
        "between_tokens_ms": 50}},
    "services": {"parts": {"pool": "desk", "idempotent": false, "timeout_ms": 2000}},
    "limits": {"heartbeat_ms": 500}
}"#;

/// The platform's objects.
#[derive(Debug, Default)]
pub struct Platform {
    pub objects: BTreeMap<String, (u64, Vec<u8>)>,
    pub last: u64,
    pub away: bool,
}

impl Platform {
    pub fn new() -> Self {
        let mut platform = Self::default();
        let document = DOCUMENT.as_bytes().to_vec();
        platform
            .objects
            .insert("config/000000000001".to_owned(), (1, document));
        platform.last = 1;
        platform
    }

    pub fn apply(&mut self, op: &PlatformOp) -> PlatformResult {
        if self.away {
            return PlatformResult::Away;
        }
        match op {
            PlatformOp::Read { key } => {
                let held = self.objects.get(key);
                PlatformResult::Object(held.map(|(v, o)| (Version(*v), o.clone())))
            }
            PlatformOp::List { prefix } => self.list(prefix),
            PlatformOp::Write { key, expect, value } => {
                self.change(key, *expect, Some(value.clone()))
            }
            PlatformOp::Delete { key, expect } => self.change(key, *expect, None),
            PlatformOp::Watch { .. } => PlatformResult::Unanswered,
        }
    }

    fn list(&self, prefix: &str) -> PlatformResult {
        let found = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (version, value))| {
                (key.clone(), Version(*version), value.clone())
            });
        PlatformResult::Objects(found.collect(), Version(self.last))
    }

    fn change(
        &mut self,
        key: &str,
        expect: Expect,
        value: Option<Vec<u8>>,
    ) -> PlatformResult {
        let held = self.objects.get(key).map(|(version, _)| Version(*version));
        let fits = match expect {
            Expect::Any => true,
            Expect::Absent => held.is_none(),
            Expect::Version(version) => held == Some(version),
        };
        if !fits {
            return PlatformResult::Conflict;
        }
        self.last += 1;
        if let Some(value) = value {
            self.objects.insert(key.to_owned(), (self.last, value));
        } else {
            self.objects.remove(key);
        }
        PlatformResult::Written(Version(self.last))
    }

    pub fn record(&self) -> AgentRecord {
        let (_, value) = &self.objects["agents/one"];
        AgentRecord::decode(value.as_slice()).expect("the agent writes its record")
    }
}

/// An engine that carries out orders and counts its memory.
#[derive(Debug)]
pub struct Engine {
    pub incarnation: u64,
    pub checks_fencing: bool,
    pub fence: u64,
    residents: BTreeMap<(String, u32), (u32, bool)>,
    orders: BTreeMap<u64, (Order, UpstreamOrderState)>,
    /// Most memory there ever was.
    pub peak_mib: u32,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            incarnation: 7,
            checks_fencing: false,
            fence: 0,
            residents: BTreeMap::new(),
            orders: BTreeMap::new(),
            peak_mib: 0,
        }
    }

    /// Takes an order and begins to carry it out.
    pub fn take(&mut self, order: &Order) -> OrderAnswer {
        if self.checks_fencing && order.fence.0 < self.fence {
            return OrderAnswer::Fenced;
        }
        self.fence = self.fence.max(order.fence.0);
        if self.orders.contains_key(&order.id) {
            return OrderAnswer::Accepted;
        }
        let key = (order.model.as_str().to_owned(), order.version);
        if order.load {
            self.residents.entry(key).or_insert((order.size_mib, false));
        }
        let state = UpstreamOrderState::InProgress;
        self.orders.insert(order.id, (order.clone(), state));
        self.peak_mib = self.peak_mib.max(self.memory_mib());
        OrderAnswer::Accepted
    }

    /// Ends the orders in progress.
    pub fn finish(&mut self) {
        for (order, state) in self.orders.values_mut() {
            if *state != UpstreamOrderState::InProgress {
                continue;
            }
            *state = UpstreamOrderState::Done;
            let key = (order.model.as_str().to_owned(), order.version);
            if order.load {
                self.residents.insert(key, (order.size_mib, true));
            } else {
                self.residents.remove(&key);
            }
        }
    }

    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.fence = 0;
        self.residents.clear();
        self.orders.clear();
    }

    pub fn memory_mib(&self) -> u32 {
        self.residents.values().map(|(size, _)| size).sum()
    }

    pub fn holds(&self, model: &str) -> bool {
        let mut residents = self.residents.iter();
        residents.any(|((name, _), (_, loaded))| name == model && *loaded)
    }

    pub fn report(&self) -> UpstreamReport {
        let residents =
            self.residents
                .iter()
                .map(|((model, version), held)| UpstreamResident {
                    model: ModelId::new(model),
                    version: *version,
                    accelerator: 0,
                    size_mib: held.0,
                    loaded: held.1,
                });
        let orders = self.orders.values().map(|(order, state)| UpstreamOrder {
            order: order.id,
            fence: order.fence.0,
            state: *state,
        });
        UpstreamReport {
            incarnation: self.incarnation,
            residents: residents.collect(),
            orders: orders.collect(),
            fence: self.fence,
            ..UpstreamReport::default()
        }
    }
}

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
        domain: DomainId::new("zone"),
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
                AgentAction::Send { entry, body } => self.frames.push((entry, body)),
                AgentAction::Forward {
                    attempt,
                    offset,
                    units,
                    ..
                } => self.forwards.push((attempt, offset, units)),
                AgentAction::Start { attempt, run } => self.starts.push((attempt, run)),
                AgentAction::Stop { attempt } => self.stops.push(attempt),
                AgentAction::Order(order) => self.orders.push_back(order),
                AgentAction::Platform(call) => self.calls.push_back(call),
                AgentAction::ProbePredecessor { address } => self.probes.push(address),
                AgentAction::Ready(ready) => self.ready = ready,
                AgentAction::Trace(_) => {}
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
        self.handle(AgentEvent::Platform(PlatformAnswer { id, result }));
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
        self.upstream(UpstreamEvent::KeyedPart {
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

pub const fn id(sequence: u64) -> AttemptId {
    AttemptId {
        origin: 1,
        sequence,
    }
}

pub fn attempt(sequence: u64) -> Option<link::Attempt> {
    Some(link::Attempt {
        origin: 1,
        sequence,
    })
}

/// A request for tokens of a model.
pub fn model_run(sequence: u64, incarnation: u64, model: &str) -> Run {
    Run {
        attempt: attempt(sequence),
        agent_incarnation: incarnation,
        remaining_ms: 10_000,
        model: model.to_owned(),
        version: 1,
        idempotent: true,
        fingerprint: 1_000 + sequence,
        ..Run::default()
    }
}

/// A call of the plain service that may not be repeated.
pub fn service_run(sequence: u64, incarnation: u64, key: &str) -> Run {
    Run {
        attempt: attempt(sequence),
        agent_incarnation: incarnation,
        remaining_ms: 10_000,
        caller: "desk".to_owned(),
        service: "parts".to_owned(),
        idempotency_key: key.to_owned(),
        body_hash: 5,
        ..Run::default()
    }
}
