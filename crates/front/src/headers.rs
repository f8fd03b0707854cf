//! Headers that concern one connection only.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

const OF_ONE_CONNECTION: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Takes out what concerns one connection only, and what `Connection` names.
///
/// The library frames each message anew from its body; a caller's framing passed
/// on beside it could hide a second request in the first.
pub(crate) fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&OF_ONE_CONNECTION) {
        headers.remove(name);
    }
}

/// Whether the framing of a request can be read in two ways.
pub(crate) fn is_ambiguous(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let codings = headers.get_all(TRANSFER_ENCODING).iter().count();
    lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)
}

/// Asks the far end to close the connection after this message.
pub(crate) fn ask_close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
