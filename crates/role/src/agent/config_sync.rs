//! Configuration updates: read from the platform until a configuration is in
//! force, then received from the entries.

use super::AgentAction;
use super::platform_client::{Backoff, PlatformClient};
use base::{Instant, PlatformOp, PlatformResult, Revision};
use conf::{Config, ConfigLog, REVISION_KEY_PREFIX, SNAPSHOT_KEY};
use prost::Message as _;
use schema::link::{ConfigChange, ConfigChanges};
use std::sync::Arc;

/// Minimum time between two `ConfigAsk` frames.
const ASK_MIN_MS: u64 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadStep {
    Snapshot,
    Changes,
}

/// Result of applying configuration changes.
#[derive(Debug, Default)]
pub(super) struct ConfigUpdate {
    /// The new configuration, if the revision in force has risen.
    pub(super) applied: Option<Arc<Config>>,
    /// A change could not be decoded.
    pub(super) undecodable: bool,
}

/// The configuration log and the platform read that fills it at the start.
#[derive(Debug, Default)]
pub(super) struct ConfigSync {
    log: ConfigLog,
    call: Option<(u64, ReadStep)>,
    backoff: Backoff,
    last_ask_at: Option<Instant>,
}

impl ConfigSync {
    pub(super) const fn current(&self) -> Option<&Arc<Config>> {
        self.log.current()
    }

    pub(super) fn revision(&self) -> Revision {
        self.log.revision()
    }

    pub(super) fn changes_after(&self, after: Revision) -> ConfigChanges {
        self.log.changes_after(after)
    }

    /// Returns whether to send a `ConfigAsk` to a peer that has a higher
    /// revision in force, and if so records the time.
    pub(super) fn try_begin_ask_if_behind(
        &mut self,
        now: Instant,
        peer_revision: Revision,
    ) -> bool {
        peer_revision > self.revision() && self.try_begin_ask(now)
    }

    /// Returns whether the last `ConfigAsk` is old enough for another, and if
    /// so records the time.
    pub(super) fn try_begin_ask(&mut self, now: Instant) -> bool {
        if self
            .last_ask_at
            .is_some_and(|at| now.ms_since(at) < ASK_MIN_MS)
        {
            return false;
        }
        self.last_ask_at = Some(now);
        true
    }

    /// Applies changes from the platform or from an entry.
    pub(super) fn apply(&mut self, changes: &ConfigChanges) -> ConfigUpdate {
        let before = self.revision();
        let undecodable = self.log.apply_newer(changes).is_err();
        let advanced = self.revision() > before;
        ConfigUpdate {
            applied: advanced.then(|| self.log.current().cloned()).flatten(),
            undecodable,
        }
    }

    /// Reads the configuration from the platform until one is in force.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) {
        let not_due = self.call.is_some() || !self.backoff.has_elapsed(now);
        if not_due || self.log.current().is_some() {
            return;
        }
        let key = SNAPSHOT_KEY.to_owned();
        let id = client.call(PlatformOp::Read { key }, out);
        self.call = Some((id, ReadStep::Snapshot));
    }

    pub(super) fn owns(&self, call: u64) -> bool {
        self.call.is_some_and(|(id, _)| id == call)
    }

    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        result: &PlatformResult,
        client: &mut PlatformClient,
        out: &mut Vec<AgentAction>,
    ) -> ConfigUpdate {
        let read_step = self.call.take().map(|(_, read_step)| read_step);
        let mut update = ConfigUpdate::default();
        match (read_step, result) {
            (Some(ReadStep::Snapshot), PlatformResult::Object(object)) => {
                if let Some((_, value)) = object {
                    update = self.apply_snapshot(value);
                }
                let prefix = REVISION_KEY_PREFIX.to_owned();
                let id = client.call(PlatformOp::List { prefix }, out);
                self.call = Some((id, ReadStep::Changes));
            }
            (Some(ReadStep::Changes), PlatformResult::Objects(objects, _)) => {
                update = self.apply(&changes_from_objects(objects));
                if self.log.current().is_none() {
                    self.backoff.record_failure(now, client);
                }
            }
            _ => self.backoff.record_failure(now, client),
        }
        update
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let needs_call = self.log.current().is_none() && self.call.is_none();
        self.backoff.until().filter(|_| needs_call)
    }

    fn apply_snapshot(&mut self, value: &[u8]) -> ConfigUpdate {
        match ConfigChanges::decode(value) {
            Ok(snapshot) => self.apply(&snapshot),
            Err(_) => ConfigUpdate {
                applied: None,
                undecodable: true,
            },
        }
    }
}

fn changes_from_objects(
    objects: &[(String, base::ObjectVersion, Vec<u8>)],
) -> ConfigChanges {
    let changes = objects.iter().filter_map(|(key, _, value)| {
        let revision = key.strip_prefix(REVISION_KEY_PREFIX)?.parse().ok()?;
        Some(ConfigChange {
            revision,
            patch: value.clone(),
        })
    });
    ConfigChanges {
        changes: changes.collect(),
        ..ConfigChanges::default()
    }
}
