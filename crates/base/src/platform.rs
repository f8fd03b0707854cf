//! Calls of the platform's object API, as state machines issue them.

/// Number of low bits of a version that hold the revision. At a thousand writes a
/// second they last for 34 years.
const REVISION_BITS: u32 = 40;

/// Version of an object; the platform increases it with each write.
///
/// A platform that was restored from an older copy gives its revisions out again, for
/// other contents. Each restore begins a new generation, and versions are ordered by the
/// generation first: of two versions the higher one is the later one, across a restore
/// as well. On a platform that doesn't count its restores, the version is the revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectVersion(pub u64);

impl ObjectVersion {
    /// The version at a revision of a generation. Numbers that don't fit are replaced by
    /// the highest that does.
    pub const fn new(generation: u64, revision: u64) -> Self {
        let generation_max = u64::MAX >> REVISION_BITS;
        let revision_max = (1 << REVISION_BITS) - 1;
        let generation = if generation < generation_max {
            generation
        } else {
            generation_max
        };
        let revision = if revision < revision_max {
            revision
        } else {
            revision_max
        };
        Self((generation << REVISION_BITS) | revision)
    }

    /// Number of restores of the platform, as it counts them.
    pub const fn generation(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// The platform's revision within the generation.
    pub const fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

/// A call that a state machine asks its driver to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformCall {
    /// Identifies the call in its response; unique within the state machine.
    pub id: u64,
    /// The operation.
    pub op: PlatformOp,
}

/// An operation on the platform's objects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformOp {
    /// Reads one object.
    Read {
        /// Key of the object.
        key: String,
    },
    /// Reads all objects whose key starts with `prefix`.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Writes one object if the precondition holds.
    Write {
        /// Key of the object.
        key: String,
        /// Condition under which the write takes effect.
        precondition: Precondition,
        /// The new value.
        value: Vec<u8>,
    },
    /// Deletes one object if the precondition holds.
    Delete {
        /// Key of the object.
        key: String,
        /// Condition under which the deletion takes effect.
        precondition: Precondition,
    },
    /// Waits until an object whose key starts with `prefix` has a version above
    /// `after`, or until the platform's own timeout.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Latest version that the client has seen.
        after: ObjectVersion,
    },
}

/// Condition of a write or a deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// No condition.
    Any,
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(ObjectVersion),
}

/// Response to a [`PlatformCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformResponse {
    /// `id` of the call.
    pub id: u64,
    /// Result of the call.
    pub result: PlatformResult,
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformResult {
    /// Version and value of the object, if it exists.
    Object(Option<(ObjectVersion, Vec<u8>)>),
    /// Key, version and value of each object, sorted by key, and the version up to
    /// which the list is complete.
    Objects(Vec<(String, ObjectVersion, Vec<u8>)>, ObjectVersion),
    /// The write took effect and produced this version.
    Written(ObjectVersion),
    /// The precondition did not hold; nothing was written.
    Conflict,
    /// The call certainly had no effect: the platform refused it or could not be
    /// reached.
    Unavailable,
    /// A watch starts at a version after which the platform doesn't know the changes.
    /// The objects have to be listed.
    HistoryGone,
    /// No response arrived; a write may or may not have taken effect.
    Unanswered,
}
