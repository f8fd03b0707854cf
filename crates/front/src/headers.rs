//! Hop-by-hop headers.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

const HOP_BY_HOP_HEADERS: [HeaderName; 11] = [
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

/// Removes hop-by-hop headers, including those listed in `Connection`.
///
/// The HTTP library frames each message anew from its body. If a caller's
/// framing headers were forwarded as well, they could hide a second request
/// inside the first (request smuggling).
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Returns whether the framing of a request is ambiguous.
pub(crate) fn has_ambiguous_framing(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let codings = headers.get_all(TRANSFER_ENCODING).iter().count();
    lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)
}

/// Returns whether a response has neither a length nor chunks, so that its body ends with
/// the connection. Nothing then tells a complete body from one that was cut off cleanly.
pub(crate) fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Asks the peer to close the connection after this message.
pub(crate) fn set_connection_close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
