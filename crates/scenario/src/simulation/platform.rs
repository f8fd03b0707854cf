//! Fake of the platform's object API.

use base::prelude::*;
use base::{
    ObjectVersion, PlatformCall, PlatformOp, PlatformResponse, PlatformResult,
    Precondition,
};
use schema::settings::Fleet;
use std::collections::BTreeMap;

use super::Simulation;
use super::event_queue::{ProcessIncarnation, SimEvent};
use super::process::ProcessState;
use crate::script::PlatformFault;

/// Default one-way delay between a process and the platform.
const DEFAULT_DELAY_MS: u64 = 2;

/// Time after which a process gives up on a call that gets no response.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Maximum time for which a watch waits for a change.
const WATCH_TIMEOUT_MS: u64 = 10_000;

/// In-memory object store with injectable faults.
#[derive(Debug)]
pub(crate) struct FakePlatform {
    objects: BTreeMap<String, Object>,
    version: u64,
    delay_ms: u64,
    unavailable: bool,
    write_responses_to_lose: u32,
    stale_reads: u32,
    watches_miss_changes: bool,
    watches: BTreeMap<u64, PendingWatch>,
    next_watch: u64,
}

#[derive(Debug)]
struct Object {
    version: ObjectVersion,
    /// `None` if the object was deleted.
    value: Option<Vec<u8>>,
    /// Version and value before the last write, returned by stale reads.
    previous: Option<(ObjectVersion, Vec<u8>)>,
}

#[derive(Debug)]
struct PendingWatch {
    process: String,
    incarnation: ProcessIncarnation,
    call: u64,
    prefix: String,
    after: ObjectVersion,
}

impl FakePlatform {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let mut platform = Self {
            objects: BTreeMap::new(),
            version: 0,
            delay_ms: DEFAULT_DELAY_MS,
            unavailable: false,
            write_responses_to_lose: 0,
            stale_reads: 0,
            watches_miss_changes: false,
            watches: BTreeMap::new(),
            next_watch: 0,
        };
        let document = serde_json::to_vec(fleet).unwrap_or_default();
        platform.put(&conf::revision_key(Revision(1)), Some(document));
        platform
    }

    fn put(&mut self, key: &str, value: Option<Vec<u8>>) -> ObjectVersion {
        self.version += 1;
        let version = ObjectVersion(self.version);
        let previous = self.objects.remove(key);
        let previous = previous.and_then(|old| Some((old.version, old.value?)));
        let object = Object {
            version,
            value,
            previous,
        };
        self.objects.insert(key.to_owned(), object);
        version
    }

    fn precondition_holds(&self, key: &str, precondition: Precondition) -> bool {
        let present = self
            .objects
            .get(key)
            .filter(|object| object.value.is_some());
        match precondition {
            Precondition::Any => true,
            Precondition::Absent => present.is_none(),
            Precondition::Version(version) => {
                present.is_some_and(|object| object.version == version)
            }
        }
    }

    fn read(&mut self, key: &str) -> PlatformResult {
        let Some(object) = self.objects.get(key) else {
            return PlatformResult::Object(None);
        };
        if self.stale_reads > 0 && object.previous.is_some() {
            self.stale_reads -= 1;
            return PlatformResult::Object(object.previous.clone());
        }
        let value = object.value.clone();
        PlatformResult::Object(value.map(|value| (object.version, value)))
    }

    fn list(&mut self, prefix: &str, after: ObjectVersion) -> PlatformResult {
        let objects = self.objects.iter();
        let newer = objects
            .filter(|(key, object)| key.starts_with(prefix) && object.version > after);
        let watching = after > ObjectVersion(0);
        let found = newer.filter_map(|(key, object)| match &object.value {
            Some(value) => Some((key.clone(), object.version, value.clone())),
            // A watch reports a deletion as an empty value.
            None if watching => Some((key.clone(), object.version, Vec::new())),
            None => None,
        });
        let mut found: Vec<_> = found.collect();
        // A stale list lacks its last object.
        if self.stale_reads > 0 && found.len() > 1 {
            self.stale_reads -= 1;
            found.pop();
        }
        PlatformResult::Objects(found, ObjectVersion(self.version))
    }

    fn has_changes(&self, prefix: &str, after: ObjectVersion) -> bool {
        let mut objects = self.objects.iter();
        !self.watches_miss_changes
            && objects
                .any(|(key, object)| key.starts_with(prefix) && object.version > after)
    }

    fn write(
        &mut self,
        key: &str,
        precondition: Precondition,
        value: Option<Vec<u8>>,
    ) -> CallEffect {
        if !self.precondition_holds(key, precondition) {
            return CallEffect::answered(PlatformResult::Conflict);
        }
        let version = self.put(key, value);
        let result = if self.write_responses_to_lose > 0 {
            self.write_responses_to_lose -= 1;
            PlatformResult::Unanswered
        } else {
            PlatformResult::Written(version)
        };
        CallEffect {
            result,
            wrote: true,
        }
    }
}

