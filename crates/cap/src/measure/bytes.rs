//! Encoded size of each message, with the frame around it and the length before
//! it.

use super::clock::samples;
use super::messages::{self, PEER};
use crate::fit::{Growth, Series};
use prost::Message;
use schema::link::{
    Answer, Cancel, ConfigAsk, End, Frame, Heartbeat, Hello, Refused, Revoke, Revoked,
    Run, Silence, Started, Target, TargetModel, frame,
};
use schema::store::{AgentRecord, Intent, Member};

/// Bytes of the length before each frame on the wire.
const LENGTH_BYTES: usize = 4;

/// Name of the message that holds only what changes between two heartbeats.
pub const DELTA: &str = "Heartbeat, only what changes";

/// Size of one message of fixed content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fixed {
    /// Message.
    pub name: &'static str,
    /// Bytes on the wire.
    pub bytes: usize,
}

/// Bytes of a message on a link.
pub fn framed(body: frame::Body) -> usize {
    let frame = Frame {
        clock_us: 1_764_700_000_000_000,
        revision: 22_000,
        body: Some(body),
    };
    LENGTH_BYTES + frame.encoded_len()
}

fn series(name: &'static str, size_of: &'static str, of: fn(usize) -> usize) -> Series {
    Series {
        name,
        size_of,
        unit: "B",
        growth: Growth::Line,
        samples: samples(&[1, 4, 16, 64, 256], |size| of(size) as f64),
    }
}

/// Heartbeats against models resident.
pub fn heartbeat() -> Series {
    series("bytes: Heartbeat", "residents", |size| {
        let beat = messages::heartbeat(0, 70_000, size, 1_600);
        framed(frame::Body::Heartbeat(beat))
    })
}

/// Gossip against heartbeats in it, each with four residents.
pub fn gossip_agents() -> Series {
    series("bytes: Gossip", "heartbeats", |size| {
        let beats = (0..size).map(|nth| messages::heartbeat(nth, 70_000, 4, 1_600));
        let gossip = messages::gossip(PEER, 90_000, beats.collect(), Vec::new());
        framed(frame::Body::Gossip(gossip))
    })
}

/// Gossip against the models with demand.
pub fn gossip_demands() -> Series {
    series("bytes: Gossip", "demands", |size| {
        let demands = (0..size).map(messages::demand).collect();
        let gossip = messages::gossip(PEER, 90_000, Vec::new(), demands);
        framed(frame::Body::Gossip(gossip))
    })
}

/// Gossip against the silences in it.
pub fn gossip_silences() -> Series {
    series("bytes: Gossip", "silences", |size| {
        let silence = |nth| Silence {
            agent: messages::agent(nth),
            incarnation: 1_764_700_000_000_000,
            silent_ms: 5_000,
        };
        let mut gossip = messages::gossip(PEER, 90_000, Vec::new(), Vec::new());
        gossip.silences = (0..size).map(silence).collect();
        framed(frame::Body::Gossip(gossip))
    })
}

/// Targets against the models wanted.
pub fn target() -> Series {
    series("bytes: Target", "models", |size| {
        framed(frame::Body::Target(target_of(size)))
    })
}

/// Configuration changes, each of one field of one model.
pub fn config_changes() -> Series {
    series("bytes: ConfigChanges", "changes", |size| {
        let mut all = super::config::change(1, 0);
        all.changes = (0..size as u64)
            .flat_map(|nth| super::config::change(nth + 1, nth as usize).changes)
            .collect();
        framed(frame::Body::ConfigChanges(all))
    })
}

/// An agent's record against the intents in it.
pub fn agent_record() -> Series {
    series("bytes: AgentRecord", "intents", |size| {
        let intent = |nth: usize| Intent {
            link_address: String::new(),
            order: 3 << 32 | nth as u64,
            epoch: 3,
            load: true,
            model: messages::model(nth),
            version: 1,
            accelerator: 1,
            size_mib: messages::MODEL_MIB,
            upstream_incarnation: 1_764_700_000,
        };
        let record = AgentRecord {
            epoch: 3,
            incarnation: 1_764_700_000_000_000,
            link_address: "10.120.130.140:20001".to_owned(),
            intents: (0..size).map(intent).collect(),
        };
        record.encoded_len()
    })
}

