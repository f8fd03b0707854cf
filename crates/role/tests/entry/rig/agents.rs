//! The rig's simulated agents: their heartbeats and their frames about attempts.

use super::{Rig, SentRun};
use base::prelude::*;
use role::Peer;
use role::entry::EntryEvent;
use schema::link::{self, Heartbeat, Load, Resident, frame};

/// State of a simulated agent.
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

impl Rig {
    pub fn send_heartbeats(&mut self) {
        let ids: Vec<String> = self.agents.keys().cloned().collect();
        for id in ids {
            if !self.agents[&id].silent {
                self.send_heartbeat(&id);
            }
        }
    }

    /// Adds an agent with loaded models, a link and a first heartbeat.
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
        self.send_heartbeat(id);
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

    pub fn send_heartbeat(&mut self, id: &str) {
        let agent = self.agents.get_mut(id).expect("a known agent");
        agent.sequence += 1;
        let frame = heartbeat(id, agent);
        self.frame(id, frame::Body::Heartbeat(frame));
    }

    pub fn frame(&mut self, agent: &str, body: frame::Body) {
        self.handle(EntryEvent::Frame {
            peer: agent_peer(agent),
            revision: Revision(0),
            body,
        });
    }

    pub fn started(&mut self, run: &SentRun) {
        let attempt = run.run.attempt;
        let body = frame::Body::Started(link::Started {
            attempt,
            load: None,
        });
        self.frame(&run.agent, body);
    }

    /// Refuses an attempt by the agent's admission control.
    pub fn refuse(&mut self, run: &SentRun, code: ErrorCode) {
        let body = frame::Body::Refused(link::Refused {
            attempt: run.run.attempt,
            code: code.number(),
            retry_after_ms: 0,
            load: None,
        });
        self.frame(&run.agent, body);
    }

    /// Delivers an answer part.
    pub fn part(&mut self, run: &SentRun, offset: u64, units: u32) {
        self.handle(EntryEvent::AnswerPart {
            agent: AgentId::new(&run.agent),
            attempt: run.id(),
            offset,
            units,
        });
    }

    /// Ends an attempt with a complete answer.
    pub fn end(&mut self, run: &SentRun, total_units: u64) {
        let body = frame::Body::End(link::End {
            attempt: run.run.attempt,
            ran: RunStatus::Ran.number(),
            total_units,
            ..link::End::default()
        });
        self.frame(&run.agent, body);
    }

    /// Ends an attempt with an error code.
    pub fn fail(&mut self, run: &SentRun, code: ErrorCode, ran: RunStatus) {
        let body = frame::Body::End(link::End {
            attempt: run.run.attempt,
            code: code.number(),
            ran: ran.number(),
            ..link::End::default()
        });
        self.frame(&run.agent, body);
    }

    /// Ends an attempt because its upstream crashed with these fingerprints in
    /// flight.
    pub fn crash(&mut self, run: &SentRun, fingerprints: &[u64]) {
        let body = frame::Body::End(link::End {
            attempt: run.run.attempt,
            code: ErrorCode::UpstreamLost.number(),
            ran: RunStatus::Ran.number(),
            upstream_crashed: true,
            crash_fingerprints: fingerprints.to_vec(),
            ..link::End::default()
        });
        self.frame(&run.agent, body);
    }

    /// Answers a `Revoke`.
    pub fn revoked(&mut self, run: &SentRun, ran: RunStatus) {
        let body = frame::Body::Revoked(link::Revoked {
            attempt: run.run.attempt,
            ran: ran.number(),
        });
        self.frame(&run.agent, body);
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
