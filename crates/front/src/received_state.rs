//! The state of platform objects as other entries send it, in parts.

use base::ObjectVersion;
use base::prelude::*;
use direct::{ChangedObject, state_digest};
use schema::peer::StatePart;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::packed_batches::unpack_batches;

/// What the sources of one collection's state have sent.
///
/// Parts of two sources are never combined. Each divides its state in its own way, so
/// objects would be missing, and upstreams without a record count as removed.
#[derive(Debug, Default)]
pub(crate) struct ReceivedState {
    sources: BTreeMap<SocketAddr, SourceState>,
    active_at: Instant,
}

/// The parts that one source has sent of its state at one version.
#[derive(Debug)]
struct SourceState {
    version: ObjectVersion,
    digest: u64,
    count: u32,
    confirmed_at: Instant,
    parts: BTreeMap<u32, Vec<ChangedObject>>,
}

/// All objects of a collection at one version.
#[derive(Debug)]
pub(crate) struct CompleteState {
    pub(crate) version: u64,
    /// When the platform confirmed the state to its source.
    pub(crate) confirmed_at: Instant,
    pub(crate) objects: Vec<ChangedObject>,
}

impl ReceivedState {
    /// Returns when a source last sent anything, parts or that it has no state yet.
    pub(crate) const fn active_at(&self) -> Instant {
        self.active_at
    }

    /// Adds a part. A source that has no state yet sends one without objects.
    pub(crate) fn add_part(
        &mut self,
        now: Instant,
        source: SocketAddr,
        part: &StatePart,
    ) {
        self.active_at = now;
        let Some(batch) = unpack_batches(&part.packed).pop() else {
            return;
        };
        let begin = || SourceState {
            version: version_of(part),
            digest: part.digest,
            count: part.count,
            confirmed_at: now - Duration::from_millis(part.age_ms),
            parts: BTreeMap::new(),
        };
        let state = self.sources.entry(source).or_insert_with(begin);
        if !state.includes(part) {
            *state = begin();
        }
        state.parts.insert(part.number, batch.objects);
    }

    /// Takes the state of a source that has sent all of it. A state whose objects don't
    /// have the digest that its source stated is dropped: its parts were sent more than
    /// once and divided differently.
    pub(crate) fn take_complete(&mut self) -> Option<CompleteState> {
        let mut sources = self.sources.iter();
        let complete = sources.find(|(_, state)| state.is_complete());
        let source = *complete?.0;
        let state = self.sources.remove(&source)?;
        let objects = state.parts.into_values().flatten();
        // An object that two parts hold would cancel itself out in the digest.
        let by_key = objects.map(|object| (object.key.clone(), object));
        let by_key: BTreeMap<String, ChangedObject> = by_key.collect();
        let objects: Vec<ChangedObject> = by_key.into_values().collect();
        (state_digest(&objects) == state.digest).then_some(CompleteState {
            version: state.version.0,
            confirmed_at: state.confirmed_at,
            objects,
        })
    }
}

/// The version up to which the state of a part includes all changes.
const fn version_of(part: &StatePart) -> ObjectVersion {
    ObjectVersion::new(part.generation, part.version)
}

impl SourceState {
    /// Returns whether a part belongs to this state.
    fn includes(&self, part: &StatePart) -> bool {
        self.version == version_of(part)
            && self.digest == part.digest
            && self.count == part.count
    }

    fn is_complete(&self) -> bool {
        self.count > 0 && self.parts.len() >= self.count as usize
    }
}
