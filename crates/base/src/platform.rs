//! Calls of the platform's object API, as state machines issue them.

/// Version of an object; the platform increases it with each write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectVersion(pub u64);

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
