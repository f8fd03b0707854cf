//! What is kept of a key.

use sha2::{Digest, Sha256};
use std::fmt;

/// SHA-256 of a key. It finds the key's workspace and can't be turned back.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    // Keys may be short enough to be found from their digest by trying all.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
