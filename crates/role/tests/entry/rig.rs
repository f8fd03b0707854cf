//! An entry's machine with hand-made agents around it.

use base::prelude::*;
use base::{PlatformAnswer, PlatformOp, PlatformResult, Version};
use role::Peer;
use role::entry::{Arrival, EntryAction, EntryEvent, EntryOptions, EntryRole, Work};
use schema::link::{self, Heartbeat, Load, Resident, Run, frame};
use schema::timeline::EventKind;
use serde_json::{Value, json};
use std::collections::BTreeMap;

pub const KEY: &str = "key-desk";
pub const ME: u64 = 7;

pub fn document() -> Value {
    let model = |pool: &str| json!({"size_mib": 70, "version": 1, "pool": pool});
    json!({
        "deployment": "test",
        "failure_domains": {"d1": {}, "d2": {}},
        "pools": {
            "gpu": {"kind": "engine", "instances": 4, "failure_domains": ["d1"],
                "accelerators_mib": [80], "step_time_us": 10000,
                "concurrent_max": 4},
            "desk": {"kind": "service", "instances": 1, "failure_domains": ["d1"],
                "concurrent_max": 4},
        },
        "models": {"m1": model("gpu"), "m2": model("gpu"), "m3": model("gpu")},
        "profiles": {
            "desk": {"kind": "interactive", "models": ["m1", "m2", "m3"],
                "deadline_ms": 30000, "priority": 5, "value": 1.0},
            "night": {"kind": "batch", "models": ["m1", "m2", "m3"],
                "deadline_ms": 60000, "priority": 1, "value": 0.1},
        },
        "services": {
            "orders": {"pool": "desk", "idempotent": false, "timeout_ms": 2000},
            "parts": {"pool": "desk", "idempotent": true, "timeout_ms": 2000},
        },
        "callers": {"c1": {"key_sha256": conf::key_hash(KEY), "concurrent_max": 500}},
        "limits": {"heartbeat_ms": 500},
    })
}

pub fn options(id: &str, incarnation: u64) -> EntryOptions {
    EntryOptions {
        id: EntryId::new(id),
        incarnation: Incarnation(incarnation),
        domain: DomainId::new("d1"),
        link_address: format!("10.0.0.1:{incarnation}"),
        operator_address: String::new(),
        peers: Vec::new(),
        shards: 2,
        seed: 1,
        unix_ms_at_zero: 0,
    }
}

/// What the rig says for one agent.
#[derive(Debug, Clone)]
pub struct FakeAgent {
    pub incarnation: u64,
    pub sequence: u64,
    pub pool: &'static str,
    pub domain: &'static str,
    pub models: Vec<(String, u32)>,
    pub running: u32,
    pub upstream_up: bool,
    pub leaving: bool,
    pub silent: bool,
}

pub struct Rig {
    pub role: EntryRole,
    pub now: Instant,
    pub agents: BTreeMap<String, FakeAgent>,
    pub platform_away: bool,
    /// Reads are not answered.
    pub held_reads: bool,
    pub objects: BTreeMap<String, Vec<u8>>,
    /// All actions since the last `clear`.
    pub log: Vec<EntryAction>,
}

impl Rig {
    /// A ready entry with a configuration and no agents.
    pub fn new() -> Self {
        let mut rig = Self::unready(options("e1", ME));
        rig.publish(1, &document());
        rig.start();
        assert!(rig.role.config().is_some());
        rig
    }

    pub fn unready(options: EntryOptions) -> Self {
        let now = Instant::from_ms(1_000);
        let mut log = Vec::new();
        Self {
            role: EntryRole::new(options, now, &mut log),
            now,
            agents: BTreeMap::new(),
            platform_away: false,
            held_reads: false,
            objects: BTreeMap::new(),
            log,
        }
    }

    pub fn start(&mut self) {
        let first = std::mem::take(&mut self.log);
        self.answer(&first);
        self.log.extend(first);
        self.advance(150);
    }

