//! Append-only log of accepted configuration changes.
//!
//! Revision *n* is stored as the platform object [`revision_key`]`(n)`, which is
//! created only if absent. A change is accepted by the creation of its object, so
//! the platform puts all changes in one total order, and the loser of a race gets a
//! conflict. A process applies changes in order and never goes back: a stale read, a
//! late frame or a healed partition may deliver revisions that are already in force,
//! and those are skipped.

use base::Revision;
use schema::link::{ConfigChange, ConfigChanges};
use schema::settings::Fleet;
use serde_json::Value;
use snafu::Snafu;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::{Config, merge_patch};

/// Number of changes retained for peers that are behind. A peer further behind gets
/// a snapshot.
const RETAINED_CHANGES_MAX: usize = 256;

/// Total size in bytes of the changes retained. They are sent to a peer in one
/// frame, and a single change may be as large as a whole document: 256 such changes
/// would use too much memory and exceed the frame size.
const RETAINED_BYTES_MAX: usize = 256 << 10;

/// Key prefix of the objects that hold the changes.
pub const REVISION_KEY_PREFIX: &str = "config/";

/// Key of the object that holds the newest snapshot: a whole document with its
/// revision.
pub const SNAPSHOT_KEY: &str = "config-snapshot";

/// Key of the object that holds the change of one revision. The number is padded
/// with zeros to 12 digits, so that keys sort in order of revision.
pub fn revision_key(revision: Revision) -> String {
    format!("{REVISION_KEY_PREFIX}{:012}", revision.0)
}

/// Error of applying a change or a snapshot.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The patch or the snapshot is not valid JSON.
    #[snafu(display("revision {revision} is not valid JSON: {source}"))]
    InvalidJson {
        /// Revision of the change.
        revision: u64,
        /// Error of the decoder.
        source: serde_json::Error,
    },
    /// The patch or the snapshot is valid JSON, but not an object.
    ///
    /// Such a patch would replace the whole document, and the decoder accepts an
    /// empty array as an empty configuration.
    #[snafu(display("revision {revision} is not a JSON object"))]
    NotObject {
        /// Revision of the change.
        revision: u64,
    },
    /// The document that results from the change does not match the schema.
    #[snafu(display("revision {revision} does not match the schema: {source}"))]
    SchemaMismatch {
        /// Revision of the document.
        revision: u64,
        /// Error of the decoder.
        source: serde_json::Error,
    },
}

/// A process's copy of the document in force and of the newest changes.
#[derive(Debug, Default)]
pub struct ConfigLog {
    document: Value,
    current: Option<Arc<Config>>,
    changes: VecDeque<ConfigChange>,
}

impl ConfigLog {
    /// Creates a log without a configuration in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision in force; 0 if there is none yet.
    pub fn revision(&self) -> Revision {
        self.current
            .as_ref()
            .map_or(Revision(0), |config| config.revision())
    }

    /// Configuration in force, resolved.
    pub const fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// Document in force; null if there is none yet.
    pub const fn document(&self) -> &Value {
        &self.document
    }

    /// Applies the snapshot and the changes that are newer than the revision in
    /// force, in order.
    ///
    /// Returns the new configuration if the revision increased. Changes after a gap
    /// in the revisions are not applied; the caller has to request them again.
    ///
    /// # Errors
    ///
    /// If a change can't be applied, the changes before it stay in force.
    pub fn apply_newer(
        &mut self,
        received: &ConfigChanges,
    ) -> Result<Option<Arc<Config>>, ApplyError> {
        let before = self.revision();
        if !received.snapshot.is_empty() && received.base_revision > before.0 {
            self.apply_snapshot(received)?;
        }
        let next = self.next_changes(&received.changes);
        if self.apply_batch(&next).is_err() {
            for change in &next {
                self.apply_one(change)?;
            }
        }
        if self.revision() == before {
            return Ok(None);
        }
        Ok(self.current.clone())
    }

    /// Returns the changes that a peer at revision `after` is missing, or a snapshot
    /// if they are no longer retained.
    pub fn changes_after(&self, after: Revision) -> ConfigChanges {
        let next = after.0.saturating_add(1);
        let first_retained = self
            .changes
            .front()
            .map_or(u64::MAX, |first| first.revision);
        if next >= first_retained || after >= self.revision() {
            let missing = self.changes.iter().filter(|change| change.revision >= next);
            return ConfigChanges {
                changes: missing.cloned().collect(),
                ..ConfigChanges::default()
            };
        }
        ConfigChanges {
            snapshot: self.document.to_string().into_bytes(),
            base_revision: self.revision().0,
            changes: Vec::new(),
        }
    }

    fn apply_snapshot(&mut self, received: &ConfigChanges) -> Result<(), ApplyError> {
        let revision = received.base_revision;
        let document = parse_object(revision, &received.snapshot)?;
        self.install(revision, document)?;
        self.changes.clear();
        Ok(())
    }

    /// Selects the changes that follow the revision in force without a gap.
    fn next_changes<'a>(&self, received: &'a [ConfigChange]) -> Vec<&'a ConfigChange> {
        let mut last = self.revision().0;
        let mut next = Vec::new();
        for change in received {
            if Some(change.revision) == last.checked_add(1) {
                last = change.revision;
                next.push(change);
            }
        }
        next
    }

    /// Applies several changes and resolves the document only once.
    ///
    /// The cost of resolving grows with the document, and a process that was offline
    /// may be hundreds of changes behind. If any change can't be applied, none is;
    /// the caller then applies them one by one.
    fn apply_batch(&mut self, changes: &[&ConfigChange]) -> Result<(), ApplyError> {
        let Some(last) = changes.last() else {
            return Ok(());
        };
        let mut document = self.document.clone();
        for change in changes {
            let patch = parse_object(change.revision, &change.patch)?;
            merge_patch::apply(&mut document, &patch);
        }
        self.install(last.revision, document)?;
        self.changes.extend(changes.iter().copied().cloned());
        self.trim_changes();
        Ok(())
    }

    fn apply_one(&mut self, change: &ConfigChange) -> Result<(), ApplyError> {
        self.apply_batch(&[change])
    }

    /// Drops the oldest changes until the rest are within the limits.
    fn trim_changes(&mut self) {
        let mut bytes: usize =
            self.changes.iter().map(|change| change.patch.len()).sum();
        while self.changes.len() > RETAINED_CHANGES_MAX || bytes > RETAINED_BYTES_MAX {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            bytes -= oldest.patch.len();
        }
    }

    /// Decodes and resolves a document and puts it in force.
    fn install(&mut self, revision: u64, document: Value) -> Result<(), ApplyError> {
        let fleet: Fleet = serde_json::from_value(document.clone())
            .map_err(|source| ApplyError::SchemaMismatch { revision, source })?;
        self.current = Some(Arc::new(Config::new(Revision(revision), fleet)));
        self.document = document;
        Ok(())
    }
}

fn parse_object(revision: u64, bytes: &[u8]) -> Result<Value, ApplyError> {
    let value: Value = serde_json::from_slice(bytes)
        .map_err(|source| ApplyError::InvalidJson { revision, source })?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(ApplyError::NotObject { revision })
    }
}