/// A planner's word to an agent.
pub fn target_of(models: usize) -> Target {
    let wish = |nth: usize| TargetModel {
        model: messages::model(nth),
        version: 1,
        accelerator: (nth % 4) as u32,
        reason: 2,
    };
    Target {
        planner: PEER.to_owned(),
        rank: u64::MAX / 2,
        sequence: 90_000,
        agent_incarnation: 1_764_700_000_000_000,
        models: (0..models).map(wish).collect(),
        revision: 22_000,
    }
}

/// A run without its body.
pub fn run() -> Run {
    Run {
        attempt: messages::attempt(1 << 24),
        agent_incarnation: 1_764_700_000_000_000,
        revision: 22_000,
        remaining_ms: 60_000,
        caller: "press-desk".to_owned(),
        profile: "desk".to_owned(),
        model: messages::model(0),
        version: 1,
        idempotent: true,
        body_hash: u64::MAX / 3,
        fingerprint: u64::MAX / 5,
        prefix_hash: u64::MAX / 7,
        priority: 100,
        prompt_tokens: 500,
        tokens_max: 400,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        content_type: "application/json".to_owned(),
        first_token_ms: 1_400,
        ..Run::default()
    }
}

/// Only what changes between two heartbeats: what a delta would have to carry.
fn changed_part() -> Heartbeat {
    Heartbeat {
        incarnation: 1_764_700_000_000_000,
        sequence: 70_000,
        load: Some(messages::load()),
        upstream_up: true,
        ..Heartbeat::default()
    }
}

/// Messages of fixed content.
pub fn fixed() -> Vec<Fixed> {
    let attempt = messages::attempt(1 << 24);
    let load = Some(messages::load());
    let list: [(&'static str, frame::Body); 11] = [
        (
            "Hello",
            frame::Body::Hello(Hello {
                kind: "agent".to_owned(),
                id: messages::agent(0),
                incarnation: 1_764_700_000_000_000,
                failure_domain: messages::domain(0),
            }),
        ),
        (DELTA, frame::Body::Heartbeat(changed_part())),
        ("Run without body", frame::Body::Run(run())),
        ("Started", frame::Body::Started(Started { attempt, load })),
        (
            "Answer with a 100 byte payload",
            frame::Body::Answer(Answer {
                attempt,
                offset: 200,
                units: 1,
                payload: vec![b'x'; 100],
            }),
        ),
        ("End", frame::Body::End(end())),
        (
            "Refused",
            frame::Body::Refused(Refused {
                attempt,
                code: 2_010,
                retry_after_ms: 500,
                load,
            }),
        ),
        ("Cancel", frame::Body::Cancel(Cancel { attempt })),
        (
            "Revoke",
            frame::Body::Revoke(Revoke {
                attempt,
                agent_incarnation: 1_764_700_000_000_000,
            }),
        ),
        ("Revoked", frame::Body::Revoked(Revoked { attempt, ran: 0 })),
        (
            "ConfigAsk",
            frame::Body::ConfigAsk(ConfigAsk {
                after_revision: 22_000,
            }),
        ),
    ];
    let framed = list.into_iter().map(|(name, body)| Fixed {
        name,
        bytes: framed(body),
    });
    let member = Fixed {
        name: "Member, as the platform's object",
        bytes: member().encoded_len(),
    };
    framed.chain([member]).collect()
}

fn end() -> End {
    End {
        attempt: messages::attempt(1 << 24),
        ran: 1,
        total_units: 340,
        status: 200,
        load: Some(messages::load()),
        ..End::default()
    }
}

fn member() -> Member {
    Member {
        kind: "agent".to_owned(),
        id: messages::agent(0),
        incarnation: 1_764_700_000_000_000,
        failure_domain: messages::domain(0),
        pool: messages::POOL.to_owned(),
        link_address: "10.120.130.140:20001".to_owned(),
        operator_address: "10.120.130.140:20002".to_owned(),
        leaving: false,
    }
}
