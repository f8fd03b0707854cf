//! What entries tell one another about the platform's objects.

use base::prelude::*;

/// A changed object, as the platform returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedObject {
    /// Key of the object.
    pub key: String,
    /// Version of the change, as in [`ObjectVersion`].
    pub version: u64,
    /// Value; empty if the object was deleted.
    pub value: Vec<u8>,
    /// Hash of the value. Texts that differ only in form have the same hash.
    pub content_hash: u64,
}

impl ChangedObject {
    /// The deletion of an object.
    pub const fn deleted(key: String, version: u64) -> Self {
        Self {
            key,
            version,
            value: Vec::new(),
            content_hash: 0,
        }
    }

    /// Whether the object was deleted.
    pub const fn is_deleted(&self) -> bool {
        self.value.is_empty()
    }
}

/// The state that an entry passes on to one that starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchSnapshot {
    /// Version up to which all changes are known.
    pub version: u64,
    /// When the platform confirmed the state, to this entry or to its leader.
    pub confirmed_at: Instant,
    /// Digest of the objects.
    pub digest: u64,
    /// All objects, sorted by key.
    pub objects: Vec<ChangedObject>,
}

/// What an entry that watches by itself says about the state that it saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchClaim {
    /// Version up to which the entry knows all changes.
    pub version: u64,
    /// Digest of the state at that version.
    pub digest: u64,
}

/// Result of one watch: all changes after one version up to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// The batch holds all changes after this version.
    pub after_version: u64,
    /// The batch holds all changes up to and including this version.
    pub to_version: u64,
    /// The changes in order.
    pub objects: Vec<ChangedObject>,
    /// Whether changes were left out. The receiver has to watch for them by itself.
    pub is_partial: bool,
}

impl WatchBatch {
    /// The batch without its changes. Its receiver has to watch for them by itself.
    pub const fn without_objects(&self) -> Self {
        Self {
            after_version: self.after_version,
            to_version: self.to_version,
            objects: Vec::new(),
            is_partial: true,
        }
    }
}
