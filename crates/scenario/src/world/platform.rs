//! A fake of the platform's object API.

use base::prelude::*;
use base::{
    ObjectVersion, PlatformCall, PlatformOp, PlatformResponse, PlatformResult,
    Precondition,
};
use schema::settings::Fleet;
use std::collections::BTreeMap;

use super::World;
use super::process::Running;
use super::queue::{Happening, Start};
use crate::script::PlatformFault;

/// One way to the platform, unless a script says otherwise.
const DELAY_MS: u64 = 2;

/// Time after which a caller that is cut off gives up.
const CUT_TIMEOUT_MS: u64 = 1_000;

/// Longest wait of a watch.
const WATCH_MS: u64 = 10_000;

/// A fake of the platform's object API.
#[derive(Debug)]
pub(crate) struct FakePlatform {
    objects: BTreeMap<String, Object>,
    version: u64,
    delay_ms: u64,
    away: bool,
    lose_answers: u32,
    old_reads: u32,
    miss_watches: bool,
    watches: BTreeMap<u64, Waiting>,
    next_watch: u64,
}

#[derive(Debug)]
struct Object {
    version: ObjectVersion,
    value: Option<Vec<u8>>,
    before: Option<(ObjectVersion, Vec<u8>)>,
}

#[derive(Debug)]
struct Waiting {
    process: String,
    start: Start,
    call: u64,
    prefix: String,
    after: ObjectVersion,
}

impl FakePlatform {
    pub(crate) fn new(fleet: &Fleet) -> Self {
        let mut platform = Self {
            objects: BTreeMap::new(),
            version: 0,
            delay_ms: DELAY_MS,
            away: false,
            lose_answers: 0,
            old_reads: 0,
            miss_watches: false,
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
        let before = self.objects.remove(key);
        let before = before.and_then(|old| Some((old.version, old.value?)));
        let object = Object {
            version,
            value,
            before,
        };
        self.objects.insert(key.to_owned(), object);
        version
    }

    fn holds(&self, key: &str, precondition: Precondition) -> bool {
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
        if self.old_reads > 0 && object.before.is_some() {
            self.old_reads -= 1;
            return PlatformResult::Object(object.before.clone());
        }
        let value = object.value.clone();
        PlatformResult::Object(value.map(|value| (object.version, value)))
    }

    fn list(&mut self, prefix: &str, after: ObjectVersion) -> PlatformResult {
        let objects = self.objects.iter();
        let within = objects
            .filter(|(key, object)| key.starts_with(prefix) && object.version > after);
        let watching = after > ObjectVersion(0);
        let found = within.filter_map(|(key, object)| match &object.value {
            Some(value) => Some((key.clone(), object.version, value.clone())),
            // A watch tells of a deletion by an empty value.
            None if watching => Some((key.clone(), object.version, Vec::new())),
            None => None,
        });
        let mut found: Vec<_> = found.collect();
        if self.old_reads > 0 && found.len() > 1 {
            self.old_reads -= 1;
            found.pop();
        }
        PlatformResult::Objects(found, ObjectVersion(self.version))
    }

    fn news(&self, prefix: &str, after: ObjectVersion) -> bool {
        let mut objects = self.objects.iter();
        !self.miss_watches
            && objects
                .any(|(key, object)| key.starts_with(prefix) && object.version > after)
    }

    fn write(
        &mut self,
        key: &str,
        precondition: Precondition,
        value: Option<Vec<u8>>,
    ) -> Effect {
        if !self.holds(key, precondition) {
            return Effect::answered(PlatformResult::Conflict);
        }
        let version = self.put(key, value);
        let result = if self.lose_answers > 0 {
            self.lose_answers -= 1;
            PlatformResult::Unanswered
        } else {
            PlatformResult::Written(version)
        };
        Effect {
            result,
            wrote: true,
        }
    }
}

/// What a call did.
struct Effect {
    result: PlatformResult,
    wrote: bool,
}

impl Effect {
    const fn answered(result: PlatformResult) -> Self {
        Self {
            result,
            wrote: false,
        }
    }
}

impl World<'_> {
    /// A process calls the platform.
    pub(crate) fn call_platform(&mut self, process: &str, call: PlatformCall) {
        let Some(start) = self.start_of(process) else {
            return;
        };
        if self.links.is_cut(process, "platform") {
            let result = if Self::is_write(&call.op) {
                PlatformResult::Unanswered
            } else {
                PlatformResult::Unavailable
            };
            self.answer_platform(process, start, call.id, result, CUT_TIMEOUT_MS);
            return;
        }
        let at = self.now.plus_ms(self.platform.delay_ms);
        let happening = Happening::PlatformCall {
            process: process.to_owned(),
            start,
            call,
        };
        self.queue.add(at, happening);
    }