    pub fn publish(&mut self, revision: u64, patch: &Value) {
        let key = conf::revision_key(Revision(revision));
        self.objects.insert(key, patch.to_string().into_bytes());
    }

    /// Writes an object and tells of it whoever waits for its prefix.
    pub fn put(&mut self, key: &str, value: &[u8]) {
        self.objects.insert(key.to_owned(), value.to_vec());
        let calls = self.log.iter().filter_map(|action| match action {
            EntryAction::Platform(call) => Some(call),
            _ => None,
        });
        let told = calls.filter(|call| match &call.op {
            PlatformOp::Watch { prefix, .. } => key.starts_with(prefix.as_str()),
            _ => false,
        });
        for id in told.map(|call| call.id).collect::<Vec<_>>() {
            let news = vec![(key.to_owned(), Version(2), value.to_vec())];
            let result = PlatformResult::Objects(news, Version(2));
            self.handle(EntryEvent::Platform(PlatformAnswer { id, result }));
        }
    }

    pub fn handle(&mut self, event: EntryEvent) {
        let mut out = Vec::new();
        self.role.handle(self.now, event, &mut out);
        self.answer(&out);
        self.log.extend(out);
    }

    fn answer(&mut self, actions: &[EntryAction]) {
        for action in actions {
            if let EntryAction::Platform(call) = action {
                let id = call.id;
                let result = match (&call.op, self.platform_away) {
                    (_, true) => PlatformResult::Away,
                    (PlatformOp::Read { .. }, _) if self.held_reads => continue,
                    (PlatformOp::Read { key }, _) => {
                        let held = self.objects.get(key);
                        PlatformResult::Object(held.map(|v| (Version(1), v.clone())))
                    }
                    (PlatformOp::List { prefix }, _) => self.list(prefix),
                    (PlatformOp::Write { .. }, _) => {
                        PlatformResult::Written(Version(1))
                    }
                    (PlatformOp::Delete { .. }, _) => {
                        PlatformResult::Written(Version(2))
                    }
                    (PlatformOp::Watch { .. }, _) => continue,
                };
                self.handle(EntryEvent::Platform(PlatformAnswer { id, result }));
            }
        }
    }

    fn list(&self, prefix: &str) -> PlatformResult {
        let held = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let held = held.map(|(key, value)| (key.clone(), Version(1), value.clone()));
        PlatformResult::Objects(held.collect(), Version(1))
    }

