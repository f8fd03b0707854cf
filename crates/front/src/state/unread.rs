//! Objects that can't be read, told of once for each change.
//!
//! Another writer's object stays where it is and is met at each look at the list it
//! stands in. A line and a count for each look would tell how often was looked, and
//! fill the log; one for each change tells what happened.

use parking_lot::Mutex;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Objects remembered at most. Beyond, new ones are held unreadable without a word.
const REMEMBERED_MAX: usize = 4_096;

/// Longest part of a key or reason in a line, in bytes: both may hold whatever the
/// writer wrote.
const TOLD_MAX_BYTES: usize = 200;

/// What can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// The platform's entry of an upstream.
    Upstream,
    /// The configuration.
    Setup,
    /// The lease on orders.
    Lease,
    /// Another entry's address, or this one's own.
    Entry,
    /// An upstream's report.
    Report,
}

impl Kind {
    /// Its name in metrics and log lines.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Upstream => "upstream",
            Self::Setup => "setup",
            Self::Lease => "lease",
            Self::Entry => "entry",
            Self::Report => "report",
        }
    }
}

/// What was told, as hashes of the values that can't be read.
#[derive(Debug, Default)]
pub(crate) struct Unread {
    told: Mutex<HashMap<(Kind, String), u64>>,
}

impl Unread {
    /// An object was read, or is gone.
    pub(crate) fn forget(&self, kind: Kind, key: &str) {
        self.retain(kind, |known| known != key);
    }

    /// Forgets the objects of a kind that are not among those that are there.
    pub(crate) fn retain(&self, kind: Kind, is_there: impl Fn(&str) -> bool) {
        let mut told = self.told.lock();
        told.retain(|(of, key), _| *of != kind || is_there(key));
    }

    /// Whether an object has changed since it was told of.
    pub(super) fn is_new(&self, kind: Kind, key: &str, value: &[u8]) -> bool {
        let mut told = self.told.lock();
        let hash = xxh3_64(value);
        if let Some(known) = told.get_mut(&(kind, key.to_owned())) {
            return std::mem::replace(known, hash) != hash;
        }
        let remembered = told.len() < REMEMBERED_MAX;
        if remembered {
            told.insert((kind, key.to_owned()), hash);
        }
        remembered
    }
}

/// The start of a text, as far as it is told.
pub(super) fn start_of(text: &str) -> &str {
    &text[..text.floor_char_boundary(TOLD_MAX_BYTES)]
}
