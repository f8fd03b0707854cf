//! Calls to the platform's object API, as the decisions see them.

/// Version of an object; the platform raises it with each write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectVersion(pub u64);

/// A call that a state machine asks its driver to make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformCall {
    /// Number by which the answer is matched; unique within the machine.
    pub id: u64,
    /// What to do.
    pub op: PlatformOp,
}

/// What to do with the platform's objects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformOp {
    /// Reads one object.
    Read {
        /// Key of the object.
        key: String,
    },
    /// Reads all objects whose key starts with `prefix`.
    List {
        /// Start of the keys.
        prefix: String,
    },
    /// Writes one object if it is as expected.
    Write {
        /// Key of the object.
        key: String,
        /// What must hold for the write to be done.
        precondition: Precondition,
        /// The new value.
        value: Vec<u8>,
    },
    /// Deletes one object if it is as expected.
    Delete {
        /// Key of the object.
        key: String,
        /// What must hold for the deletion to be done.
        precondition: Precondition,
    },
    /// Waits until an object whose key starts with `prefix` has a version above
    /// `after`, or until the platform ends the wait.
    Watch {
        /// Start of the keys.
        prefix: String,
        /// Version already seen.
        after: ObjectVersion,
    },
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// No condition.
    Any,
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(ObjectVersion),
}

/// Answer to a [`PlatformCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformResponse {
    /// Number of the call.
    pub id: u64,
    /// What came of it.
    pub result: PlatformResult,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformResult {
    /// One object, or none.
    Object(Option<(ObjectVersion, Vec<u8>)>),
    /// Objects by key in order, and the version up to which the list holds.
    Objects(Vec<(String, ObjectVersion, Vec<u8>)>, ObjectVersion),
    /// The write took effect and gave this version.
    Written(ObjectVersion),
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The call provably had no effect: the platform refused it or was not
    /// reached.
    Unavailable,
    /// No answer came: a write may or may not have taken effect.
    Unanswered,
}