    /// Lets time pass, with ticks as they are due and heartbeats of all agents
    /// that are not silent.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            let due = self.role.due().unwrap_or(end).max(self.now);
            let next = due.min(end).min(self.now.plus_ms(250));
            self.now = next.max(Instant::from_us(self.now.as_us() + 1));
            self.beat_all();
            self.handle(EntryEvent::Tick);
        }
    }

    pub fn beat_all(&mut self) {
        let ids: Vec<String> = self.agents.keys().cloned().collect();
        for id in ids {
            if !self.agents[&id].silent {
                self.beat(&id);
            }
        }
    }

    /// An agent with models, connected and heard.
    pub fn agent(&mut self, id: &str, models: &[&str]) {
        self.agent_in(id, "gpu", "d1", models);
    }

    pub fn agent_in(
        &mut self,
        id: &str,
        pool: &'static str,
        domain: &'static str,
        models: &[&str],
    ) {
        let models = models
            .iter()
            .map(|model| ((*model).to_owned(), 1))
            .collect();
        let agent = FakeAgent {
            incarnation: 1,
            sequence: 0,
            pool,
            domain,
            models,
            running: 0,
            upstream_up: true,
            leaving: false,
            silent: false,
        };
        self.agents.insert(id.to_owned(), agent);
        self.link_up(id);
        self.beat(id);
    }

    pub fn link_up(&mut self, id: &str) {
        let incarnation = Incarnation(self.agents[id].incarnation);
        let peer = agent_peer(id);
        self.handle(EntryEvent::LinkUp { peer, incarnation });
    }

    pub fn link_down(&mut self, id: &str) {
        self.handle(EntryEvent::LinkDown {
            peer: agent_peer(id),
        });
    }

    pub fn beat(&mut self, id: &str) {
        let agent = self.agents.get_mut(id).expect("a known agent");
        agent.sequence += 1;
        let beat = heartbeat(id, agent);
        self.frame(id, frame::Body::Heartbeat(beat));
    }

    pub fn frame(&mut self, agent: &str, body: frame::Body) {
        self.handle(EntryEvent::Frame {
            peer: agent_peer(agent),
            revision: Revision(0),
            body,
        });
    }

    pub fn arrival(&self, work: Work) -> Arrival {
        let request = self.role.next_request();
        Arrival {
            request,
            key: KEY.to_owned(),
            profile: None,
            deadline_ms: None,
            work,
            idempotency_key: None,
            method: "POST".to_owned(),
            path: "/v1/completions".to_owned(),
            content_type: "application/json".to_owned(),
            body_hash: request.sequence,
            prefix_hash: 0,
            prompt_tokens: 10,
            tokens_max: 10,
        }
    }

    pub fn arrive(&mut self, arrival: Arrival) -> RequestId {
        let request = arrival.request;
        self.handle(EntryEvent::Arrive(Box::new(arrival)));
        request
    }

    pub fn ask(&mut self, model: &str) -> RequestId {
        let arrival = self.arrival(Work::Model(Some(ModelId::new(model))));
        self.arrive(arrival)
    }

    /// A call that must not run twice.
    pub fn order(&mut self) -> RequestId {
        let mut arrival = self.arrival(Work::Service(ServiceId::new("orders")));
        arrival.idempotency_key = Some("k1".to_owned());
        self.arrive(arrival)
    }

    pub fn started(&mut self, run: &Sent) {
        let attempt = run.run.attempt;
        let body = frame::Body::Started(link::Started {
            attempt,
            load: None,
        });
        self.frame(&run.agent, body);
    }

    pub fn refuse(&mut self, run: &Sent, code: Code) {
        let body = frame::Body::Refused(link::Refused {
            attempt: run.run.attempt,
            code: code.number(),
            retry_after_ms: 0,
            load: None,
        });
        self.frame(&run.agent, body);
    }

    pub fn part(&mut self, run: &Sent, offset: u64, units: u32) {
        self.handle(EntryEvent::Part {
            agent: AgentId::new(&run.agent),
            attempt: run.id(),
            offset,
            units,
        });
    }

    pub fn end(&mut self, run: &Sent, total_units: u64) {
        let body = frame::Body::End(link::End {
            attempt: run.run.attempt,
            ran: Ran::Ran.number(),
            total_units,
            ..link::End::default()
        });
        self.frame(&run.agent, body);
    }

    pub fn fail(&mut self, run: &Sent, code: Code, ran: Ran) {
        let body = frame::Body::End(link::End {
            attempt: run.run.attempt,
            code: code.number(),
            ran: ran.number(),
            ..link::End::default()
        });
        self.frame(&run.agent, body);
    }

    pub fn crash(&mut self, run: &Sent, fingerprints: &[u64]) {
        let body = frame::Body::End(link::End {
            attempt: run.run.attempt,
            code: Code::UpstreamLost.number(),
            ran: Ran::Ran.number(),
            upstream_crashed: true,
            crash_fingerprints: fingerprints.to_vec(),
            ..link::End::default()
        });
        self.frame(&run.agent, body);
    }

    pub fn revoked(&mut self, run: &Sent, ran: Ran) {
        let body = frame::Body::Revoked(link::Revoked {
            attempt: run.run.attempt,
            ran: ran.number(),
        });
        self.frame(&run.agent, body);
    }

    pub fn clear(&mut self) {
        self.log.clear();
    }

    /// Runs sent for a request.
    pub fn runs(&self, request: RequestId) -> Vec<Sent> {
        let sent = self.log.iter().filter_map(|action| match action {
            EntryAction::SendRun {
                request: of,
                agent,
                run,
            } if *of == request => Some(Sent {
                agent: agent.to_string(),
                run: (**run).clone(),
            }),
            _ => None,
        });
        sent.collect()
    }

    /// The newest run of a request.
    pub fn run(&self, request: RequestId) -> Sent {
        self.runs(request).pop().expect("the request was sent")
    }

    pub fn refusals(&self, request: RequestId) -> Vec<Refusal> {
        let refused = self.log.iter().filter_map(|action| match action {
            EntryAction::Refuse {
                request: of,
                refusal,
            } if *of == request => Some(*refusal),
            _ => None,
        });
        refused.collect()
    }

    pub fn refusal(&self, request: RequestId) -> Refusal {
        let refusals = self.refusals(request);
        assert_eq!(refusals.len(), 1, "one refusal of {request}: {refusals:?}");
        refusals[0]
    }

    pub fn finished(&self, request: RequestId) -> Option<u64> {
        self.log.iter().find_map(|action| match action {
            EntryAction::Finish {
                request: of,
                total_units,
                ..
            } if *of == request => Some(*total_units),
            _ => None,
        })
    }

    pub fn skips(&self, request: RequestId) -> Vec<u32> {
        let delivered = self.log.iter().filter_map(|action| match action {
            EntryAction::Deliver {
                request: of,
                skip_units,
            } if *of == request => Some(*skip_units),
            _ => None,
        });
        delivered.collect()
    }

    /// Frames sent to a process that `pick` wants.
    pub fn sent<T>(&self, pick: impl Fn(&Peer, &frame::Body) -> Option<T>) -> Vec<T> {
        let sent = self.log.iter().filter_map(|action| match action {
            EntryAction::Send { peer, body } => pick(peer, body),
            _ => None,
        });
        sent.collect()
    }

    pub fn cancels(&self, run: &Sent) -> usize {
        self.sent(|_, body| match body {
            frame::Body::Cancel(cancel) if cancel.attempt == run.run.attempt => {
                Some(())
            }
            _ => None,
        })
        .len()
    }

    pub fn revokes(&self, run: &Sent) -> usize {
        self.sent(|_, body| match body {
            frame::Body::Revoke(revoke) if revoke.attempt == run.run.attempt => {
                Some(())
            }
            _ => None,
        })
        .len()
    }

    pub fn traced(&self, kind: EventKind) -> usize {
        let traced = self.log.iter().filter(|action| {
            matches!(action, EntryAction::Trace(event) if event.kind == kind as i32)
        });
        traced.count()
    }

    pub fn exits(&self) -> usize {
        let exits = self.log.iter();
        exits
            .filter(|action| matches!(action, EntryAction::Exit))
            .count()
    }
}

