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
use super::super::timeline::TimelineEvent;
use super::super::{EntryAction, EntryOptions};
use super::{Control, Effects, Timer};

/// Start of the keys of all member records.
const MEMBERS_PREFIX: &str = "live/";

/// First and longest wait before a failed call is made again.
const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 5_000;

/// Longest time between two reads of the next revision; the least is half of it.
///
/// A watch that misses a change is never made up for: the platform believes it
/// told, and nothing else would ever look. So each entry reads the next
/// revision's key, a call of one small object, at 0.1 to 0.2 calls a second.
const CONFIG_POLL_MAX_MS: u64 = 10_000;

/// Looks between two reads of the snapshot, from which a process catches up
/// whose next revision was dropped from the log in the meantime, and of the list
/// of members, whose watch may miss an address as well.
const POLLS_PER_LIST: u32 = 6;

/// Least time between two waits on a prefix, in case the platform ends them at
/// once: it has a bound on calls a second.
const WATCH_MIN_INTERVAL_MS: u64 = 50;

/// Longest wait for the member record's deletion at the end.
pub(super) const UNREGISTER_WAIT_MS: u64 = 2_000;

/// What a call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallKind {
    Snapshot,
    ConfigList,
    ConfigWatch,
    ConfigPoll,
    MembersList,
    MembersWatch,
    InstancesList,
    InstancesChangedList,
    InstancesWatch,
    Register,
    Unregister,
}

/// Calls that wait for an answer.
#[derive(Debug)]
pub(crate) struct PlatformCalls {
    next: u64,
    pending: BTreeMap<u64, CallKind>,
    failures: BTreeMap<CallKind, u32>,
    away: bool,
    config_version: Version,
    polls: u32,
    /// Revision that the look in flight is for. The answer does not name it, and
    /// by then another one may be the next.
    polled_revision: Revision,
}

impl PlatformCalls {
    pub(super) const fn new() -> Self {
        Self {
            next: 1,
            pending: BTreeMap::new(),
            failures: BTreeMap::new(),
            away: false,
            config_version: Version(0),
            polls: 0,
            polled_revision: Revision(0),
        }
    }

    pub(super) const fn up(&self) -> bool {
        !self.away
    }

    pub(super) fn unregistering(&self) -> bool {
        self.pending
            .values()
            .any(|call| *call == CallKind::Unregister)
    }
}

impl Control {
    /// The first calls of a process.
    pub(super) fn start_platform_calls(
        &mut self,
        options: &EntryOptions,
        out: &mut Vec<EntryAction>,
    ) {
        for call in [
            CallKind::Snapshot,
            CallKind::MembersList,
            CallKind::InstancesList,
        ] {
            self.call(call, options, out);
        }
        self.call(CallKind::Register, options, out);
    }

    /// Writes the process's member record.
    pub(super) fn register(&mut self, shared: &Shared, out: &mut Vec<EntryAction>) {
        self.call(CallKind::Register, &shared.options, out);
    }

    /// Deletes the process's member record.
    pub(super) fn unregister(&mut self, shared: &Shared, out: &mut Vec<EntryAction>) {
        self.call(CallKind::Unregister, &shared.options, out);
    }

    pub(super) fn call_due(
        &mut self,
        call: CallKind,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        self.deferred_watches.remove(&call);
        self.call(call, &shared.options, out);
    }

    fn call(
        &mut self,
        call: CallKind,
        options: &EntryOptions,
        out: &mut Vec<EntryAction>,
    ) {
        // One call of each kind at a time; only the newest record counts.
        if call != CallKind::Register
            && self.platform.pending.values().any(|c| *c == call)
        {
            return;
        }
        if self.defer_watch(call) {
            return;
        }
        let id = self.platform.next;
        self.platform.next += 1;
        self.platform.pending.insert(id, call);
        if call == CallKind::ConfigPoll {
            self.platform.polled_revision = Revision(self.log.revision().0 + 1);
        }
        let op = self.operation(call, options);
        out.push(EntryAction::CallPlatform(PlatformCall { id, op }));
    }

    fn operation(&self, call: CallKind, options: &EntryOptions) -> PlatformOp {
        match call {
            CallKind::Snapshot => PlatformOp::Read {
                key: SNAPSHOT_KEY.to_owned(),
            },
            CallKind::ConfigList => list(REVISION_PREFIX),
            CallKind::MembersList => list(MEMBERS_PREFIX),
            CallKind::InstancesList
            | CallKind::InstancesChangedList
            | CallKind::InstancesWatch => self.instances_operation(call),
            CallKind::ConfigWatch => PlatformOp::Watch {
                prefix: REVISION_PREFIX.to_owned(),
                after: self.platform.config_version,
            },
            CallKind::ConfigPoll => PlatformOp::Read {
                key: revision_key(self.platform.polled_revision),
            },
            CallKind::MembersWatch => PlatformOp::Watch {
                prefix: MEMBERS_PREFIX.to_owned(),
                after: self.members_version,
            },
            CallKind::Register => PlatformOp::Write {
                key: member_key(options),
                expect: Expect::Any,
                value: self.member(options).encode_to_vec(),
            },
            CallKind::Unregister => PlatformOp::Delete {
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
                self.call_failed(now, call, shared, out);
            }
            result => {
                self.platform_answered(out);
                self.platform.failures.remove(&call);
                self.apply_result(now, call, result, shared, out, effects);
            }
        }
    }

