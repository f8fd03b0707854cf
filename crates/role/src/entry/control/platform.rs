//! Calls to the platform: configuration, members and leaving instances.

use base::prelude::*;
use base::{Expect, PlatformAnswer, PlatformCall, PlatformOp, PlatformResult, Version};
use conf::{REVISION_PREFIX, SNAPSHOT_KEY, revision_key};
use prost::Message;
use rand_core::Rng;
use schema::store::Member;
use schema::timeline::EventKind;
use std::collections::BTreeMap;

use super::super::counters::Counts;
use super::super::shared::Shared;
use super::super::trace::Note;
use super::super::{EntryAction, EntryOptions};
use super::{Control, Effects, Timer};

/// Start of the keys of all member records.
const LIVE_PREFIX: &str = "live/";

/// First and longest wait before a failed call is made again.
const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 5_000;

/// Longest time between two reads of the next revision; the least is half of it.
///
/// A watch that misses a change is never made up for: the platform believes it
/// told, and nothing else would ever look. So each entry reads the next
/// revision's key, a call of one small object, at 0.1 to 0.2 calls a second.
const LOOK_EVERY_MS: u64 = 10_000;

/// Looks between two reads of the snapshot, from which a process catches up
/// whose next revision was dropped from the log in the meantime, and of the list
/// of members, whose watch may miss an address as well.
const LOOKS_PER_LIST: u32 = 6;

/// Least time between two waits on a prefix, in case the platform ends them at
/// once: it has a bound on calls a second.
const WATCH_PAUSE_MS: u64 = 50;

/// Longest wait for the member record's deletion at the end.
pub(super) const UNREGISTER_WAIT_MS: u64 = 2_000;

/// What a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Call {
    Snapshot,
    ConfigList,
    ConfigWatch,
    ConfigLook,
    LiveList,
    LiveWatch,
    Instances,
    InstancesNews,
    InstancesWatch,
    Register,
    Unregister,
}

/// Calls that wait for an answer.
#[derive(Debug)]
pub(crate) struct Platform {
    next: u64,
    pending: BTreeMap<u64, Call>,
    failures: BTreeMap<Call, u32>,
    away: bool,
    config_version: Version,
    looks: u32,
    /// Revision that the look in flight is for. The answer does not name it, and
    /// by then another one may be the next.
    look_for: Revision,
}

impl Platform {
    pub(super) const fn new() -> Self {
        Self {
            next: 1,
            pending: BTreeMap::new(),
            failures: BTreeMap::new(),
            away: false,
            config_version: Version(0),
            looks: 0,
            look_for: Revision(0),
        }
    }

    pub(super) const fn up(&self) -> bool {
        !self.away
    }

    pub(super) fn unregistering(&self) -> bool {
        self.pending.values().any(|call| *call == Call::Unregister)
    }
}

impl Control {
    /// The first calls of a process.
    pub(super) fn start_platform(
        &mut self,
        options: &EntryOptions,
        out: &mut Vec<EntryAction>,
    ) {
        for call in [Call::Snapshot, Call::LiveList, Call::Instances] {
            self.call(call, options, out);
        }
        self.call(Call::Register, options, out);
    }

    /// Writes the process's member record.
    pub(super) fn register(&mut self, shared: &Shared, out: &mut Vec<EntryAction>) {
        self.call(Call::Register, &shared.options, out);
    }

    /// Deletes the process's member record.
    pub(super) fn unregister(&mut self, shared: &Shared, out: &mut Vec<EntryAction>) {
        self.call(Call::Unregister, &shared.options, out);
    }

    pub(super) fn call_due(
        &mut self,
        call: Call,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        self.put_off.remove(&call);
        self.call(call, &shared.options, out);
    }

    fn call(&mut self, call: Call, options: &EntryOptions, out: &mut Vec<EntryAction>) {
        // One call of each kind at a time; only the newest record counts.
        if call != Call::Register && self.platform.pending.values().any(|c| *c == call)
        {
            return;
        }
        if self.leaves_watch(call) {
            return;
        }
        let id = self.platform.next;
        self.platform.next += 1;
        self.platform.pending.insert(id, call);
        if call == Call::ConfigLook {
            self.platform.look_for = Revision(self.log.revision().0 + 1);
        }
        let op = self.operation(call, options);
        out.push(EntryAction::CallPlatform(PlatformCall { id, op }));
    }

    fn operation(&self, call: Call, options: &EntryOptions) -> PlatformOp {
        match call {
            Call::Snapshot => PlatformOp::Read {
                key: SNAPSHOT_KEY.to_owned(),
            },
            Call::ConfigList => list(REVISION_PREFIX),
            Call::LiveList => list(LIVE_PREFIX),
            Call::Instances | Call::InstancesNews | Call::InstancesWatch => {
                self.instances_operation(call)
            }
            Call::ConfigWatch => PlatformOp::Watch {
                prefix: REVISION_PREFIX.to_owned(),
                after: self.platform.config_version,
            },
            Call::ConfigLook => PlatformOp::Read {
                key: revision_key(self.platform.look_for),
            },
            Call::LiveWatch => PlatformOp::Watch {
                prefix: LIVE_PREFIX.to_owned(),
                after: self.live_version,
            },
            Call::Register => PlatformOp::Write {
                key: member_key(options),
                expect: Expect::Any,
                value: self.member(options).encode_to_vec(),
            },
            Call::Unregister => PlatformOp::Delete {
                key: member_key(options),
                expect: Expect::Any,
            },
        }
    }

    fn member(&self, options: &EntryOptions) -> Member {
        Member {
            kind: "entry".to_owned(),
            id: options.id.to_string(),
            incarnation: options.incarnation.0,
            failure_domain: options.failure_domain.to_string(),
            pool: String::new(),
            link_address: options.link_address.clone(),
            operator_address: options.operator_address.clone(),
            leaving: self.leaving,
        }
    }

