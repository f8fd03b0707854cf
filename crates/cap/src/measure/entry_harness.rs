//! Harness of the entry's state machine, which stands in for agents, other
//! entries and the platform.

use super::messages::{self, Fleet};
use access::Credential;
use base::prelude::*;
use base::{ObjectVersion, PlatformCall, PlatformOp, PlatformResponse, PlatformResult};
use prost::Message;
use role::Peer;
use role::entry::{
    EntryAction, EntryEvent, EntryOptions, EntryRole, IncomingRequest,
    RequestedResource,
};
use schema::link::{End, Frame, Gossip, Heartbeat, Run, Started, frame};

/// Interval of ticks while time advances.
const TICK_MS: u64 = 100;

/// The entry's state machine, whose platform calls are answered at once.
#[derive(Debug)]
pub struct EntryHarness {
    /// The state machine.
    pub role: EntryRole,
    /// Current time.
    pub now: Instant,
    sequence: u64,
}

impl EntryHarness {
    /// Creates a ready entry that knows no agents or other entries.
    pub fn new(fleet: &Fleet) -> Self {
        let now = Instant::from_ms(1_000);
        let mut initial_actions = Vec::new();
        let role = EntryRole::new(options(), now, &mut initial_actions);
        let mut harness = Self {
            role,
            now,
            sequence: 0,
        };
        let document = messages::document(fleet).to_string().into_bytes();
        harness.answer_platform_calls(initial_actions, &document);
        assert!(harness.role.config().is_some(), "the document is in force");
        harness
    }

    fn answer_platform_calls(&mut self, actions: Vec<EntryAction>, document: &[u8]) {
        for action in actions {
            let EntryAction::CallPlatform(call) = action else {
                continue;
            };
            if let Some(result) = platform_result(&call, document) {
                let id = call.id;
                let answer = PlatformResponse { id, result };
                let actions = self.handle(EntryEvent::PlatformAnswered(answer));
                self.answer_platform_calls(actions, document);
            }
        }
    }

    /// Handles an event and returns the actions.
    pub fn handle(&mut self, event: EntryEvent) -> Vec<EntryAction> {
        let mut out = Vec::new();
        self.role.handle(self.now, event, &mut out);
        out
    }

    /// Connects agents and delivers one heartbeat of each, without advancing
    /// time.
    pub fn add_agents(&mut self, count: usize, residents: usize, models: usize) {
        let heartbeats =
            (0..count).map(|index| messages::heartbeat(index, 1, residents, models));
        for heartbeat in heartbeats.collect::<Vec<_>>() {
            self.link_up(
                Peer::Agent(AgentId::new(&heartbeat.agent)),
                heartbeat.incarnation,
            );
            self.receive_heartbeat(heartbeat);
        }
    }

    /// Reports a link as established.
    pub fn link_up(&mut self, peer: Peer, incarnation: u64) {
        let incarnation = Incarnation(incarnation);
        self.handle(EntryEvent::LinkUp { peer, incarnation });
    }

    /// Connects another entry and delivers its first gossip message.
    pub fn add_entry(&mut self, index: usize) {
        let name = messages::entry(index);
        let gossip = messages::gossip(&name, 1, Vec::new(), Vec::new());
        self.link_up(Peer::Entry(EntryId::new(&name)), gossip.incarnation);
        self.receive_gossip(gossip);
    }

