//! Conversion of HTTP responses to results of operations.

use base::{ObjectVersion, PlatformOp, PlatformResult, Precondition};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use serde::Deserialize;

use crate::generation::version_in;

/// Header of each response with the platform's generation, and of a request with the one
/// to which it belongs.
pub(crate) const GENERATION_HEADER: &str = "x-generation";

/// Header that carries an object's version.
const VERSION_HEADER: &str = "x-version";

/// A complete HTTP response of the platform.
#[derive(Debug)]
pub(crate) struct ObjectApiResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ObjectApiResponse {
    /// Generation of the platform that responded, if it named any.
    pub(crate) fn generation(&self) -> Option<u64> {
        let value = self.headers.get(GENERATION_HEADER)?;
        value.to_str().ok()?.parse().ok()
    }

    fn version(&self) -> Option<ObjectVersion> {
        let value = self.headers.get(VERSION_HEADER)?;
        let number = value.to_str().ok()?.parse().ok()?;
        Some(version_in(self.generation(), number))
    }
}

#[derive(Debug, Deserialize)]
struct ObjectList {
    version: u64,
    objects: Vec<ListedObject>,
    #[serde(default)]
    deleted: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct ListedObject {
    key: String,
    version: u64,
    value_base64: String,
}

/// The result of an operation without a complete response.
pub(crate) const fn result_without_response(op: &PlatformOp) -> PlatformResult {
    match op {
        PlatformOp::Write { .. } | PlatformOp::Delete { .. } => {
            PlatformResult::Unanswered
        }
        _ => PlatformResult::Unavailable,
    }
}

/// The result of an operation that belongs to a generation before the platform's; `None`
/// if it doesn't depend on the generation.
pub(crate) const fn result_in_later_generation(
    op: &PlatformOp,
) -> Option<PlatformResult> {
    match op {
        PlatformOp::Write {
            precondition: Precondition::Version(_),
            ..
        }
        | PlatformOp::Delete {
            precondition: Precondition::Version(_),
            ..
        } => Some(PlatformResult::Conflict),
        PlatformOp::Watch { .. } => Some(PlatformResult::HistoryGone),
        _ => None,
    }
}

/// The result of an operation of this generation with a complete response.
pub(crate) fn parse_result(
    op: &PlatformOp,
    generation: Option<u64>,
    response: &ObjectApiResponse,
) -> PlatformResult {
    let is_restored = generation.is_some_and(|generation| {
        response
            .generation()
            .is_some_and(|named| named != generation)
    });
    let result = match op {
        PlatformOp::Read { .. } => parse_object(response),
        PlatformOp::Watch { .. } if is_restored => {
            return PlatformResult::HistoryGone;
        }
        PlatformOp::List { .. } | PlatformOp::Watch { .. } => parse_objects(response),
        PlatformOp::Write { .. } => return write_result(response, is_restored),
        PlatformOp::Delete { precondition, .. } => {
            return delete_result(response, *precondition, is_restored);
        }
    };
    result.unwrap_or(PlatformResult::Unavailable)
}

fn parse_object(response: &ObjectApiResponse) -> Option<PlatformResult> {
    match response.status {
        StatusCode::OK => {
            let object = (response.version()?, response.body.to_vec());
            Some(PlatformResult::Object(Some(object)))
        }
        StatusCode::NOT_FOUND => Some(PlatformResult::Object(None)),
        _ => None,
    }
}

fn parse_objects(response: &ObjectApiResponse) -> Option<PlatformResult> {
    if response.status == StatusCode::GONE {
        return Some(PlatformResult::HistoryGone);
    }
    if response.status != StatusCode::OK {
        return None;
    }
    let generation = response.generation();
    let list: ObjectList = serde_json::from_slice(&response.body).ok()?;
    let list_version = version_in(generation, list.version);
    let mut objects = Vec::with_capacity(list.objects.len());
    for item in list.objects {
        let value = STANDARD.decode(&item.value_base64).ok()?;
        objects.push((item.key, version_in(generation, item.version), value));
    }
    for key in list.deleted {
        objects.push((key, list_version, Vec::new()));
    }
    objects.sort();
    Some(PlatformResult::Objects(objects, list_version))
}

fn write_result(response: &ObjectApiResponse, is_restored: bool) -> PlatformResult {
    match response.status {
        // The condition held for a state that the caller never read.
        StatusCode::OK if is_restored => PlatformResult::Unanswered,
        // Without a version, the write took effect, but a further write could
        // not be conditional. `Unanswered` makes the caller read the object.
        StatusCode::OK => response
            .version()
            .map_or(PlatformResult::Unanswered, PlatformResult::Written),
        StatusCode::PRECONDITION_FAILED => PlatformResult::Conflict,
        status => error_result(status),
    }
}

fn delete_result(
    response: &ObjectApiResponse,
    precondition: Precondition,
    is_restored: bool,
) -> PlatformResult {
    let no_version = ObjectVersion(0);
    match response.status {
        StatusCode::OK if is_restored => PlatformResult::Unanswered,
        StatusCode::OK => {
            PlatformResult::Written(response.version().unwrap_or(no_version))
        }
        StatusCode::NOT_FOUND if matches!(precondition, Precondition::Version(_)) => {
            PlatformResult::Conflict
        }
        StatusCode::NOT_FOUND => PlatformResult::Written(no_version),
        StatusCode::PRECONDITION_FAILED => PlatformResult::Conflict,
        status => error_result(status),
    }
}

/// The result of a write or deletion with an error status. Status 503 and the 4xx
/// statuses mean that it had no effect. Any other status may come from an
/// intermediary after the platform has carried out the operation.
fn error_result(status: StatusCode) -> PlatformResult {
    if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
        PlatformResult::Unavailable
    } else {
        PlatformResult::Unanswered
    }
}
