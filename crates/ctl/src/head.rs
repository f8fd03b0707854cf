//! The configuration as the platform holds it.

use base::{ObjectVersion, PlatformOp, PlatformResult, Revision};
use conf::{ConfigLog, REVISION_KEY_PREFIX, SNAPSHOT_KEY, merge_patch};
use plat::ObjectApi;
use prost::Message;
use schema::link::{ConfigChange, ConfigChanges};
use serde_json::Value;
use std::time::Duration;
use tokio::time::sleep;

use crate::CtlError;

/// Tries of one read before the platform counts as away.
pub(crate) const READ_TRIES: u32 = 4;

/// Pause between two tries.
pub(crate) const TRY_PAUSE: Duration = Duration::from_millis(250);

/// Newest revision, its document and how it came about.
#[derive(Debug)]
pub struct Head {
    log: ConfigLog,
    changes: Vec<ConfigChange>,
    snapshot: Option<HeldSnapshot>,
}

/// The snapshot object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldSnapshot {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Revision of the document in it.
    pub revision: Revision,
}

/// An object with its version, as read.
pub type HeldObject = Option<(ObjectVersion, Vec<u8>)>;

impl Head {
    /// Puts the head together from the snapshot and the list of changes.
    ///
    /// The snapshot must have been read before the list, so that the list holds
    /// everything that follows it.
    ///
    /// # Errors
    ///
    /// An object can't be decoded, or a revision is missing between others.
    pub fn new(
        snapshot: &HeldObject,
        objects: &[(String, ObjectVersion, Vec<u8>)],
    ) -> Result<Self, CtlError> {
        let changes = decode_changes(objects);
        let mut log = ConfigLog::new();
        let mut held = None;
        if let Some((version, bytes)) = snapshot {
            let decoded = ConfigChanges::decode(bytes.as_slice())
                .map_err(|source| damaged(format!("{SNAPSHOT_KEY}: {source}")))?;
            held = Some(HeldSnapshot {
                version: *version,
                revision: Revision(decoded.base_revision),
            });
            offer(&mut log, &decoded)?;
        }
        let all = ConfigChanges {
            changes: changes.clone(),
            ..ConfigChanges::default()
        };
        offer(&mut log, &all)?;
        let head = Self {
            log,
            changes,
            snapshot: held,
        };
        head.without_gap()
    }

    /// Newest revision; 0 if nothing was accepted yet.
    pub fn revision(&self) -> Revision {
        self.log.revision()
    }

    /// Document of the newest revision; `null` at revision 0.
    pub const fn document(&self) -> &Value {
        self.log.document()
    }

    /// The snapshot object, if there is one.
    pub const fn snapshot(&self) -> Option<HeldSnapshot> {
        self.snapshot
    }

    /// Document of an older revision.
    ///
    /// # Errors
    ///
    /// There is no such revision.
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
                .map_err(|source| damaged(source.to_string()))?;
            merge_patch::apply(&mut document, &patch);
            reached = Revision(change.revision);
        }
        if reached == revision {
            return Ok(document);
        }
        Err(CtlError::NoSuchRevision {
            revision: revision.0,
            head: self.revision().0,
        })
    }

    /// A change behind a gap would be skipped here and a new one written over
    /// the gap, so every process would then apply what nobody checked together.
    fn without_gap(self) -> Result<Self, CtlError> {
        let newest = self.changes.last().map_or(0, |change| change.revision);
        let reached = self.revision().0;
        if newest > reached {
            let detail = format!("revision {newest} is there, but not {}", reached + 1);
            return Err(damaged(detail));
        }
        Ok(self)
    }
}

/// Reads the head from the platform.
///
/// # Errors
///
/// The platform can't be reached, or what it holds is damaged.
pub async fn read_head(platform: &dyn ObjectApi) -> Result<Head, CtlError> {
    let snapshot = read(platform, SNAPSHOT_KEY).await?;
    let objects = list(platform, REVISION_KEY_PREFIX).await?;
    Head::new(&snapshot, &objects)
}

/// Reads one object; tries again while the platform is away.
///
/// # Errors
///
/// The platform can't be reached.
pub async fn read(platform: &dyn ObjectApi, key: &str) -> Result<HeldObject, CtlError> {
    let op = PlatformOp::Read {
        key: key.to_owned(),
    };
    match patiently(platform, &op).await {
        PlatformResult::Object(object) => Ok(object),
        _ => Err(CtlError::PlatformAway),
    }
}

/// Lists objects; tries again while the platform is away.
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
    match patiently(platform, &op).await {
        PlatformResult::Objects(objects, _) => Ok(objects),
        _ => Err(CtlError::PlatformAway),
    }
}

async fn patiently(platform: &dyn ObjectApi, op: &PlatformOp) -> PlatformResult {
    for _ in 1..READ_TRIES {
        match platform.call(op).await {
            PlatformResult::Unavailable | PlatformResult::Unanswered => {}
            result => return result,
        }
        sleep(TRY_PAUSE).await;
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

fn offer(log: &mut ConfigLog, changes: &ConfigChanges) -> Result<(), CtlError> {
    log.apply_newer(changes)
        .map(|_| ())
        .map_err(|source| damaged(source.to_string()))
}

const fn damaged(detail: String) -> CtlError {
    CtlError::DamagedHead { detail }
}
