//! Conversion of HTTP responses to results of operations.

use base::{ObjectVersion, PlatformOp, PlatformResult, Precondition};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use serde::Deserialize;

/// Header that carries an object's version.
const VERSION_HEADER: &str = "x-version";

/// A complete HTTP response of the platform.
#[derive(Debug)]
pub(crate) struct ObjectApiResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
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

/// The result of an operation with a complete response.
pub(crate) fn parse_result(
    op: &PlatformOp,
    response: &ObjectApiResponse,
) -> PlatformResult {
    let result = match op {
        PlatformOp::Read { .. } => parse_object(response),
        PlatformOp::List { .. } | PlatformOp::Watch { .. } => parse_objects(response),
        PlatformOp::Write { .. } => return write_result(response),
        PlatformOp::Delete { precondition, .. } => {
            return delete_result(response, *precondition);
        }
    };
    result.unwrap_or(PlatformResult::Unavailable)
}

fn parse_object(response: &ObjectApiResponse) -> Option<PlatformResult> {
    match response.status {
        StatusCode::OK => {
            let object = (parse_version(response)?, response.body.to_vec());
            Some(PlatformResult::Object(Some(object)))
        }
        StatusCode::NOT_FOUND => Some(PlatformResult::Object(None)),
        _ => None,
    }
}

fn parse_objects(response: &ObjectApiResponse) -> Option<PlatformResult> {
    if response.status != StatusCode::OK {
        return None;
    }
    let list: ObjectList = serde_json::from_slice(&response.body).ok()?;
    let list_version = ObjectVersion(list.version);
    let mut objects = Vec::with_capacity(list.objects.len());
    for item in list.objects {
        let value = STANDARD.decode(&item.value_base64).ok()?;
        objects.push((item.key, ObjectVersion(item.version), value));
    }
    for key in list.deleted {
        objects.push((key, list_version, Vec::new()));
    }
    objects.sort();
    Some(PlatformResult::Objects(objects, list_version))
}

fn write_result(response: &ObjectApiResponse) -> PlatformResult {
    match response.status {
        // Without a version, the write took effect, but a further write could
        // not be conditional. `Unanswered` makes the caller read the object.
        StatusCode::OK => parse_version(response)
            .map_or(PlatformResult::Unanswered, PlatformResult::Written),
        StatusCode::PRECONDITION_FAILED => PlatformResult::Conflict,
        status => error_result(status),
    }
}

fn delete_result(
    response: &ObjectApiResponse,
    precondition: Precondition,
) -> PlatformResult {
    let no_version = ObjectVersion(0);
    match response.status {
        StatusCode::OK => {
            PlatformResult::Written(parse_version(response).unwrap_or(no_version))
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

fn parse_version(response: &ObjectApiResponse) -> Option<ObjectVersion> {
    let value = response.headers.get(VERSION_HEADER)?;
    value.to_str().ok()?.parse().ok().map(ObjectVersion)
}