    /// Takes the platform's answer; one that no call waits for is dropped.
    pub(crate) fn answered(
        &mut self,
        now: Instant,
        shared: &Shared,
        answer: PlatformAnswer,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let Some(call) = self.platform.pending.remove(&answer.id) else {
            return;
        };
        match answer.result {
            PlatformResult::Away | PlatformResult::Unanswered => {
                self.failed(now, call, shared, out);
            }
            result => {
                self.back(out);
                self.platform.failures.remove(&call);
                self.take(now, call, result, shared, out, effects);
            }
        }
    }

    fn failed(
        &mut self,
        now: Instant,
        call: Call,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        Counts::add(&shared.counts.platform_away);
        if !self.platform.away {
            self.platform.away = true;
            let detail = "goes on with what it knows";
            Note::new(EventKind::PlatformAway, detail).put(out);
        }
        if call == Call::Unregister {
            self.exit(out);
            return;
        }
        let failures = self.platform.failures.entry(call).or_default();
        *failures = failures.saturating_add(1);
        let wait_ms = (BACKOFF_MIN_MS << (*failures).min(6)).min(BACKOFF_MAX_MS);
        // Jitter keeps processes that lost the platform at the same moment from
        // coming back to it at the same moment.
        let jitter_ms = u64::from(self.rng.next_u32()) % wait_ms;
        let at = now.plus_ms(wait_ms / 2 + jitter_ms / 2);
        self.timers.set(at, Timer::Call(call));
    }

    fn back(&mut self, out: &mut Vec<EntryAction>) {
        if self.platform.away {
            self.platform.away = false;
            Note::new(EventKind::PlatformBack, "answers again").put(out);
        }
    }

    fn take(
        &mut self,
        now: Instant,
        call: Call,
        result: PlatformResult,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        match (call, result) {
            (Call::Snapshot, PlatformResult::Object(object)) => {
                if let Some((_, value)) = object {
                    self.take_snapshot(&value, shared, out, effects);
                }
                self.call(Call::ConfigList, &shared.options, out);
            }
            (Call::ConfigLook, PlatformResult::Object(object)) => {
                self.looked(now, object, shared, out, effects);
            }
            (
                Call::ConfigList | Call::ConfigWatch,
                PlatformResult::Objects(objects, version),
            ) => {
                self.note_config_version(version);
                let gap = self.take_changes(&objects, shared, out, effects);
                if gap {
                    // Old changes were dropped from the log after a snapshot.
                    let at = now.plus_ms(BACKOFF_MIN_MS);
                    self.timers.set(at, Timer::Call(Call::Snapshot));
                } else {
                    self.again(now, Call::ConfigWatch);
                }
            }
            (
                Call::LiveList | Call::LiveWatch,
                PlatformResult::Objects(objects, version),
            ) => {
                self.live_version = self.live_version.max(version);
                self.take_members(&objects, out);
                self.again(now, Call::LiveWatch);
            }
            (
                Call::Instances | Call::InstancesNews,
                PlatformResult::Objects(objects, version),
            ) => {
                self.listed_instances(now, &objects, version, out, effects);
                if call == Call::Instances {
                    self.list_instances_later(now);
                }
            }
            (Call::InstancesWatch, PlatformResult::Objects(objects, version)) => {
                self.watched_instances(now, &objects, version);
            }
            (Call::Unregister, _) => self.exit(out),
            _ => {}
        }
    }

    /// The next revision was there, or not yet. One that was there is put in
    /// force, and the one after it is looked for at once.
    fn looked(
        &mut self,
        now: Instant,
        object: Option<(Version, Vec<u8>)>,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let before = self.log.revision();
        if let Some((version, value)) = object {
            let key = revision_key(self.platform.look_for);
            self.take_changes(&[(key, version, value)], shared, out, effects);
        }
        if self.log.revision() > before {
            self.call(Call::ConfigLook, &shared.options, out);
            return;
        }
        self.platform.looks += 1;
        if self.platform.looks.is_multiple_of(LOOKS_PER_LIST) {
            self.call(Call::Snapshot, &shared.options, out);
            self.call(Call::LiveList, &shared.options, out);
        }
        self.look_later(now);
    }

    /// Sets the next look, at a time drawn anew so that processes which started
    /// together don't look together.
    pub(super) fn look_later(&mut self, now: Instant) {
        let half_ms = LOOK_EVERY_MS / 2;
        let jitter_ms = u64::from(self.rng.next_u32()) % half_ms;
        let at = now.plus_ms(half_ms + jitter_ms);
        self.timers.set(at, Timer::Call(Call::ConfigLook));
    }

    /// Versions never step back either: a watch behind an old one would give
    /// the same objects again and again.
    fn note_config_version(&mut self, version: Version) {
        let held = &mut self.platform.config_version;
        *held = (*held).max(version);
    }

    pub(super) fn again(&mut self, now: Instant, call: Call) {
        let at = now.plus_ms(WATCH_PAUSE_MS);
        self.timers.set(at, Timer::Call(call));
    }

    fn take_members(
        &mut self,
        objects: &[(String, Version, Vec<u8>)],
        out: &mut Vec<EntryAction>,
    ) {
        for (_, _, value) in objects {
            // A record that can't be read only hides one process's address.
            if let Ok(member) = Member::decode(value.as_slice()) {
                self.take_member(&member, out);
            }
        }
    }
}

pub(super) fn list(prefix: &str) -> PlatformOp {
    PlatformOp::List {
        prefix: prefix.to_owned(),
    }
}

fn member_key(options: &EntryOptions) -> String {
    format!("{LIVE_PREFIX}entry/{}", options.id)
}
