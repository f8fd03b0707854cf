//! Test rig: an entry's state machine with simulated agents and platform.

mod agents;
mod observed;
mod requests;
mod settings;

pub use agents::{FakeAgent, agent_peer, entry_peer, heartbeat};
pub use observed::SentRun;
pub use settings::{document, options};

use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResponse, PlatformResult};
use role::entry::{EntryAction, EntryEvent, EntryOptions, EntryRole};
use serde_json::Value;
use std::collections::BTreeMap;

/// API key of the configured caller.
pub const KEY: &str = "key-desk";
/// Incarnation of the entry under test.
pub const OWN_INCARNATION: u64 = 7;

pub struct Rig {
    pub role: EntryRole,
    pub now: Instant,
    pub agents: BTreeMap<String, FakeAgent>,
    /// Calls to the platform fail without effect.
    pub platform_unavailable: bool,
    /// Reads at the platform are not answered.
    pub hold_reads: bool,
    pub objects: BTreeMap<String, Vec<u8>>,
    /// Actions of the state machine since the last `clear`.
    pub actions: Vec<EntryAction>,
}

impl Rig {
    /// A ready entry with a configuration and without agents.
    pub fn new() -> Self {
        let mut rig = Self::without_config(options("e1", OWN_INCARNATION));
        rig.publish(1, &document());
        rig.start();
        assert!(rig.role.config().is_some());
        rig
    }

    pub fn without_config(options: EntryOptions) -> Self {
        let now = Instant::from_ms(1_000);
        let mut actions = Vec::new();
        Self {
            role: EntryRole::new(options, now, &mut actions),
            now,
            agents: BTreeMap::new(),
            platform_unavailable: false,
            hold_reads: false,
            objects: BTreeMap::new(),
            actions,
        }
    }

    pub fn start(&mut self) {
        let first = std::mem::take(&mut self.actions);
        self.answer(&first);
        self.actions.extend(first);
        self.advance(150);
    }

    pub fn publish(&mut self, revision: u64, patch: &Value) {
        let key = conf::revision_key(Revision(revision));
        self.objects.insert(key, patch.to_string().into_bytes());
    }

    /// Writes an object at the platform and answers the watches of its prefix.
    pub fn write_object(&mut self, key: &str, value: &[u8]) {
        self.objects.insert(key.to_owned(), value.to_vec());
        let calls = self.actions.iter().filter_map(|action| match action {
            EntryAction::CallPlatform(call) => Some(call),
            _ => None,
        });
        let watches = calls.filter(|call| match &call.op {
            PlatformOp::Watch { prefix, .. } => key.starts_with(prefix.as_str()),
            _ => false,
        });
        for id in watches.map(|call| call.id).collect::<Vec<_>>() {
            let changes = vec![(key.to_owned(), ObjectVersion(2), value.to_vec())];
            let result = PlatformResult::Objects(changes, ObjectVersion(2));
            self.handle(EntryEvent::PlatformAnswered(PlatformResponse {
                id,
                result,
            }));
        }
    }

    pub fn handle(&mut self, event: EntryEvent) {
        let mut out = Vec::new();
        self.role.handle(self.now, event, &mut out);
        self.answer(&out);
        self.actions.extend(out);
    }

    fn answer(&mut self, actions: &[EntryAction]) {
        for action in actions {
            if let EntryAction::CallPlatform(call) = action {
                let id = call.id;
                let result = match (&call.op, self.platform_unavailable) {
                    (_, true) => PlatformResult::Unavailable,
                    (PlatformOp::Read { .. }, _) if self.hold_reads => continue,
                    (PlatformOp::Read { key }, _) => {
                        let object = self.objects.get(key);
                        PlatformResult::Object(
                            object.map(|v| (ObjectVersion(1), v.clone())),
                        )
                    }
                    (PlatformOp::List { prefix }, _) => self.list(prefix),
                    (PlatformOp::Write { .. }, _) => {
                        PlatformResult::Written(ObjectVersion(1))
                    }
                    (PlatformOp::Delete { .. }, _) => {
                        PlatformResult::Written(ObjectVersion(2))
                    }
                    (PlatformOp::Watch { .. }, _) => continue,
                };
                self.handle(EntryEvent::PlatformAnswered(PlatformResponse {
                    id,
                    result,
                }));
            }
        }
    }

    fn list(&self, prefix: &str) -> PlatformResult {
        let objects = self
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let objects =
            objects.map(|(key, value)| (key.clone(), ObjectVersion(1), value.clone()));
        PlatformResult::Objects(objects.collect(), ObjectVersion(1))
    }

    /// Advances the time, with ticks when they are due and heartbeats of all agents that
    /// are not silent.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            let due = self.role.due().unwrap_or(end).max(self.now);
            let next = due.min(end).min(self.now.plus_ms(250));
            self.now = next.max(Instant::from_us(self.now.as_us() + 1));
            self.send_heartbeats();
            self.handle(EntryEvent::Tick);
        }
    }

    /// Forgets the actions so far.
    pub fn clear(&mut self) {
        self.actions.clear();
    }
}