    /// Advances time with regular ticks. Without them, the entry would take the
    /// gap for its own freeze and not count it as silence of others.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.now = self.now.plus_ms(TICK_MS).min(end);
            self.handle(EntryEvent::Tick);
        }
    }

    /// Delivers a heartbeat over the agent's own link.
    pub fn receive_heartbeat(&mut self, heartbeat: Heartbeat) -> Vec<EntryAction> {
        let peer = Peer::Agent(AgentId::new(&heartbeat.agent));
        self.receive_frame(peer, frame::Body::Heartbeat(heartbeat))
    }

    /// Delivers a gossip message.
    pub fn receive_gossip(&mut self, gossip: Gossip) -> Vec<EntryAction> {
        let peer = Peer::Entry(EntryId::new(&gossip.entry));
        self.receive_frame(peer, frame::Body::Gossip(gossip))
    }

    /// Delivers a frame.
    pub fn receive_frame(&mut self, peer: Peer, body: frame::Body) -> Vec<EntryAction> {
        self.handle(EntryEvent::Frame {
            peer,
            revision: Revision(1),
            body,
        })
    }

    /// Decodes and delivers a frame, as the driver does with bytes from a link.
    pub fn receive_frame_bytes(
        &mut self,
        peer: &Peer,
        bytes: &[u8],
    ) -> Vec<EntryAction> {
        let frame = Frame::decode(bytes).expect("it was encoded a moment ago");
        let body = frame.body.expect("each frame has its content");
        self.receive_frame(peer.clone(), body)
    }

    /// Delivers a request for a model. Returns the number of recorded timeline
    /// events and, if the request was dispatched, its run and agent.
    pub fn receive_request(
        &mut self,
        model: &str,
    ) -> (usize, Option<Box<Run>>, Option<AgentId>) {
        self.sequence += 1;
        let request = self.role.next_request_id();
        let incoming = Box::new(IncomingRequest {
            request,
            credential: Credential::from_key(messages::KEY),
            profile: Some(ProfileId::new("desk")),
            deadline_ms: None,
            resource: RequestedResource::Model(Some(ModelId::new(model))),
            idempotency_key: None,
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            content_type: "application/json".to_owned(),
            body_hash: self.sequence,
            prefix_hash: self.sequence % 64,
            prompt_tokens: 500,
            tokens_max: 400,
        });
        let actions = self.handle(EntryEvent::RequestReceived(incoming));
        let events = count_recorded_events(&actions);
        for action in actions {
            if let EntryAction::SendRun { agent, run, .. } = action {
                return (events, Some(run), Some(agent));
            }
        }
        (events, None, None)
    }

    /// Delivers the answer of a run: start, parts and end. Returns the number
    /// of recorded timeline events.
    pub fn complete_run(&mut self, agent: &AgentId, run: &Run, parts: u32) -> usize {
        let peer = Peer::Agent(agent.clone());
        let started = frame::Body::Started(Started {
            attempt: run.attempt,
            load: Some(messages::load_report()),
        });
        let mut events =
            count_recorded_events(&self.receive_frame(peer.clone(), started));
        for index in 0..parts {
            events +=
                count_recorded_events(&self.receive_part(agent, run, u64::from(index)));
        }
        let end = frame::Body::End(End {
            attempt: run.attempt,
            ran: 1,
            total_units: u64::from(parts),
            status: 200,
            load: Some(messages::load_report()),
            ..End::default()
        });
        events + count_recorded_events(&self.receive_frame(peer, end))
    }

    /// Delivers one part of an answer.
    pub fn receive_part(
        &mut self,
        agent: &AgentId,
        run: &Run,
        offset: u64,
    ) -> Vec<EntryAction> {
        let attempt = run.attempt.expect("each run has its attempt");
        self.handle(EntryEvent::AnswerPart {
            agent: agent.clone(),
            attempt: AttemptId {
                origin: attempt.origin,
                sequence: attempt.sequence,
            },
            offset,
            units: 1,
        })
    }
}

fn count_recorded_events(actions: &[EntryAction]) -> usize {
    let is_recorded =
        |action: &&EntryAction| matches!(action, EntryAction::RecordEvent(_));
    actions.iter().filter(is_recorded).count()
}

fn options() -> EntryOptions {
    EntryOptions {
        id: EntryId::new("entry-0000"),
        incarnation: Incarnation(1_764_700_000_000_000),
        failure_domain: FailureDomainId::new(&messages::failure_domain(0)),
        link_address: "10.120.130.139:20001".to_owned(),
        operator_address: "10.120.130.139:20002".to_owned(),
        peers: Vec::new(),
        shards: 8,
        seed: 1,
        unix_ms_at_zero: 0,
    }
}

/// Encodes a frame as it is sent on a link, without the length before it.
pub fn encode_frame(body: frame::Body) -> Vec<u8> {
    let frame = Frame {
        clock_us: 1_764_700_000_000_000,
        revision: 1,
        body: Some(body),
    };
    frame.encode_to_vec()
}

/// Result of a platform call: the platform has one configuration revision and
/// no other objects; watches stay open.
fn platform_result(call: &PlatformCall, document: &[u8]) -> Option<PlatformResult> {
    match &call.op {
        PlatformOp::Read { .. } => Some(PlatformResult::Object(None)),
        PlatformOp::List { prefix } if prefix == conf::REVISION_KEY_PREFIX => {
            let key = conf::revision_key(Revision(1));
            let objects = vec![(key, ObjectVersion(1), document.to_vec())];
            Some(PlatformResult::Objects(objects, ObjectVersion(1)))
        }
        PlatformOp::List { .. } => {
            Some(PlatformResult::Objects(Vec::new(), ObjectVersion(1)))
        }
        PlatformOp::Write { .. } | PlatformOp::Delete { .. } => {
            Some(PlatformResult::Written(ObjectVersion(2)))
        }
        PlatformOp::Watch { .. } => None,
    }
}
