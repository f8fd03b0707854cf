//! HTTP answers as results of calls.

use base::{ObjectVersion, PlatformOp, PlatformResult, Precondition};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use serde::Deserialize;

/// Header that carries an object's version.
const VERSION_HEADER: &str = "x-version";

/// A whole HTTP answer of the platform.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

#[derive(Debug, Deserialize)]
struct Listing {
    version: u64,
    objects: Vec<Listed>,
    #[serde(default)]
    deleted: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Listed {
    key: String,
    version: u64,
    value_base64: String,
}

/// What a call without an answer comes to.
pub(crate) const fn unanswered(op: &PlatformOp) -> PlatformResult {
    match op {
        PlatformOp::Write { .. } | PlatformOp::Delete { .. } => {
            PlatformResult::Unanswered
        }
        _ => PlatformResult::Unavailable,
    }
}

/// What an answered call comes to.
pub(crate) fn result(op: &PlatformOp, answer: &Answer) -> PlatformResult {
    let read = match op {
        PlatformOp::Read { .. } => object(answer),
        PlatformOp::List { .. } | PlatformOp::Watch { .. } => objects(answer),
        PlatformOp::Write { .. } => return written(answer),
        PlatformOp::Delete { precondition, .. } => {
            return deleted(answer, *precondition);
        }
    };
    read.unwrap_or(PlatformResult::Unavailable)
}

fn object(answer: &Answer) -> Option<PlatformResult> {
    match answer.status {
        StatusCode::OK => {
            let object = (version(answer)?, answer.body.to_vec());
            Some(PlatformResult::Object(Some(object)))
        }
        StatusCode::NOT_FOUND => Some(PlatformResult::Object(None)),
        _ => None,
    }
}

fn objects(answer: &Answer) -> Option<PlatformResult> {
    if answer.status != StatusCode::OK {
        return None;
    }
    let listing: Listing = serde_json::from_slice(&answer.body).ok()?;
    let upto = ObjectVersion(listing.version);
    let mut objects = Vec::with_capacity(listing.objects.len());
    for listed in listing.objects {
        let value = STANDARD.decode(&listed.value_base64).ok()?;
        objects.push((listed.key, ObjectVersion(listed.version), value));
    }
    for key in listing.deleted {
        objects.push((key, upto, Vec::new()));
    }
    objects.sort();
    Some(PlatformResult::Objects(objects, upto))
}

fn written(answer: &Answer) -> PlatformResult {
    match answer.status {
        // Without its version the write did take effect, but a next one could
        // not be conditional: reading back settles that.
        StatusCode::OK => {
            version(answer).map_or(PlatformResult::Unanswered, PlatformResult::Written)
        }
        StatusCode::PRECONDITION_FAILED => PlatformResult::Conflict,
        status => refused(status),
    }
}

fn deleted(answer: &Answer, precondition: Precondition) -> PlatformResult {
    let none = ObjectVersion(0);
    match answer.status {
        StatusCode::OK => PlatformResult::Written(version(answer).unwrap_or(none)),
        StatusCode::NOT_FOUND if matches!(precondition, Precondition::Version(_)) => {
            PlatformResult::Conflict
        }
        StatusCode::NOT_FOUND => PlatformResult::Written(none),
        StatusCode::PRECONDITION_FAILED => PlatformResult::Conflict,
        status => refused(status),
    }
}

/// A refusal without effect is 503, or blames the request. Any other status may
/// come from something between here and the platform after the write was done.
fn refused(status: StatusCode) -> PlatformResult {
    if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
        PlatformResult::Unavailable
    } else {
        PlatformResult::Unanswered
    }
}

fn version(answer: &Answer) -> Option<ObjectVersion> {
    let value = answer.headers.get(VERSION_HEADER)?;
    value.to_str().ok()?.parse().ok().map(ObjectVersion)
}
