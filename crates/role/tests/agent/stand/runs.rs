//! Runs as an entry sends them.

use base::prelude::*;
use schema::link::{self, Run};

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
