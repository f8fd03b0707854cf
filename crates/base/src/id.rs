//! Identifiers assigned by the processes.

use std::fmt;

/// Identifies one run of a process; each restart yields a greater value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Incarnation(pub u64);

/// Fencing epoch of an upstream's agent; each new agent process takes a higher one.
///
/// An upstream that checks fencing refuses orders from lower epochs than the
/// highest it has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FencingEpoch(pub u64);

/// Revision of the configuration; each accepted change increments it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision(pub u64);

/// Identifies a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Incarnation of the entry that received the request.
    pub origin: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

/// Identifies one attempt to run a request; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Incarnation of the entry that made the attempt.
    pub origin: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.origin, self.sequence)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.origin, self.sequence)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
