//! An entry's machine with hand-made agents, entries and platform around it.

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

/// Time between ticks while time passes.
const TICK_MS: u64 = 100;

/// An entry's machine, driven by hand.
#[derive(Debug)]
pub struct EntryRig {
    /// The machine.
    pub role: EntryRole,
    /// The present.
    pub now: Instant,
    sequence: u64,
}

impl EntryRig {
    /// A ready entry that knows nobody.
    pub fn new(fleet: &Fleet) -> Self {
        let now = Instant::from_ms(1_000);
        let mut first = Vec::new();
        let role = EntryRole::new(options(), now, &mut first);
        let mut rig = Self {
            role,
            now,
            sequence: 0,
        };
        let document = messages::document(fleet).to_string().into_bytes();
        rig.answer(first, &document);
        assert!(rig.role.config().is_some(), "the document is taken");
        rig
    }

    fn answer(&mut self, actions: Vec<EntryAction>, document: &[u8]) {
        for action in actions {
            let EntryAction::CallPlatform(call) = action else {
                continue;
            };
            if let Some(result) = answer_to(&call, document) {
                let id = call.id;
                let answer = PlatformResponse { id, result };
                let more = self.handle(EntryEvent::PlatformAnswered(answer));
                self.answer(more, document);
            }
        }
    }

    /// Takes an event and returns the actions.
    pub fn handle(&mut self, event: EntryEvent) -> Vec<EntryAction> {
        let mut out = Vec::new();
        self.role.handle(self.now, event, &mut out);
        out
    }

    /// Links and heartbeats of agents, without one judgement of all for each.
    pub fn add_agents(&mut self, count: usize, residents: usize, models: usize) {
        let beats =
            (0..count).map(|nth| messages::heartbeat(nth, 1, residents, models));
        for beat in beats.collect::<Vec<_>>() {
            self.link_up(Peer::Agent(AgentId::new(&beat.agent)), beat.incarnation);
            self.heartbeat(beat);
        }
    }

    /// A link came up.
    pub fn link_up(&mut self, peer: Peer, incarnation: u64) {
        let incarnation = Incarnation(incarnation);
        self.handle(EntryEvent::LinkUp { peer, incarnation });
    }

    /// A link to another entry came up and it was heard.
    pub fn add_entry(&mut self, nth: usize) {
        let name = messages::entry(nth);
        let gossip = messages::gossip(&name, 1, Vec::new(), Vec::new());
        self.link_up(Peer::Entry(EntryId::new(&name)), gossip.incarnation);
        self.gossip(gossip);
    }

    /// Lets time pass with its ticks: without them the entry would take the gap
    /// for its own freeze and count no silence.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.now = self.now.plus_ms(TICK_MS).min(end);
            self.handle(EntryEvent::Tick);
        }
    }

    /// A heartbeat came over the agent's own link.
    pub fn heartbeat(&mut self, beat: Heartbeat) -> Vec<EntryAction> {
        let peer = Peer::Agent(AgentId::new(&beat.agent));
        self.frame(peer, frame::Body::Heartbeat(beat))
    }

    /// Gossip came.
    pub fn gossip(&mut self, gossip: Gossip) -> Vec<EntryAction> {
        let peer = Peer::Entry(EntryId::new(&gossip.entry));
        self.frame(peer, frame::Body::Gossip(gossip))
    }

    /// A frame came.
    pub fn frame(&mut self, peer: Peer, body: frame::Body) -> Vec<EntryAction> {
        self.handle(EntryEvent::Frame {
            peer,
            revision: Revision(1),
            body,
        })
    }

    /// A frame came as bytes, as the shell reads it from a link.
    pub fn frame_bytes(&mut self, peer: &Peer, bytes: &[u8]) -> Vec<EntryAction> {
        let frame = Frame::decode(bytes).expect("it was encoded a moment ago");
        let body = frame.body.expect("each frame has its content");
        self.frame(peer.clone(), body)
    }

    /// A request for a model arrives; gives the run if one is sent.
    pub fn arrive(
        &mut self,
        model: &str,
    ) -> (usize, Option<Box<Run>>, Option<AgentId>) {
        self.sequence += 1;
        let request = self.role.next_request_id();
        let arrival = Box::new(IncomingRequest {
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
        let actions = self.handle(EntryEvent::RequestReceived(arrival));
        let notes = traces(&actions);
        for action in actions {
            if let EntryAction::SendRun { agent, run, .. } = action {
                return (notes, Some(run), Some(agent));
            }
        }
        (notes, None, None)
    }

    /// The answer of a run: its start, its parts and its end. Gives the number
    /// of events for the time line.
    pub fn finish(&mut self, agent: &AgentId, run: &Run, parts: u32) -> usize {
        let peer = Peer::Agent(agent.clone());
        let started = frame::Body::Started(Started {
            attempt: run.attempt,
            load: Some(messages::load()),
        });
        let mut notes = traces(&self.frame(peer.clone(), started));
        for nth in 0..parts {
            notes += traces(&self.part(agent, run, u64::from(nth)));
        }
        let end = frame::Body::End(End {
            attempt: run.attempt,
            ran: 1,
            total_units: u64::from(parts),
            status: 200,
            load: Some(messages::load()),
            ..End::default()
        });
        notes + traces(&self.frame(peer, end))
    }

    /// One part of an answer.
    pub fn part(
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

fn traces(actions: &[EntryAction]) -> usize {
    let note = |action: &&EntryAction| matches!(action, EntryAction::RecordEvent(_));
    actions.iter().filter(note).count()
}

fn options() -> EntryOptions {
    EntryOptions {
        id: EntryId::new("entry-0000"),
        incarnation: Incarnation(1_764_700_000_000_000),
        failure_domain: FailureDomainId::new(&messages::domain(0)),
        link_address: "10.120.130.139:20001".to_owned(),
        operator_address: "10.120.130.139:20002".to_owned(),
        peers: Vec::new(),
        shards: 8,
        seed: 1,
        unix_ms_at_zero: 0,
    }
}

/// A frame as it stands on a link.
pub fn encoded(body: frame::Body) -> Vec<u8> {
    let frame = Frame {
        clock_us: 1_764_700_000_000_000,
        revision: 1,
        body: Some(body),
    };
    frame.encode_to_vec()
}

/// The platform has one configuration and nothing else; watches wait.
fn answer_to(call: &PlatformCall, document: &[u8]) -> Option<PlatformResult> {
    match &call.op {
        PlatformOp::Read { .. } => Some(PlatformResult::Object(None)),
        PlatformOp::List { prefix } if prefix == conf::REVISION_KEY_PREFIX => {
            let key = conf::revision_key(Revision(1));
            let held = vec![(key, ObjectVersion(1), document.to_vec())];
            Some(PlatformResult::Objects(held, ObjectVersion(1)))
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