/// Result of a call, and whether it wrote an object.
struct CallEffect {
    result: PlatformResult,
    wrote: bool,
}

impl CallEffect {
    const fn answered(result: PlatformResult) -> Self {
        Self {
            result,
            wrote: false,
        }
    }
}

impl Simulation<'_> {
    /// Schedules the arrival of a process's call at the platform.
    pub(crate) fn call_platform(&mut self, process: &str, call: PlatformCall) {
        let Some(incarnation) = self.incarnation_of(process) else {
            return;
        };
        if self.links.is_cut(process, "platform") {
            let result = if Self::is_write(&call.op) {
                PlatformResult::Unanswered
            } else {
                PlatformResult::Unavailable
            };
            self.schedule_platform_response(
                process,
                incarnation,
                call.id,
                result,
                CALL_TIMEOUT_MS,
            );
            return;
        }
        let at = self.now.plus_ms(self.platform.delay_ms);
        let sim_event = SimEvent::PlatformCallArrives {
            process: process.to_owned(),
            incarnation,
            call,
        };
        self.events.schedule(at, sim_event);
    }

    fn incarnation_of(&self, process: &str) -> Option<ProcessIncarnation> {
        let entry = self.entries.get(process).map(|proc| proc.incarnation);
        entry.or_else(|| self.agents.get(process).map(|proc| proc.incarnation))
    }

    fn schedule_platform_response(
        &mut self,
        process: &str,
        incarnation: ProcessIncarnation,
        id: u64,
        result: PlatformResult,
        after_ms: u64,
    ) {
        let sim_event = SimEvent::PlatformResponseArrives {
            process: process.to_owned(),
            incarnation,
            response: PlatformResponse { id, result },
        };
        self.events.schedule(self.now.plus_ms(after_ms), sim_event);
    }

    /// Handles the arrival of a call at the platform.
    pub(crate) fn platform_call_arrives(
        &mut self,
        process: String,
        incarnation: ProcessIncarnation,
        call: PlatformCall,
    ) {
        let delay_ms = self.platform.delay_ms;
        if self.platform.unavailable {
            let result = PlatformResult::Unavailable;
            self.schedule_platform_response(
                &process,
                incarnation,
                call.id,
                result,
                delay_ms,
            );
            return;
        }
        let effect = match call.op {
            PlatformOp::Read { key } => CallEffect::answered(self.platform.read(&key)),
            PlatformOp::List { prefix } => {
                CallEffect::answered(self.platform.list(&prefix, ObjectVersion(0)))
            }
            PlatformOp::Write {
                key,
                precondition,
                value,
            } => self.platform.write(&key, precondition, Some(value)),
            PlatformOp::Delete { key, precondition } => {
                self.platform.write(&key, precondition, None)
            }
            PlatformOp::Watch { prefix, after } => {
                let pending_watch = PendingWatch {
                    process,
                    incarnation,
                    call: call.id,
                    prefix,
                    after,
                };
                self.watch(pending_watch);
                return;
            }
        };
        // The process notices a lost response to a write only by its timeout.
        let after_ms = match effect.result {
            PlatformResult::Unanswered => CALL_TIMEOUT_MS,
            _ => delay_ms,
        };
        self.schedule_platform_response(
            &process,
            incarnation,
            call.id,
            effect.result,
            after_ms,
        );
        if effect.wrote {
            self.answer_changed_watches();
        }
    }

    fn watch(&mut self, pending_watch: PendingWatch) {
        let id = self.platform.next_watch;
        self.platform.next_watch += 1;
        self.platform.watches.insert(id, pending_watch);
        let end = self.now.plus_ms(WATCH_TIMEOUT_MS);
        self.events.schedule(end, SimEvent::WatchTimeout { id });
        self.answer_changed_watches();
    }

    fn answer_changed_watches(&mut self) {
        let platform = &self.platform;
        let watches = platform.watches.iter();
        let changed = watches.filter(|(_, w)| platform.has_changes(&w.prefix, w.after));
        let changed: Vec<u64> = changed.map(|(id, _)| *id).collect();
        for id in changed {
            self.answer_watch(id);
        }
    }

    /// Answers a pending watch with the changes since its version.
    pub(crate) fn answer_watch(&mut self, id: u64) {
        let Some(pending_watch) = self.platform.watches.remove(&id) else {
            return;
        };
        let result = if self.platform.unavailable {
            PlatformResult::Unavailable
        } else if self.platform.watches_miss_changes {
            PlatformResult::Objects(Vec::new(), ObjectVersion(self.platform.version))
        } else {
            self.platform
                .list(&pending_watch.prefix, pending_watch.after)
        };
        let delay_ms = self.platform.delay_ms;
        let PendingWatch {
            process,
            incarnation,
            call,
            ..
        } = pending_watch;
        let current = self.current_process_name(&process, incarnation);
        if self.process_state(&current, incarnation) != ProcessState::Gone {
            self.schedule_platform_response(
                &process,
                incarnation,
                call,
                result,
                delay_ms,
            );
        }
    }

    pub(crate) fn platform_fault(&mut self, fault: PlatformFault) {
        self.log("platform", &format!("{fault:?}"));
        match fault {
            PlatformFault::Away => {
                self.platform.unavailable = true;
                let all: Vec<u64> = self.platform.watches.keys().copied().collect();
                for id in all {
                    self.answer_watch(id);
                }
            }
            PlatformFault::Back => {
                self.platform.unavailable = false;
                self.platform.watches_miss_changes = false;
            }
            PlatformFault::Delay { ms } => self.platform.delay_ms = ms,
            PlatformFault::LoseAnswers { count } => {
                self.platform.write_responses_to_lose = count;
            }
            PlatformFault::OldReads { count } => self.platform.stale_reads = count,
            PlatformFault::MissWatches => self.platform.watches_miss_changes = true,
        }
    }

    /// Publishes a revision as an operator. It is refused if the platform is
    /// unavailable or the revision already exists.
    pub(crate) fn publish(&mut self, revision: u64, patch: &str) {
        let key = conf::revision_key(Revision(revision));
        let taken = !self.platform.precondition_holds(&key, Precondition::Absent);
        if self.platform.unavailable || taken {
            self.log("operator", &format!("revision {revision} is refused"));
            return;
        }
        self.log("operator", &format!("revision {revision} is accepted"));
        self.platform.put(&key, Some(patch.as_bytes().to_vec()));
        self.answer_changed_watches();
    }

    pub(crate) fn list_leaving(&mut self, instance: &str) {
        let value = br#"{"state":"leaving"}"#.to_vec();
        self.platform
            .put(&format!("instances/{instance}"), Some(value));
        self.answer_changed_watches();
    }
}
