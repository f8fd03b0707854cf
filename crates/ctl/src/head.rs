//! Reads the accepted configuration from the platform.

use base::{ObjectVersion, PlatformOp, PlatformResult, Revision};
use conf::{ConfigLog, REVISION_KEY_PREFIX, SNAPSHOT_KEY, merge_patch};
use plat::ObjectApi;
use prost::Message;
use schema::link::{ConfigChange, ConfigChanges};
use serde_json::Value;
use std::time::Duration;
use tokio::time::sleep;

use crate::CtlError;

/// Attempts of one read before the platform counts as unreachable.
pub(crate) const READ_ATTEMPTS: u32 = 4;

/// Pause before a call is repeated.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The newest accepted revision with its document and the changes that lead to
/// it. The platform stores each change as an object, and now and then a
/// snapshot of the whole document.
#[derive(Debug)]
pub struct ConfigHead {
    log: ConfigLog,
    changes: Vec<ConfigChange>,
    snapshot: Option<SnapshotInfo>,
}

/// Version and content of the snapshot object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotInfo {
    /// Version of the object on the platform.
    pub version: ObjectVersion,
    /// Revision of the document in the snapshot.
    pub revision: Revision,
}

/// An object with its version; `None` if it does not exist.
pub type StoredObject = Option<(ObjectVersion, Vec<u8>)>;

impl ConfigHead {
    /// Builds the head from the snapshot object and the listed change objects.
    ///
    /// The snapshot must have been read before the list, so that the list
    /// contains every change that follows the snapshot.
    ///
    /// # Errors
    ///
    /// An object can't be decoded, or a revision is missing between others.
    pub fn new(
        snapshot: &StoredObject,
        objects: &[(String, ObjectVersion, Vec<u8>)],
    ) -> Result<Self, CtlError> {
        let changes = decode_changes(objects);
        let mut log = ConfigLog::new();
        let mut snapshot_info = None;
        if let Some((version, bytes)) = snapshot {
            let decoded = ConfigChanges::decode(bytes.as_slice())
                .map_err(|source| corrupt(format!("{SNAPSHOT_KEY}: {source}")))?;
            snapshot_info = Some(SnapshotInfo {
                version: *version,
                revision: Revision(decoded.base_revision),
            });
            apply_changes(&mut log, &decoded)?;
        }
        let all = ConfigChanges {
            changes: changes.clone(),
            ..ConfigChanges::default()
        };
        apply_changes(&mut log, &all)?;
        let head = Self {
            log,
            changes,
            snapshot: snapshot_info,
        };
        head.check_no_gap()
    }

    /// Newest revision; 0 if none was accepted yet.
    pub fn revision(&self) -> Revision {
        self.log.revision()
    }

    /// Document of the newest revision; `null` at revision 0.
    pub const fn document(&self) -> &Value {
        self.log.document()
    }

    /// The snapshot object, if one was read.
    pub const fn snapshot(&self) -> Option<SnapshotInfo> {
        self.snapshot
    }

    /// Rebuilds the document of a revision from the changes.
    ///
    /// # Errors
    ///
    /// The revision does not exist, or a change can't be decoded.
    pub fn document_at(&self, revision: Revision) -> Result<Value, CtlError> {
        if revision == self.revision() {
            return Ok(self.document().clone());
        }
        let mut document = Value::Null;
        let mut reached = Revision(0);
        for change in &self.changes {
            if reached == revision || change.revision != reached.0 + 1 {
                break;
            }
            let patch = serde_json::from_slice(&change.patch)
                .map_err(|source| corrupt(source.to_string()))?;
            merge_patch::apply(&mut document, &patch);
            reached = Revision(change.revision);
        }
        if reached == revision {
            return Ok(document);
        }
        Err(CtlError::UnknownRevision {
            revision: revision.0,
            newest: self.revision().0,
        })
    }

    /// Rejects a list of changes with a missing revision. The changes after the
    /// gap were not applied here, so a new change would be checked without them
    /// and its object would fill the gap; every process would then apply a
    /// combination of changes that nobody checked.
    fn check_no_gap(self) -> Result<Self, CtlError> {
        let newest = self.changes.last().map_or(0, |change| change.revision);
        let reached = self.revision().0;
        if newest > reached {
            let detail = format!(
                "revision {newest} exists, but revision {} does not",
                reached + 1
            );
            return Err(corrupt(detail));
        }
        Ok(self)
    }
}

/// Reads the newest configuration from the platform.
///
/// # Errors
///
/// The platform can't be reached, or its configuration objects are damaged.
pub async fn read_config_head(
    platform: &dyn ObjectApi,
) -> Result<ConfigHead, CtlError> {
    let snapshot = read(platform, SNAPSHOT_KEY).await?;
    let objects = list(platform, REVISION_KEY_PREFIX).await?;
    ConfigHead::new(&snapshot, &objects)
}

/// Reads one object; retries while the platform is unreachable.
///
/// # Errors
///
/// The platform can't be reached.
pub async fn read(
    platform: &dyn ObjectApi,
    key: &str,
) -> Result<StoredObject, CtlError> {
    let op = PlatformOp::Read {
        key: key.to_owned(),
    };
    match call_with_retries(platform, &op).await {
        PlatformResult::Object(object) => Ok(object),
        _ => Err(CtlError::PlatformUnreachable),
    }
}

/// Lists objects by prefix; retries while the platform is unreachable.
///
/// # Errors
///
/// The platform can't be reached.
pub async fn list(
    platform: &dyn ObjectApi,
    prefix: &str,
) -> Result<Vec<(String, ObjectVersion, Vec<u8>)>, CtlError> {
    let op = PlatformOp::List {
        prefix: prefix.to_owned(),
    };
    match call_with_retries(platform, &op).await {
        PlatformResult::Objects(objects, _) => Ok(objects),
        _ => Err(CtlError::PlatformUnreachable),
    }
}

async fn call_with_retries(
    platform: &dyn ObjectApi,
    op: &PlatformOp,
) -> PlatformResult {
    for _ in 1..READ_ATTEMPTS {
        match platform.call(op).await {
            PlatformResult::Unavailable | PlatformResult::Unanswered => {}
            result => return result,
        }
        sleep(RETRY_DELAY).await;
    }
    platform.call(op).await
}

fn decode_changes(objects: &[(String, ObjectVersion, Vec<u8>)]) -> Vec<ConfigChange> {
    let mut changes: Vec<_> = objects
        .iter()
        .filter_map(|(key, _, value)| {
            let revision = key.strip_prefix(REVISION_KEY_PREFIX)?.parse().ok()?;
            Some(ConfigChange {
                revision,
                patch: value.clone(),
            })
        })
        .collect();
    changes.sort_by_key(|change| change.revision);
    changes
}

fn apply_changes(log: &mut ConfigLog, changes: &ConfigChanges) -> Result<(), CtlError> {
    log.apply_newer(changes)
        .map(|_| ())
        .map_err(|source| corrupt(source.to_string()))
}

const fn corrupt(detail: String) -> CtlError {
    CtlError::CorruptConfig { detail }
}
