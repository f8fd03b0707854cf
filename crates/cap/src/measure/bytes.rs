//! Encoded sizes of messages on links, each with its frame and length prefix,
//! and of platform objects.

use super::messages::{self, PEER};
use super::sampling::measure_at_sizes;
use crate::fit::{Growth, Series};
use prost::Message;
use schema::link::{
    Answer, Cancel, ConfigAsk, End, Frame, Heartbeat, Hello, Refused, Revoke, Revoked,
    Run, Silence, Started, Target, TargetModel, frame,
};
use schema::store::{AgentRecord, Intent, Member};

/// Bytes of the length prefix of each frame.
const LENGTH_BYTES: usize = 4;

/// Name of a heartbeat that contains only the fields that change between two
/// heartbeats.
pub const HEARTBEAT_DELTA: &str = "Heartbeat, only what changes";

/// Size of a message with fixed content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageSize {
    /// Name of the message.
    pub name: &'static str,
    /// Bytes on the wire, or in the platform's object.
    pub bytes: usize,
}

/// Bytes of a message on a link, with its frame and length prefix.
pub fn framed_len(body: frame::Body) -> usize {
    let frame = Frame {
        clock_us: 1_764_700_000_000_000,
        revision: 22_000,
        body: Some(body),
    };
    LENGTH_BYTES + frame.encoded_len()
}

fn series(
    name: &'static str,
    size_of: &'static str,
    bytes_of: fn(usize) -> usize,
) -> Series {
    Series {
        name,
        size_of,
        unit: "B",
        growth: Growth::Linear,
        samples: measure_at_sizes(&[1, 4, 16, 64, 256], |size| bytes_of(size) as f64),
    }
}

/// Bytes of a heartbeat, against resident models.
pub fn heartbeat() -> Series {
    series("bytes: Heartbeat", "residents", |size| {
        let heartbeat = messages::heartbeat(0, 70_000, size, 1_600);
        framed_len(frame::Body::Heartbeat(heartbeat))
    })
}

/// Bytes of a gossip message, against its heartbeats, each with four resident
/// models.
pub fn gossip_agents() -> Series {
    series("bytes: Gossip", "heartbeats", |size| {
        let heartbeats =
            (0..size).map(|index| messages::heartbeat(index, 70_000, 4, 1_600));
        let gossip = messages::gossip(PEER, 90_000, heartbeats.collect(), Vec::new());
        framed_len(frame::Body::Gossip(gossip))
    })
}

/// Bytes of a gossip message, against its models with demand.
pub fn gossip_demands() -> Series {
    series("bytes: Gossip", "demands", |size| {
        let demands = (0..size).map(messages::demand).collect();
        let gossip = messages::gossip(PEER, 90_000, Vec::new(), demands);
        framed_len(frame::Body::Gossip(gossip))
    })
}

/// Bytes of a gossip message, against its reports of silent agents.
pub fn gossip_silences() -> Series {
    series("bytes: Gossip", "silences", |size| {
        let silence = |index| Silence {
            agent: messages::agent(index),
            incarnation: 1_764_700_000_000_000,
            silent_ms: 5_000,
        };
        let mut gossip = messages::gossip(PEER, 90_000, Vec::new(), Vec::new());
        gossip.silences = (0..size).map(silence).collect();
        framed_len(frame::Body::Gossip(gossip))
    })
}

/// Bytes of a target message, against its models.
pub fn target() -> Series {
    series("bytes: Target", "models", |size| {
        framed_len(frame::Body::Target(target_message(size)))
    })
}

/// Bytes of a message with configuration changes, each of one field of one
/// model.
pub fn config_changes() -> Series {
    series("bytes: ConfigChanges", "changes", |size| {
        let mut changes = super::config::change(1, 0);
        changes.changes = (0..size as u64)
            .flat_map(|index| super::config::change(index + 1, index as usize).changes)
            .collect();
        framed_len(frame::Body::ConfigChanges(changes))
    })
}

/// Bytes of an agent's record on the platform, against its intents.
pub fn agent_record() -> Series {
    series("bytes: AgentRecord", "intents", |size| {
        let intent = |index: usize| Intent {
            link_address: String::new(),
            order: 3 << 32 | index as u64,
            epoch: 3,
            load: true,
            model: messages::model(index),
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

/// Target message from a planner to an agent.
pub fn target_message(models: usize) -> Target {
    let target_model = |index: usize| TargetModel {
        model: messages::model(index),
        version: 1,
        accelerator: (index % 4) as u32,
        reason: 2,
    };
    Target {
        planner: PEER.to_owned(),
        rank: u64::MAX / 2,
        sequence: 90_000,
        agent_incarnation: 1_764_700_000_000_000,
        models: (0..models).map(target_model).collect(),
        revision: 22_000,
    }
}

/// Run message without the request body.
pub fn run_message() -> Run {
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

/// The fields that change between two heartbeats, which a delta message would
/// carry.
fn heartbeat_delta() -> Heartbeat {
    Heartbeat {
        incarnation: 1_764_700_000_000_000,
        sequence: 70_000,
        load: Some(messages::load_report()),
        upstream_up: true,
        ..Heartbeat::default()
    }
}

/// Sizes of the messages with fixed content.
pub fn message_sizes() -> Vec<MessageSize> {
    let attempt = messages::attempt(1 << 24);
    let load = Some(messages::load_report());
    let messages: [(&'static str, frame::Body); 11] = [
        (
            "Hello",
            frame::Body::Hello(Hello {
                kind: "agent".to_owned(),
                id: messages::agent(0),
                incarnation: 1_764_700_000_000_000,
                failure_domain: messages::failure_domain(0),
            }),
        ),
        (HEARTBEAT_DELTA, frame::Body::Heartbeat(heartbeat_delta())),
        ("Run without body", frame::Body::Run(run_message())),
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
        ("End", frame::Body::End(end_message())),
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
    let link_messages = messages.into_iter().map(|(name, body)| MessageSize {
        name,
        bytes: framed_len(body),
    });
    let member = MessageSize {
        name: "Member, as the platform's object",
        bytes: member_object().encoded_len(),
    };
    link_messages.chain([member]).collect()
}

fn end_message() -> End {
    End {
        attempt: messages::attempt(1 << 24),
        ran: 1,
        total_units: 340,
        status: 200,
        load: Some(messages::load_report()),
        ..End::default()
    }
}

fn member_object() -> Member {
    Member {
        kind: "agent".to_owned(),
        id: messages::agent(0),
        incarnation: 1_764_700_000_000_000,
        failure_domain: messages::failure_domain(0),
        pool: messages::POOL.to_owned(),
        link_address: "10.120.130.140:20001".to_owned(),
        operator_address: "10.120.130.140:20002".to_owned(),
        leaving: false,
    }
}