    fn call_failed(
        &mut self,
        now: Instant,
        call: CallKind,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        Counts::add(&shared.counts.platform_away);
        if !self.platform.away {
            self.platform.away = true;
            let detail = "goes on with what it knows";
            TimelineEvent::new(EventKind::PlatformAway, detail).record(out);
        }
        if call == CallKind::Unregister {
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

    fn platform_answered(&mut self, out: &mut Vec<EntryAction>) {
        if self.platform.away {
            self.platform.away = false;
            TimelineEvent::new(EventKind::PlatformBack, "answers again").record(out);
        }
    }

    fn apply_result(
        &mut self,
        now: Instant,
        call: CallKind,
        result: PlatformResult,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        match (call, result) {
            (CallKind::Snapshot, PlatformResult::Object(object)) => {
                if let Some((_, value)) = object {
                    self.apply_snapshot(&value, shared, out, effects);
                }
                self.call(CallKind::ConfigList, &shared.options, out);
            }
            (CallKind::ConfigPoll, PlatformResult::Object(object)) => {
                self.config_polled(now, object, shared, out, effects);
            }
            (
                CallKind::ConfigList | CallKind::ConfigWatch,
                PlatformResult::Objects(objects, version),
            ) => {
                self.note_config_version(version);
                let gap = self.apply_config_changes(&objects, shared, out, effects);
                if gap {
                    // Old changes were dropped from the log after a snapshot.
                    let at = now.plus_ms(BACKOFF_MIN_MS);
                    self.timers.set(at, Timer::Call(CallKind::Snapshot));
                } else {
                    self.schedule_watch(now, CallKind::ConfigWatch);
                }
            }
            (
                CallKind::MembersList | CallKind::MembersWatch,
                PlatformResult::Objects(objects, version),
            ) => {
                self.members_version = self.members_version.max(version);
                self.apply_members(&objects, out);
                self.schedule_watch(now, CallKind::MembersWatch);
            }
            (
                CallKind::InstancesList | CallKind::InstancesChangedList,
                PlatformResult::Objects(objects, version),
            ) => {
                self.instances_listed(now, &objects, version, out, effects);
                if call == CallKind::InstancesList {
                    self.schedule_instances_list(now);
                }
            }
            (CallKind::InstancesWatch, PlatformResult::Objects(objects, version)) => {
                self.instances_watch_ended(now, &objects, version);
            }
            (CallKind::Unregister, _) => self.exit(out),
            _ => {}
        }
    }

    /// The next revision was there, or not yet. One that was there is put in
    /// force, and the one after it is config_polled for at once.
    fn config_polled(
        &mut self,
        now: Instant,
        object: Option<(Version, Vec<u8>)>,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let before = self.log.revision();
        if let Some((version, value)) = object {
            let key = revision_key(self.platform.polled_revision);
            self.apply_config_changes(&[(key, version, value)], shared, out, effects);
        }
        if self.log.revision() > before {
            self.call(CallKind::ConfigPoll, &shared.options, out);
            return;
        }
        self.platform.polls += 1;
        if self.platform.polls.is_multiple_of(POLLS_PER_LIST) {
            self.call(CallKind::Snapshot, &shared.options, out);
            self.call(CallKind::MembersList, &shared.options, out);
        }
        self.schedule_config_poll(now);
    }

    /// Sets the next look, at a time drawn anew so that processes which started
    /// together don't look together.
    pub(super) fn schedule_config_poll(&mut self, now: Instant) {
        let half_ms = CONFIG_POLL_MAX_MS / 2;
        let jitter_ms = u64::from(self.rng.next_u32()) % half_ms;
        let at = now.plus_ms(half_ms + jitter_ms);
        self.timers.set(at, Timer::Call(CallKind::ConfigPoll));
    }

    /// Versions never step back either: a watch behind an old one would give
    /// the same objects again and again.
    fn note_config_version(&mut self, version: Version) {
        let held = &mut self.platform.config_version;
        *held = (*held).max(version);
    }

    pub(super) fn schedule_watch(&mut self, now: Instant, call: CallKind) {
        let at = now.plus_ms(WATCH_MIN_INTERVAL_MS);
        self.timers.set(at, Timer::Call(call));
    }

    fn apply_members(
        &mut self,
        objects: &[(String, Version, Vec<u8>)],
        out: &mut Vec<EntryAction>,
    ) {
        for (_, _, value) in objects {
            // A record that can't be read only hides one process's address.
            if let Ok(member) = Member::decode(value.as_slice()) {
                self.apply_member(&member, out);
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
    format!("{MEMBERS_PREFIX}entry/{}", options.id)
}
