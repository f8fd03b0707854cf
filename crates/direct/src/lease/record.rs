//! The record of the lease in the platform.

use base::ObjectVersion;
use serde::{Deserialize, Serialize};

/// The lease as stored in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Entry that holds the lease; empty if the lease was released.
    pub holder: String,
    /// Start time of the holder's process, in milliseconds since the Unix epoch. It
    /// tells a restarted process from its predecessor.
    pub start: u64,
    /// Fencing token, which grows each time the lease is acquired. Orders carry it.
    pub token: u64,
    /// Renewal counter, so that each write changes the object.
    pub renewal: u64,
    /// Time, in milliseconds, for which the last holder had stopped sending orders when
    /// it released the lease.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub idle_ms: u64,
    /// Generation of the platform in which the record was written. A record of an
    /// earlier generation than the platform's was restored, and later ones may be lost.
    /// `None` if its writer's build doesn't know of generations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<u64>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "as serde asks for it")]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// Holder of a record that can't be read. No entry has this name.
const UNREADABLE_HOLDER: &str = "\0";

impl LeaseRecord {
    /// Record to assume for an object that can't be decoded.
    ///
    /// If the lease counted as one that was never held, an entry would acquire it at
    /// once with the first token: two entries would send orders, and upstreams would
    /// refuse those of the newer holder. Instead it counts as held by a silent entry,
    /// with the highest token possible at this version: each acquisition is a write,
    /// and each write increases the version.
    pub fn unreadable(version: u64) -> Self {
        Self {
            holder: UNREADABLE_HOLDER.to_owned(),
            start: 0,
            token: version,
            renewal: version,
            idle_ms: 0,
            generation: Some(ObjectVersion(version).generation()),
        }
    }

    /// Whether entries can have written this record in an object of the given version.
    pub const fn is_plausible(&self, version: u64) -> bool {
        is_reached_at(self.token, version) && is_reached_at(self.renewal, version)
    }

    /// Whether both records are of the same renewal.
    pub(super) fn is_same_renewal(&self, other: &Self) -> bool {
        let renewal = |record: &Self| (record.start, record.token, record.renewal);
        self.holder == other.holder && renewal(self) == renewal(other)
    }
}

/// Whether a token or renewal number can have been given out by an object's writes up to
/// a version. The numbers of a generation begin after its start, and each is a write.
const fn is_reached_at(number: u64, version: u64) -> bool {
    let (number, version) = (ObjectVersion(number), ObjectVersion(version));
    number.generation() <= version.generation()
        && number.revision() <= version.revision()
}
