//! Parsing of the paths and headers of requests.

use access::{Credential, parse_credential};
use base::ErrorCode;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::{Method, Uri};

use super::rejection::Rejection;

/// Longest idempotency key. Each claim on a key is stored in the platform with
/// the key.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 256;

/// The API of an engine that a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineApi {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// What a method and a path refer to.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Endpoint<'a> {
    /// Generation of tokens by an engine.
    Engine(EngineApi),
    /// The list of models.
    Models,
    /// A request to a plain service.
    Service {
        /// Name of the service.
        name: &'a str,
        /// The path within the service, with its query.
        path: String,
    },
}

/// Finds the endpoint of a method and a path.
///
/// # Errors
///
/// [`ErrorCode::UnknownPath`].
pub(crate) fn parse_endpoint<'a>(
    method: &Method,
    uri: &'a Uri,
) -> Result<Endpoint<'a>, Rejection> {
    let endpoint = match (method.as_str(), uri.path()) {
        ("POST", "/v1/chat/completions") => Endpoint::Engine(EngineApi::Chat),
        ("POST", "/v1/completions") => Endpoint::Engine(EngineApi::Completion),
        ("GET", "/v1/models") => Endpoint::Models,
        (_, path) => parse_service_path(path, uri.query())?,
    };
    Ok(endpoint)
}

fn parse_service_path<'a>(
    path: &'a str,
    query: Option<&str>,
) -> Result<Endpoint<'a>, Rejection> {
    let unknown = Rejection::new(ErrorCode::UnknownPath);
    let after_prefix = path.strip_prefix("/svc/").ok_or(unknown)?;
    let name_end = after_prefix.find('/').unwrap_or(after_prefix.len());
    let (name, subpath) = after_prefix.split_at(name_end);
    if name.is_empty() {
        return Err(unknown);
    }
    let mut path = String::from(if subpath.is_empty() { "/" } else { subpath });
    if let Some(query) = query {
        path.push('?');
        path.push_str(query);
    }
    Ok(Endpoint::Service { name, path })
}

/// The headers that the entry uses.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestHead {
    /// The caller's credential, not verified yet.
    pub(crate) credential: Credential,
    /// Profile that the caller named.
    pub(crate) profile: Option<String>,
    /// Deadline that the caller gave, in milliseconds from now.
    pub(crate) deadline_ms: Option<u64>,
    /// Idempotency key.
    pub(crate) idempotency_key: Option<String>,
    /// Content type of the body; empty if the header is missing.
    pub(crate) content_type: String,
}

/// Parses the headers.
///
/// # Errors
///
/// [`ErrorCode::BadRequest`] if a header is not text or is repeated, if the key has a
/// wrong length, or if the headers exceed `max_bytes`; [`ErrorCode::BadDeadline`].
pub(crate) fn parse_headers(
    headers: &HeaderMap,
    max_bytes: usize,
) -> Result<RequestHead, Rejection> {
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if lengths.sum::<usize>() > max_bytes {
        return Err(Rejection::bad_request(
            "the headers are larger than the limit",
        ));
    }
    let idempotency_key = header_text(headers, "idempotency-key")?;
    if idempotency_key
        .is_some_and(|key| key.is_empty() || key.len() > IDEMPOTENCY_KEY_MAX_BYTES)
    {
        return Err(Rejection::bad_request(
            "idempotency-key must have 1 to 256 bytes",
        ));
    }
    Ok(RequestHead {
        credential: bearer_credential(header_text(headers, AUTHORIZATION.as_str())?),
        profile: header_text(headers, "x-profile")?.map(str::to_owned),
        deadline_ms: parse_deadline_ms(header_text(headers, "x-deadline-ms")?)?,
        idempotency_key: idempotency_key.map(str::to_owned),
        content_type: header_text(headers, CONTENT_TYPE.as_str())?
            .unwrap_or_default()
            .to_owned(),
    })
}

/// The text of one header. A repeated header is rejected, as programs disagree on
/// which of its values they use.
fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Rejection::bad_request("a header stands twice"));
    }
    let text = value
        .to_str()
        .map_err(|_| Rejection::bad_request("a header is not text"))?;
    Ok(Some(text.trim()))
}

/// Parses the credential. [`header_text`] has rejected a repeated header and one
/// that is not text.
fn bearer_credential(authorization: Option<&str>) -> Credential {
    parse_credential(authorization.map(str::as_bytes), "bearer")
}

fn parse_deadline_ms(text: Option<&str>) -> Result<Option<u64>, Rejection> {
    let Some(text) = text else {
        return Ok(None);
    };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Some(ms)),
        _ => Err(Rejection::new(ErrorCode::BadDeadline)),
    }
}