    fn start_of(&self, process: &str) -> Option<Start> {
        let entry = self.entries.get(process).map(|node| node.start);
        entry.or_else(|| self.agents.get(process).map(|node| node.start))
    }

    fn answer_platform(
        &mut self,
        process: &str,
        start: Start,
        id: u64,
        result: PlatformResult,
        after_ms: u64,
    ) {
        let happening = Happening::PlatformResponse {
            process: process.to_owned(),
            start,
            answer: PlatformResponse { id, result },
        };
        self.queue.add(self.now.plus_ms(after_ms), happening);
    }

    /// A call reaches the platform.
    pub(crate) fn platform_call(
        &mut self,
        process: String,
        start: Start,
        call: PlatformCall,
    ) {
        let delay_ms = self.platform.delay_ms;
        if self.platform.away {
            let result = PlatformResult::Unavailable;
            self.answer_platform(&process, start, call.id, result, delay_ms);
            return;
        }
        let effect = match call.op {
            PlatformOp::Read { key } => Effect::answered(self.platform.read(&key)),
            PlatformOp::List { prefix } => {
                Effect::answered(self.platform.list(&prefix, ObjectVersion(0)))
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
                let waiting = Waiting {
                    process,
                    start,
                    call: call.id,
                    prefix,
                    after,
                };
                self.watch(waiting);
                return;
            }
        };
        // A write whose answer is lost shows as no answer after a time-out.
        let after_ms = match effect.result {
            PlatformResult::Unanswered => CUT_TIMEOUT_MS,
            _ => delay_ms,
        };
        self.answer_platform(&process, start, call.id, effect.result, after_ms);
        if effect.wrote {
            self.wake_watches();
        }
    }

    fn watch(&mut self, waiting: Waiting) {
        let id = self.platform.next_watch;
        self.platform.next_watch += 1;
        self.platform.watches.insert(id, waiting);
        let end = self.now.plus_ms(WATCH_MS);
        self.queue.add(end, Happening::WatchEnd { id });
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        let platform = &self.platform;
        let watches = platform.watches.iter();
        let woken = watches.filter(|(_, w)| platform.news(&w.prefix, w.after));
        let woken: Vec<u64> = woken.map(|(id, _)| *id).collect();
        for id in woken {
            self.watch_end(id);
        }
    }

    /// Answers a waiting watch with what is new.
    pub(crate) fn watch_end(&mut self, id: u64) {
        let Some(waiting) = self.platform.watches.remove(&id) else {
            return;
        };
        let result = if self.platform.away {
            PlatformResult::Unavailable
        } else if self.platform.miss_watches {
            PlatformResult::Objects(Vec::new(), ObjectVersion(self.platform.version))
        } else {
            self.platform.list(&waiting.prefix, waiting.after)
        };
        let delay_ms = self.platform.delay_ms;
        let Waiting {
            process,
            start,
            call,
            ..
        } = waiting;
        let current = self.current_name(&process, start);
        if self.runs(&current, start) != Running::Gone {
            self.answer_platform(&process, start, call, result, delay_ms);
        }
    }

    pub(crate) fn platform_fault(&mut self, fault: PlatformFault) {
        self.log("platform", &format!("{fault:?}"));
        match fault {
            PlatformFault::Away => {
                self.platform.away = true;
                let all: Vec<u64> = self.platform.watches.keys().copied().collect();
                for id in all {
                    self.watch_end(id);
                }
            }
            PlatformFault::Back => {
                self.platform.away = false;
                self.platform.miss_watches = false;
            }
            PlatformFault::Delay { ms } => self.platform.delay_ms = ms,
            PlatformFault::LoseAnswers { count } => self.platform.lose_answers = count,
            PlatformFault::OldReads { count } => self.platform.old_reads = count,
            PlatformFault::MissWatches => self.platform.miss_watches = true,
        }
    }

    /// An operator creates a revision, if nobody was first.
    pub(crate) fn publish(&mut self, revision: u64, patch: &str) {
        let key = conf::revision_key(Revision(revision));
        let taken = !self.platform.holds(&key, Precondition::Absent);
        if self.platform.away || taken {
            self.log("operator", &format!("revision {revision} is refused"));
            return;
        }
        self.log("operator", &format!("revision {revision} is accepted"));
        self.platform.put(&key, Some(patch.as_bytes().to_vec()));
        self.wake_watches();
    }

    pub(crate) fn list_leaving(&mut self, instance: &str) {
        let value = br#"{"state":"leaving"}"#.to_vec();
        self.platform
            .put(&format!("instances/{instance}"), Some(value));
        self.wake_watches();
    }
}
