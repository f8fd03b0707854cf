//! Versioned objects with their previous values.

use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum size of an object's value.
pub const VALUE_MAX_BYTES: usize = 1 << 20;

/// A value of an object and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Object {
    pub(super) version: u64,
    pub(super) value: Bytes,
}

/// Precondition of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Condition {
    None,
    Absent,
    Version(u64),
}

/// Reason why a change was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotDone {
    Missing,
    Condition,
}

#[derive(Debug, Default)]
struct Slot {
    now: Option<Object>,
    before: Option<Object>,
    /// Version of the last write or deletion.
    changed: u64,
}

/// All objects by key, including deleted ones.
#[derive(Debug, Default)]
pub(super) struct Objects {
    counter: u64,
    slots: BTreeMap<String, Slot>,
    /// Versions of changes that no watch reports.
    hidden: BTreeSet<u64>,
}

impl Objects {
    /// Returns the version of the last change.
    pub(super) const fn newest(&self) -> u64 {
        self.counter
    }

    pub(super) fn get(&self, key: &str) -> Option<&Object> {
        self.slots.get(key)?.now.as_ref()
    }

    /// Returns the object as it was before its last change.
    pub(super) fn get_before(&self, key: &str) -> Option<&Object> {
        self.slots.get(key)?.before.as_ref()
    }

    pub(super) fn under(&self, prefix: &str) -> impl Iterator<Item = (&str, &Object)> {
        self.slots_under(prefix)
            .filter_map(|(key, slot)| Some((key, slot.now.as_ref()?)))
    }

    /// Returns the objects with a prefix, each as it was before its last change.
    pub(super) fn under_before(
        &self,
        prefix: &str,
    ) -> impl Iterator<Item = (&str, &Object)> {
        self.slots_under(prefix)
            .filter_map(|(key, slot)| Some((key, slot.before.as_ref()?)))
    }

    /// Returns the objects with a prefix that changed after version `after`, with `None`
    /// for deleted ones. Changes hidden from watches are left out.
    pub(super) fn changes(
        &self,
        prefix: &str,
        after: u64,
    ) -> impl Iterator<Item = (&str, Option<&Object>)> {
        self.slots_under(prefix)
            .filter(move |(_, slot)| {
                slot.changed > after && !self.hidden.contains(&slot.changed)
            })
            .map(|(key, slot)| (key, slot.now.as_ref()))
    }

    fn slots_under(&self, prefix: &str) -> impl Iterator<Item = (&str, &Slot)> {
        let owned = prefix.to_owned();
        self.slots
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(&owned))
            .map(|(key, slot)| (key.as_str(), slot))
    }

    /// Writes an object and returns its new version.
    pub(super) fn write(
        &mut self,
        key: &str,
        condition: Condition,
        value: Bytes,
        hide: bool,
    ) -> Result<u64, NotDone> {
        let held = self.get(key).map(|object| object.version);
        let met = match condition {
            Condition::None => true,
            Condition::Absent => held.is_none(),
            Condition::Version(version) => held == Some(version),
        };
        if !met {
            return Err(NotDone::Condition);
        }
        let version = self.counter + 1;
        self.change(key, Some(Object { version, value }), hide);
        Ok(version)
    }

    /// Deletes an object and returns the version of the deletion.
    pub(super) fn delete(
        &mut self,
        key: &str,
        condition: Condition,
        hide: bool,
    ) -> Result<u64, NotDone> {
        let held = self.get(key).ok_or(NotDone::Missing)?.version;
        let met = match condition {
            Condition::None => true,
            Condition::Absent => false,
            Condition::Version(version) => held == version,
        };
        if !met {
            return Err(NotDone::Condition);
        }
        self.change(key, None, hide);
        Ok(self.counter)
    }

    fn change(&mut self, key: &str, to: Option<Object>, hide: bool) {
        self.counter += 1;
        if hide {
            self.hidden.insert(self.counter);
        }
        let slot = self.slots.entry(key.to_owned()).or_default();
        slot.before = std::mem::replace(&mut slot.now, to);
        slot.changed = self.counter;
    }
}
