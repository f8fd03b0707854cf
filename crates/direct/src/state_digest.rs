//! Digest of a collection of platform objects, by which entries find out whether they
//! know the same state.

use base::ObjectVersion;
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

use crate::ChangedObject;

/// Number of earlier digests that are kept. With fifty changes a second, they cover
/// more than the time for which another entry's digest is on its way.
const MAX_HISTORY: usize = 256;

/// Digest of the current objects and of recent earlier states.
///
/// It doesn't depend on the order of changes: an entry that listed a state and one that
/// watched every change up to it have the same digest.
#[derive(Debug, Default)]
pub(crate) struct StateDigest {
    /// Each object with its hash.
    objects: HashMap<String, (u64, ChangedObject)>,
    /// All hashes combined by exclusive or.
    current: u64,
    /// Version from which on the state had a digest, oldest first.
    history: VecDeque<(u64, u64)>,
}

impl StateDigest {
    /// Replaces the state by a list of all objects at a version. Returns what is
    /// different from before.
    pub(crate) fn replace(
        &mut self,
        version: u64,
        listed: &[ChangedObject],
    ) -> Vec<ChangedObject> {
        let before = std::mem::take(&mut self.objects);
        self.current = 0;
        let mut changed = Vec::new();
        for object in listed {
            let hash = object_hash(object);
            self.current ^= hash;
            if before.get(&object.key).map(|(hash, _)| *hash) != Some(hash) {
                changed.push(object.clone());
            }
            self.objects
                .insert(object.key.clone(), (hash, object.clone()));
        }
        let deleted = before
            .into_keys()
            .filter(|key| !self.objects.contains_key(key));
        changed.extend(deleted.map(|key| ChangedObject::deleted(key, version)));
        self.history.clear();
        self.history.push_back((version, self.current));
        changed
    }

    /// Applies one change. The state is known up to `known_version`; a change that it
    /// includes already has no effect. Some platforms report a deletion with the
    /// version of the object's last change.
    pub(crate) fn apply(&mut self, known_version: u64, object: &ChangedObject) {
        let before = self.objects.get(&object.key);
        let before_hash = before.map_or(0, |(hash, _)| *hash);
        if object.is_deleted() {
            if before.is_none_or(|(_, before)| object.version < before.version) {
                return;
            }
            self.objects.remove(&object.key);
        } else {
            if object.version <= known_version {
                return;
            }
            let hash = object_hash(object);
            self.current ^= hash;
            self.objects
                .insert(object.key.clone(), (hash, object.clone()));
        }
        self.current ^= before_hash;
        let latest = self.history.back().map_or(0, |(from, _)| *from);
        self.history
            .push_back((object.version.max(latest), self.current));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// All objects, in no particular order.
    pub(crate) fn objects(&self) -> impl Iterator<Item = &ChangedObject> {
        self.objects.values().map(|(_, object)| object)
    }

    /// Digest of the current state.
    pub(crate) const fn current(&self) -> u64 {
        self.current
    }

    /// Digest of the state at a version up to which all changes are known; `None` if
    /// it is no longer known.
    pub(crate) fn at(&self, version: u64) -> Option<u64> {
        let mut newest_first = self.history.iter().rev();
        let state = newest_first.find(|(from, _)| *from <= version);
        state.map(|(_, digest)| *digest)
    }
}

/// Digest of a state that consists of these objects, as in
/// [`WatchClaim`](crate::WatchClaim).
pub fn state_digest(objects: &[ChangedObject]) -> u64 {
    let hashes = objects.iter().map(object_hash);
    hashes.fold(0, |digest, hash| digest ^ hash)
}

/// Hash of an object by its revision and content, whichever generation of the platform
/// it was read from: what a restore has left as it was is not different after it.
fn object_hash(object: &ChangedObject) -> u64 {
    let mut bytes = Vec::with_capacity(object.key.len() + 16);
    bytes.extend_from_slice(object.key.as_bytes());
    let revision = ObjectVersion(object.version).revision();
    bytes.extend_from_slice(&revision.to_le_bytes());
    bytes.extend_from_slice(&object.content_hash.to_le_bytes());
    xxh3_64(&bytes)
}
