//! Where the configuration comes from: the platform at the start, the entries
//! from then on.

use super::AgentAction;
use super::retry::{Backoff, Caller};
use base::{Instant, PlatformOp, PlatformResult, Revision};
use conf::{Config, ConfigLog, REVISION_PREFIX, SNAPSHOT_KEY};
use prost::Message as _;
use schema::link::{ConfigChange, ConfigChanges};
use std::sync::Arc;

/// Shortest time between two questions for changes.
const ASK_MIN_MS: u64 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Snapshot,
    Changes,
}

/// Something came of an offer of changes.
#[derive(Debug, Default)]
pub(super) struct Offered {
    /// The configuration now in force, if it is a new one.
    pub(super) applied: Option<Arc<Config>>,
    /// A change could not be read.
    pub(super) undecodable: bool,
}

/// The configuration and where it comes from.
#[derive(Debug, Default)]
pub(super) struct Settings {
    log: ConfigLog,
    call: Option<(u64, Step)>,
    backoff: Backoff,
    asked_at: Option<Instant>,
}

impl Settings {
    pub(super) const fn current(&self) -> Option<&Arc<Config>> {
        self.log.current()
    }

    pub(super) fn revision(&self) -> Revision {
        self.log.revision()
    }

    pub(super) fn changes_after(&self, after: Revision) -> ConfigChanges {
        self.log.changes_after(after)
    }

    /// Whether to ask a peer that has a higher revision in force.
    pub(super) fn should_ask(&mut self, now: Instant, heard: Revision) -> bool {
        heard > self.revision() && self.may_ask(now)
    }

    /// Whether the last question is old enough for another.
    pub(super) fn may_ask(&mut self, now: Instant) -> bool {
        if self
            .asked_at
            .is_some_and(|at| now.ms_since(at) < ASK_MIN_MS)
        {
            return false;
        }
        self.asked_at = Some(now);
        true
    }

    /// Takes changes from wherever they come.
    pub(super) fn offer(&mut self, changes: &ConfigChanges) -> Offered {
        let before = self.revision();
        let undecodable = self.log.offer(changes).is_err();
        let risen = self.revision() > before;
        Offered {
            applied: risen.then(|| self.log.current().cloned()).flatten(),
            undecodable,
        }
    }

    /// Reads the configuration from the platform until there is one.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        caller: &mut Caller,
        out: &mut Vec<AgentAction>,
    ) {
        let waits = self.call.is_some() || !self.backoff.is_over(now);
        if waits || self.log.current().is_some() {
            return;
        }
        let key = SNAPSHOT_KEY.to_owned();
        let id = caller.call(PlatformOp::Read { key }, out);
        self.call = Some((id, Step::Snapshot));
    }

    pub(super) fn owns(&self, call: u64) -> bool {
        self.call.is_some_and(|(id, _)| id == call)
    }

    pub(super) fn answered(
        &mut self,
        now: Instant,
        result: &PlatformResult,
        caller: &mut Caller,
        out: &mut Vec<AgentAction>,
    ) -> Offered {
        let step = self.call.take().map(|(_, step)| step);
        let mut offered = Offered::default();
        match (step, result) {
            (Some(Step::Snapshot), PlatformResult::Object(object)) => {
                if let Some((_, value)) = object {
                    offered = self.offer_snapshot(value);
                }
                let prefix = REVISION_PREFIX.to_owned();
                let id = caller.call(PlatformOp::List { prefix }, out);
                self.call = Some((id, Step::Changes));
            }
            (Some(Step::Changes), PlatformResult::Objects(objects, _)) => {
                offered = self.offer(&changes_of(objects));
                if self.log.current().is_none() {
                    self.backoff.failed(now, caller);
                }
            }
            _ => self.backoff.failed(now, caller),
        }
        offered
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let waits = self.log.current().is_none() && self.call.is_none();
        self.backoff.until().filter(|_| waits)
    }

    fn offer_snapshot(&mut self, value: &[u8]) -> Offered {
        match ConfigChanges::decode(value) {
            Ok(snapshot) => self.offer(&snapshot),
            Err(_) => Offered {
                applied: None,
                undecodable: true,
            },
        }
    }
}

fn changes_of(objects: &[(String, base::Version, Vec<u8>)]) -> ConfigChanges {
    let changes = objects.iter().filter_map(|(key, _, value)| {
        let revision = key.strip_prefix(REVISION_PREFIX)?.parse().ok()?;
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
