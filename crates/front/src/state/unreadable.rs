//! Objects that can't be decoded, reported once per change.
//!
//! Such an object stays where its writer put it and is found again each time
//! its list is read. Logging and counting it each time would show how often it
//! was read, and fill the log; doing so once per change shows what happened.

use parking_lot::Mutex;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Largest number of objects tracked. Beyond it, further ones are not reported.
const MAX_TRACKED: usize = 4_096;

/// Longest part of a key or reason that is logged, in bytes. Both may contain
/// anything that the writer wrote.
const MAX_LOGGED_BYTES: usize = 200;

/// Kinds of objects that are decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum ObjectKind {
    /// The platform's record of an upstream.
    Upstream,
    /// The configuration.
    Config,
    /// The lease for orders.
    Lease,
    /// The record of another entry or of this one.
    Entry,
    /// An upstream's report.
    Report,
    /// A refused part of prompts.
    RefusedPart,
    /// A record of where streams began.
    StreamOrigins,
}

impl ObjectKind {
    /// Returns the name used in metrics and log lines.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Upstream => "upstream",
            Self::Config => "setup",
            Self::Lease => "lease",
            Self::Entry => "entry",
            Self::Report => "report",
            Self::RefusedPart => "prompt_part",
            Self::StreamOrigins => "stream_origins",
        }
    }
}

/// The reported objects, with hashes of their values.
#[derive(Debug, Default)]
pub(crate) struct UnreadableObjects {
    reported: Mutex<HashMap<(ObjectKind, String), u64>>,
}

impl UnreadableObjects {
    /// Forgets an object that was decoded or is gone.
    pub(crate) fn forget(&self, kind: ObjectKind, key: &str) {
        self.retain(kind, |known| known != key);
    }

    /// Forgets the objects of a kind that no longer exist.
    pub(crate) fn retain(&self, kind: ObjectKind, exists: impl Fn(&str) -> bool) {
        let mut reported = self.reported.lock();
        reported.retain(|(tracked_kind, key), _| *tracked_kind != kind || exists(key));
    }

    /// Returns whether an object has changed since it was last reported, and
    /// records it.
    pub(super) fn is_new(&self, kind: ObjectKind, key: &str, value: &[u8]) -> bool {
        let mut reported = self.reported.lock();
        let hash = xxh3_64(value);
        if let Some(known) = reported.get_mut(&(kind, key.to_owned())) {
            return std::mem::replace(known, hash) != hash;
        }
        let has_room = reported.len() < MAX_TRACKED;
        if has_room {
            reported.insert((kind, key.to_owned()), hash);
        }
        has_room
    }
}

/// Returns the start of a text, up to the length that is logged.
pub(super) fn truncated(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_LOGGED_BYTES)]
}
