//! The accepted configuration as an append-only log of changes.
//!
//! Revision *n* is the platform object [`revision_key`]`(n)`, created only if
//! absent: creation is acceptance, so the platform gives one total order and
//! the loser of a race gets a conflict. A process applies changes in order and
//! never steps back: an old read, a late frame or a healed partition offers
//! revisions that are already in force, and those are skipped.

use base::Revision;
use schema::link::{ConfigChange, ConfigChanges};
use schema::settings::Fleet;
use serde_json::Value;
use snafu::Snafu;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::{Config, merge_patch};

/// Changes kept for peers that are behind; one further back gets a snapshot.
const KEPT_CHANGES: usize = 256;

/// Bytes of changes kept. What is sent to a peer must fit one frame, and a
/// single change may be as large as a whole document: 256 of those would fill
/// the memory and never reach the peer.
const KEPT_BYTES: usize = 256 << 10;

/// Start of the keys of all changes.
pub const REVISION_KEY_PREFIX: &str = "config/";

/// Key of the newest snapshot: a whole document with its revision.
pub const SNAPSHOT_KEY: &str = "config-snapshot";

/// Key of the object that holds one change.
pub fn revision_key(revision: Revision) -> String {
    format!("{REVISION_KEY_PREFIX}{:012}", revision.0)
}

/// Why a change can't be applied.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The change is not a JSON document.
    #[snafu(display("change {revision} is not JSON: {source}"))]
    InvalidJson {
        /// Revision of the change.
        revision: u64,
        /// Fault found by the decoder.
        source: serde_json::Error,
    },
    /// The patch or the snapshot is JSON, but not an object.
    ///
    /// Such a patch would replace the whole document, and the decoder takes an
    /// empty array for a configuration with nothing in it.
    #[snafu(display("change {revision} is not an object"))]
    NotObject {
        /// Revision of the change.
        revision: u64,
    },
    /// The document after the change is not shaped as the schema says.
    #[snafu(display("document {revision} breaks the schema: {source}"))]
    SchemaMismatch {
        /// Revision of the document.
        revision: u64,
        /// Fault found by the decoder.
        source: serde_json::Error,
    },
}

/// The part of the log that a process holds.
#[derive(Debug, Default)]
pub struct ConfigLog {
    document: Value,
    current: Option<Arc<Config>>,
    changes: VecDeque<ConfigChange>,
}

impl ConfigLog {
    /// An empty log: nothing is in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.current
            .as_ref()
            .map_or(Revision(0), |config| config.revision())
    }

    /// Configuration in force.
    pub const fn current(&self) -> Option<&Arc<Config>> {
        self.current.as_ref()
    }

    /// Document in force.
    pub const fn document(&self) -> &Value {
        &self.document
    }

    /// Applies what is newer than the revision in force, in order.
    ///
    /// Returns the new configuration if the revision rose. A gap ends the
    /// application: what lies behind it is asked for again.
    ///
    /// # Errors
    ///
    /// A change that can't be applied leaves what came before it in force.
    pub fn apply_newer(
        &mut self,
        offered: &ConfigChanges,
    ) -> Result<Option<Arc<Config>>, ApplyError> {
        let before = self.revision();
        if !offered.snapshot.is_empty() && offered.base_revision > before.0 {
            self.take_snapshot(offered)?;
        }
        let next = self.consecutive(&offered.changes);
        if self.apply_together(&next).is_err() {
            for change in &next {
                self.apply(change)?;
            }
        }
        if self.revision() == before {
            return Ok(None);
        }
        Ok(self.current.clone())
    }

    /// What a peer at `after` is missing.
    pub fn changes_after(&self, after: Revision) -> ConfigChanges {
        let next = after.0.saturating_add(1);
        let known = self
            .changes
            .front()
            .map_or(u64::MAX, |first| first.revision);
        if next >= known || after >= self.revision() {
            let missing = self.changes.iter().filter(|held| held.revision >= next);
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

    fn take_snapshot(&mut self, offered: &ConfigChanges) -> Result<(), ApplyError> {
        let revision = offered.base_revision;
        let document = read_object(revision, &offered.snapshot)?;
        self.put_in_force(revision, document)?;
        self.changes.clear();
        Ok(())
    }

    /// The changes that follow the revision in force without a gap.
    fn consecutive<'a>(&self, offered: &'a [ConfigChange]) -> Vec<&'a ConfigChange> {
        let mut last = self.revision().0;
        let mut next = Vec::new();
        for change in offered {
            if Some(change.revision) == last.checked_add(1) {
                last = change.revision;
                next.push(change);
            }
        }
        next
    }

    /// Applies several changes and resolves the document once.
    ///
    /// Resolving costs as much as the document is large, and a process that
    /// comes back may be hundreds of changes behind. If one of them can't be
    /// applied nothing is done here, and they are taken one by one.
    fn apply_together(&mut self, changes: &[&ConfigChange]) -> Result<(), ApplyError> {
        let Some(last) = changes.last() else {
            return Ok(());
        };
        let mut document = self.document.clone();
        for change in changes {
            let patch = read_object(change.revision, &change.patch)?;
            merge_patch::apply(&mut document, &patch);
        }
        self.put_in_force(last.revision, document)?;
        self.changes.extend(changes.iter().copied().cloned());
        self.forget_oldest();
        Ok(())
    }

    fn apply(&mut self, change: &ConfigChange) -> Result<(), ApplyError> {
        self.apply_together(&[change])
    }

    fn forget_oldest(&mut self) {
        let mut bytes: usize = self.changes.iter().map(|held| held.patch.len()).sum();
        while self.changes.len() > KEPT_CHANGES || bytes > KEPT_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            bytes -= oldest.patch.len();
        }
    }

    fn put_in_force(
        &mut self,
        revision: u64,
        document: Value,
    ) -> Result<(), ApplyError> {
        let fleet: Fleet = serde_json::from_value(document.clone())
            .map_err(|source| ApplyError::SchemaMismatch { revision, source })?;
        self.current = Some(Arc::new(Config::new(Revision(revision), fleet)));
        self.document = document;
        Ok(())
    }
}

fn read_object(revision: u64, bytes: &[u8]) -> Result<Value, ApplyError> {
    let value: Value = serde_json::from_slice(bytes)
        .map_err(|source| ApplyError::InvalidJson { revision, source })?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(ApplyError::NotObject { revision })
    }
}
