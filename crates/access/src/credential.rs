//! The request header that carries a caller's key.

use crate::KeyDigest;

/// Longest header value that is parsed. Keys have some tens of characters; a longer
/// value is not a key and is not worth hashing.
pub const CREDENTIAL_MAX_BYTES: usize = 512;

/// What a request says about its sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// There is no header.
    #[default]
    Absent,
    /// The header is not a valid credential: it occurs twice, has another scheme or no
    /// key, is too long, or contains characters that a key can't have.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

impl Credential {
    /// Creates the credential of a key that was not sent in a header.
    pub fn from_key(key: &str) -> Self {
        Self::Key(KeyDigest::of(key))
    }
}

/// Parses the values of the header, of which there must be exactly one: `SCHEME KEY`.
///
/// The scheme is compared case-insensitively, as HTTP requires; the key is
/// case-sensitive. If the header occurs twice, neither value is used: a proxy in front
/// of this process may have checked one of them, and this process would use the other.
pub fn parse_credential<'a>(
    values: impl IntoIterator<Item = &'a [u8]>,
    scheme: &str,
) -> Credential {
    let mut values = values.into_iter();
    let Some(value) = values.next() else {
        return Credential::Absent;
    };
    if values.next().is_some() || value.len() > CREDENTIAL_MAX_BYTES {
        return Credential::Malformed;
    }
    let key = std::str::from_utf8(value)
        .ok()
        .and_then(|value| value.split_once(' '))
        .filter(|(sent_scheme, _)| sent_scheme.eq_ignore_ascii_case(scheme))
        .map(|(_, key)| key);
    match key {
        Some(key) if is_key(key) => Credential::Key(KeyDigest::of(key)),
        _ => Credential::Malformed,
    }
}

/// Whether a text can be a key: visible ASCII without spaces and commas, because some
/// proxies join two headers with a comma.
pub(crate) fn is_key(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    !text.is_empty()
        && text.len() <= CREDENTIAL_MAX_BYTES
        && text.bytes().all(is_allowed)
}