/// A run as the rig's agents get it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub agent: String,
    pub run: Run,
}

impl Sent {
    pub fn id(&self) -> AttemptId {
        let attempt = self.run.attempt.expect("each run names its attempt");
        AttemptId {
            origin: attempt.origin,
            sequence: attempt.sequence,
        }
    }
}

pub fn agent_peer(id: &str) -> Peer {
    Peer::Agent(AgentId::new(id))
}

pub fn entry_peer(id: &str) -> Peer {
    Peer::Entry(EntryId::new(id))
}

pub fn heartbeat(id: &str, agent: &FakeAgent) -> Heartbeat {
    let residents = agent.models.iter().map(|(model, version)| Resident {
        model: model.clone(),
        version: *version,
        accelerator: 0,
        state: link::ResidentState::Loaded as i32,
        size_mib: 70,
        age_ms: 0,
    });
    Heartbeat {
        agent: id.to_owned(),
        incarnation: agent.incarnation,
        epoch: 1,
        pool: agent.pool.to_owned(),
        failure_domain: agent.domain.to_owned(),
        residents: residents.collect(),
        load: Some(Load {
            running: agent.running,
            waiting: 0,
            running_max: 4,
            step_time_us: 10_000,
            report_age_ms: 0,
        }),
        leaving: agent.leaving,
        upstream_up: agent.upstream_up,
        accelerators_mib: vec![80],
        sequence: agent.sequence,
        ..Heartbeat::default()
    }
}
