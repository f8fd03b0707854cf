//! Paths and headers of a request.

use access::{Credential, parse_credential};
use base::ErrorCode;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::{Method, Uri};

use super::fault::Fault;

/// Longest idempotency key; it is kept in the platform with each claim.
const KEY_MAX_BYTES: usize = 256;

/// Which of an engine's two calls a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Engine {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// What a path asks for.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Target<'a> {
    /// Tokens.
    Engine(Engine),
    /// The list of models.
    Models,
    /// A call of a plain service.
    Service {
        /// Name of the service.
        name: &'a str,
        /// The service's own path with its query.
        path: String,
    },
}

/// Finds what a method and a path ask for.
///
/// # Errors
///
/// [`ErrorCode::UnknownPath`].
pub(crate) fn target<'a>(method: &Method, uri: &'a Uri) -> Result<Target<'a>, Fault> {
    let target = match (method.as_str(), uri.path()) {
        ("POST", "/v1/chat/completions") => Target::Engine(Engine::Chat),
        ("POST", "/v1/completions") => Target::Engine(Engine::Completion),
        ("GET", "/v1/models") => Target::Models,
        (_, path) => service(path, uri.query())?,
    };
    Ok(target)
}

fn service<'a>(path: &'a str, query: Option<&str>) -> Result<Target<'a>, Fault> {
    let unknown = Fault::new(ErrorCode::UnknownPath);
    let rest = path.strip_prefix("/svc/").ok_or(unknown)?;
    let name_end = rest.find('/').unwrap_or(rest.len());
    let (name, own_path) = rest.split_at(name_end);
    if name.is_empty() {
        return Err(unknown);
    }
    let mut path = String::from(if own_path.is_empty() { "/" } else { own_path });
    if let Some(query) = query {
        path.push('?');
        path.push_str(query);
    }
    Ok(Target::Service { name, path })
}

/// The headers that matter.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Head {
    /// Who the caller says it is.
    pub(crate) credential: Credential,
    /// Profile named.
    pub(crate) profile: Option<String>,
    /// Deadline named.
    pub(crate) deadline_ms: Option<u64>,
    /// Idempotency key.
    pub(crate) idempotency_key: Option<String>,
    /// Content type of the body; empty if none.
    pub(crate) content_type: String,
}

/// Reads the headers.
///
/// # Errors
///
/// [`ErrorCode::BadRequest`] for one that is not text, or too long;
/// [`ErrorCode::BadDeadline`].
pub(crate) fn head(headers: &HeaderMap, max_bytes: usize) -> Result<Head, Fault> {
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if lengths.sum::<usize>() > max_bytes {
        return Err(Fault::bad_request("the headers are larger than the limit"));
    }
    let idempotency_key = text(headers, "idempotency-key")?;
    if idempotency_key.is_some_and(|key| key.is_empty() || key.len() > KEY_MAX_BYTES) {
        return Err(Fault::bad_request(
            "idempotency-key must have 1 to 256 bytes",
        ));
    }
    Ok(Head {
        credential: bearer(text(headers, AUTHORIZATION.as_str())?),
        profile: text(headers, "x-profile")?.map(str::to_owned),
        deadline_ms: deadline_ms(text(headers, "x-deadline-ms")?)?,
        idempotency_key: idempotency_key.map(str::to_owned),
        content_type: text(headers, CONTENT_TYPE.as_str())?
            .unwrap_or_default()
            .to_owned(),
    })
}

/// One header's text. A header that stands twice is refused: which of the two
/// counts would depend on who reads it.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Fault> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Fault::bad_request("a header stands twice"));
    }
    let text = value
        .to_str()
        .map_err(|_| Fault::bad_request("a header is not text"))?;
    Ok(Some(text.trim()))
}

/// A header that stands twice or is not text was refused before.
fn bearer(authorization: Option<&str>) -> Credential {
    parse_credential(authorization.map(str::as_bytes), "bearer")
}

fn deadline_ms(text: Option<&str>) -> Result<Option<u64>, Fault> {
    let Some(text) = text else {
        return Ok(None);
    };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Some(ms)),
        _ => Err(Fault::new(ErrorCode::BadDeadline)),
    }
}
