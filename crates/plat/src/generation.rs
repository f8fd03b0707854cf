//! Generations of the platform: the number of times that it was restored from an older
//! copy, which each of its responses names.
//!
//! A restore loses the latest changes, and the platform then gives their versions out
//! again. So versions of two generations can't be compared by their numbers, and a
//! condition that was read in one generation says nothing in the next.

use base::{ObjectVersion, PlatformOp, Precondition};
use std::sync::atomic::{AtomicU64, Ordering};

/// Latest generation that a response named.
#[derive(Debug, Default)]
pub(crate) struct LatestGeneration {
    /// The generation plus one; 0 if no response has named any.
    plus_one: AtomicU64,
}

impl LatestGeneration {
    /// The latest generation; `None` if the platform has not named any.
    pub(crate) fn get(&self) -> Option<u64> {
        self.plus_one.load(Ordering::Relaxed).checked_sub(1)
    }

    /// Records the generation that a response named. Returns whether the response is of
    /// the latest one.
    pub(crate) fn observe(&self, named: Option<u64>) -> bool {
        let plus_one = named.map_or(0, |generation| generation.saturating_add(1));
        let known = self.plus_one.fetch_max(plus_one, Ordering::Relaxed);
        named.is_none() || known <= plus_one
    }

    /// The generation to which an operation belongs: that of the version that it names,
    /// or the latest if it depends on an object's absence. `None` if its result doesn't
    /// depend on any, or the platform doesn't name generations.
    pub(crate) fn of_operation(&self, op: &PlatformOp) -> Option<u64> {
        let latest = self.get()?;
        match op {
            PlatformOp::Write { precondition, .. }
            | PlatformOp::Delete { precondition, .. } => match precondition {
                Precondition::Any => None,
                Precondition::Absent => Some(latest),
                Precondition::Version(version) => Some(version.generation()),
            },
            PlatformOp::Watch { after, .. } => Some(after.generation()),
            PlatformOp::Read { .. } | PlatformOp::List { .. } => None,
        }
    }
}

/// The version with this number in a response that named this generation.
pub(crate) fn version_in(generation: Option<u64>, number: u64) -> ObjectVersion {
    generation.map_or(ObjectVersion(number), |generation| {
        ObjectVersion::new(generation, number)
    })
}

/// The number by which a platform that names this generation knows a version.
pub(crate) const fn number_of(generation: Option<u64>, version: ObjectVersion) -> u64 {
    match generation {
        Some(_) => version.revision(),
        None => version.0,
    }
}
