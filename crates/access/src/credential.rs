//! The header that carries a caller's key.

use crate::KeyDigest;

/// Longest value of the header that is read. Keys are some tens of characters; a
/// longer value is no key, and hashing it would be work for nothing.
pub const CREDENTIAL_MAX_BYTES: usize = 512;

/// What a request says of who sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Absent,
    /// Something that is no credential of this system: two headers, another scheme,
    /// no key, a value that is too long or has characters that no key has.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

impl Credential {
    /// A key that was not sent in a header.
    pub fn from_key(key: &str) -> Self {
        Self::Key(KeyDigest::of(key))
    }
}

/// Reads all values of the header, of which there has to be one: `SCHEME KEY`.
///
/// The scheme is compared without regard to case, as HTTP has it; the key is not.
/// Of two headers neither counts: what is in front of this process may have judged
/// the one, and it would judge the other.
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
        .filter(|(named, _)| named.eq_ignore_ascii_case(scheme))
        .map(|(_, key)| key);
    match key {
        Some(key) if is_key(key) => Credential::Key(KeyDigest::of(key)),
        _ => Credential::Malformed,
    }
}

/// Whether a text can be a key: visible ASCII without a space or a comma, which
/// some proxies put between two headers that they join.
pub(crate) fn is_key(text: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    !text.is_empty() && text.len() <= CREDENTIAL_MAX_BYTES && text.bytes().all(fits)
}
