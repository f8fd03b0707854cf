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
pub(super) enum WriteCondition {
    None,
    Absent,
    Version(u64),
}

/// Reason why a change was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChangeError {
    NotFound,
    ConditionFailed,
}

#[derive(Debug, Clone, Default)]
struct ObjectHistory {
    current: Option<Object>,
    previous: Option<Object>,
    /// Version of the last write or deletion.
    last_change: u64,
}

/// All objects by key, including deleted ones.
#[derive(Debug, Clone, Default)]
pub(super) struct Objects {
    version_counter: u64,
    histories: BTreeMap<String, ObjectHistory>,
    /// Versions of changes that no watch reports.
    hidden_versions: BTreeSet<u64>,
}

impl Objects {
    /// Returns the version of the last change.
    pub(super) const fn last_version(&self) -> u64 {
        self.version_counter
    }

    pub(super) fn get(&self, key: &str) -> Option<&Object> {
        self.histories.get(key)?.current.as_ref()
    }

    /// Returns the object as it was before its last change.
    pub(super) fn get_previous(&self, key: &str) -> Option<&Object> {
        self.histories.get(key)?.previous.as_ref()
    }

    pub(super) fn with_prefix(
        &self,
        prefix: &str,
    ) -> impl Iterator<Item = (&str, &Object)> {
        self.histories_with_prefix(prefix)
            .filter_map(|(key, history)| Some((key, history.current.as_ref()?)))
    }

    /// Returns the objects with a prefix, each as it was before its last change.
    pub(super) fn previous_with_prefix(
        &self,
        prefix: &str,
    ) -> impl Iterator<Item = (&str, &Object)> {
        self.histories_with_prefix(prefix)
            .filter_map(|(key, history)| Some((key, history.previous.as_ref()?)))
    }

    /// Returns the objects with a prefix that changed after version `after`, with `None`
    /// for deleted ones. Changes hidden from watches are left out.
    pub(super) fn changes(
        &self,
        prefix: &str,
        after: u64,
    ) -> impl Iterator<Item = (&str, Option<&Object>)> {
        self.histories_with_prefix(prefix)
            .filter(move |(_, history)| {
                history.last_change > after
                    && !self.hidden_versions.contains(&history.last_change)
            })
            .map(|(key, history)| (key, history.current.as_ref()))
    }

    fn histories_with_prefix(
        &self,
        prefix: &str,
    ) -> impl Iterator<Item = (&str, &ObjectHistory)> {
        let owned_prefix = prefix.to_owned();
        self.histories
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(&owned_prefix))
            .map(|(key, history)| (key.as_str(), history))
    }

    /// Writes an object and returns its new version.
    pub(super) fn write(
        &mut self,
        key: &str,
        condition: WriteCondition,
        value: Bytes,
        hide_from_watches: bool,
    ) -> Result<u64, ChangeError> {
        let current_version = self.get(key).map(|object| object.version);
        let condition_met = match condition {
            WriteCondition::None => true,
            WriteCondition::Absent => current_version.is_none(),
            WriteCondition::Version(version) => current_version == Some(version),
        };
        if !condition_met {
            return Err(ChangeError::ConditionFailed);
        }
        let version = self.version_counter + 1;
        self.change(key, Some(Object { version, value }), hide_from_watches);
        Ok(version)
    }

    /// Deletes an object and returns the version of the deletion.
    pub(super) fn delete(
        &mut self,
        key: &str,
        condition: WriteCondition,
        hide_from_watches: bool,
    ) -> Result<u64, ChangeError> {
        let current_version = self.get(key).ok_or(ChangeError::NotFound)?.version;
        let condition_met = match condition {
            WriteCondition::None => true,
            WriteCondition::Absent => false,
            WriteCondition::Version(version) => current_version == version,
        };
        if !condition_met {
            return Err(ChangeError::ConditionFailed);
        }
        self.change(key, None, hide_from_watches);
        Ok(self.version_counter)
    }

    fn change(&mut self, key: &str, new: Option<Object>, hide_from_watches: bool) {
        self.version_counter += 1;
        if hide_from_watches {
            self.hidden_versions.insert(self.version_counter);
        }
        let history = self.histories.entry(key.to_owned()).or_default();
        history.previous = std::mem::replace(&mut history.current, new);
        history.last_change = self.version_counter;
    }
}
