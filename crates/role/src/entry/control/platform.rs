//! Calls to the platform: configuration, member records and instance states.

use base::prelude::*;
use base::{
    ObjectVersion, PlatformCall, PlatformOp, PlatformResponse, PlatformResult,
    Precondition,
};
use conf::{REVISION_KEY_PREFIX, SNAPSHOT_KEY, revision_key};
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

/// Key prefix of the member records.
const MEMBERS_PREFIX: &str = "live/";

/// Bounds of the backoff before a failed call is repeated.
const BACKOFF_MIN_MS: u64 = 100;
const BACKOFF_MAX_MS: u64 = 5_000;

/// Maximum interval between two polls for the next revision; the minimum is half of
/// it.
///
/// A change missed by a watch is not reported again: the platform considers it
/// delivered. So each entry also polls the next revision's key, which reads one small
/// object, 0.1 to 0.2 times per second.
const CONFIG_POLL_MAX_MS: u64 = 10_000;

/// Polls between two reads of the snapshot and of the list of members. The snapshot
/// serves a process whose next revision has been dropped from the log meanwhile; the
/// list finds addresses that the watch missed.
const POLLS_PER_LIST: u32 = 6;

/// Minimum interval between two watches of a prefix, in case the platform ends them at
/// once: it limits the call rate.
const WATCH_MIN_INTERVAL_MS: u64 = 50;

/// Maximum wait for the deletion of the member record at shutdown.
pub(super) const UNREGISTER_WAIT_MS: u64 = 2_000;

/// Purpose of a platform call.
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

/// State of the calls to the platform.
#[derive(Debug)]
pub(crate) struct PlatformCalls {
    next_id: u64,
    pending: BTreeMap<u64, CallKind>,
    failures: BTreeMap<CallKind, u32>,
    /// The last call failed or got no answer.
    unavailable: bool,
    config_version: ObjectVersion,
    /// Latest generation of the platform in a version that it named, and since when it
    /// is known.
    generation: (u64, Instant),
    /// Number of polls made for the next revision.
    polls: u32,
    /// Revision requested by the poll in flight. The answer does not name it, and by
    /// then another revision may be the next.
    polled_revision: Revision,
}

impl PlatformCalls {
    pub(super) const fn new() -> Self {
        Self {
            next_id: 1,
            pending: BTreeMap::new(),
            failures: BTreeMap::new(),
            unavailable: false,
            config_version: ObjectVersion(0),
            generation: (0, Instant::ZERO),
            polls: 0,
            polled_revision: Revision(0),
        }
    }

    pub(super) const fn is_up(&self) -> bool {
        !self.unavailable
    }

    /// Time for which a generation of the platform has been known; 0 if it is not the
    /// latest known one.
    pub(super) fn known_for_ms(&self, now: Instant, generation: u64) -> u64 {
        let (latest, since) = self.generation;
        if latest == generation {
            now.ms_since(since)
        } else {
            0
        }
    }

    fn note_generation(&mut self, now: Instant, result: &PlatformResult) {
        let version = match result {
            PlatformResult::Object(Some((version, _)))
            | PlatformResult::Objects(_, version)
            | PlatformResult::Written(version) => *version,
            _ => return,
        };
        if version.generation() > self.generation.0 {
            self.generation = (version.generation(), now);
        }
    }

    pub(super) fn is_unregistering(&self) -> bool {
        self.pending
            .values()
            .any(|call| *call == CallKind::Unregister)
    }
}

impl Control {
    /// Makes the first calls of the process.
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

    /// Writes this process's member record.
    pub(super) fn register(&mut self, shared: &Shared, out: &mut Vec<EntryAction>) {
        self.call(CallKind::Register, &shared.options, out);
    }

    /// Deletes this process's member record.
    pub(super) fn unregister(&mut self, shared: &Shared, out: &mut Vec<EntryAction>) {
        self.call(CallKind::Unregister, &shared.options, out);
    }

    /// Makes a call whose timer is due.
    pub(super) fn call_due(
        &mut self,
        call: CallKind,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        self.deferred_watches.remove(&call);
        self.call(call, &shared.options, out);
    }

    /// Makes a call, unless the same one is in flight or another entry keeps the watch
    /// open.
    fn call(
        &mut self,
        call: CallKind,
        options: &EntryOptions,
        out: &mut Vec<EntryAction>,
    ) {
        // At most one call of each kind, except that a new member record is written
        // without waiting for the previous write.
        if call != CallKind::Register
            && self
                .platform
                .pending
                .values()
                .any(|pending| *pending == call)
        {
            return;
        }
        if self.defer_watch(call) {
            return;
        }
        let id = self.platform.next_id;
        self.platform.next_id += 1;
        self.platform.pending.insert(id, call);
        if call == CallKind::ConfigPoll {
            self.platform.polled_revision = Revision(self.config_log.revision().0 + 1);
        }
        let op = self.operation(call, options);
        out.push(EntryAction::CallPlatform(PlatformCall { id, op }));
    }

    /// The platform operation of a call.
    fn operation(&self, call: CallKind, options: &EntryOptions) -> PlatformOp {
        match call {
            CallKind::Snapshot => PlatformOp::Read {
                key: SNAPSHOT_KEY.to_owned(),
            },
            CallKind::ConfigList => list(REVISION_KEY_PREFIX),
            CallKind::MembersList => list(MEMBERS_PREFIX),
            CallKind::InstancesList
            | CallKind::InstancesChangedList
            | CallKind::InstancesWatch => self.instances_operation(call),
            CallKind::ConfigWatch => PlatformOp::Watch {
                prefix: REVISION_KEY_PREFIX.to_owned(),
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
                precondition: Precondition::Any,
                value: self.member_record(options).encode_to_vec(),
            },
            CallKind::Unregister => PlatformOp::Delete {
                key: member_key(options),
                precondition: Precondition::Any,
            },
        }
    }

    fn member_record(&self, options: &EntryOptions) -> Member {
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

    /// Handles the result of a call; one without a pending call is dropped.
    pub(crate) fn platform_call_answered(
        &mut self,
        now: Instant,
        shared: &Shared,
        answer: PlatformResponse,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let Some(call) = self.platform.pending.remove(&answer.id) else {
            return;
        };
        match answer.result {
            PlatformResult::Unavailable | PlatformResult::Unanswered => {
                self.call_failed(now, call, shared, out);
            }
            result => {
                self.mark_platform_up(out);
                self.platform.failures.remove(&call);
                self.platform.note_generation(now, &result);
                self.apply_result(now, call, result, shared, out, effects);
            }
        }
    }

    /// Records that the platform is unavailable, and schedules the call again.
    fn call_failed(
        &mut self,
        now: Instant,
        call: CallKind,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
    ) {
        Counts::increment(&shared.counts.platform_away);
        if !self.platform.unavailable {
            self.platform.unavailable = true;
            let detail = "continues with the state known so far";
            TimelineEvent::new(EventKind::PlatformAway, detail).record(out);
        }
        if call == CallKind::Unregister {
            self.exit(out);
            return;
        }
        let failures = self.platform.failures.entry(call).or_default();
        *failures = failures.saturating_add(1);
        let wait_ms = (BACKOFF_MIN_MS << (*failures).min(6)).min(BACKOFF_MAX_MS);
        // Jitter keeps processes that lost the platform at the same time from
        // retrying at the same time.
        let jitter_ms = u64::from(self.rng.next_u32()) % wait_ms;
        let at = now.plus_ms(wait_ms / 2 + jitter_ms / 2);
        self.timers.schedule(at, Timer::Call(call));
    }

    /// Records that the platform answers, if it was unavailable.
    fn mark_platform_up(&mut self, out: &mut Vec<EntryAction>) {
        if self.platform.unavailable {
            self.platform.unavailable = false;
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
                    // The missing changes were dropped from the log after a snapshot
                    // was written, so the snapshot is read.
                    let at = now.plus_ms(BACKOFF_MIN_MS);
                    self.timers.schedule(at, Timer::Call(CallKind::Snapshot));
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
            // The platform was restored from an older copy, so the objects are listed
            // again.
            (CallKind::ConfigWatch, PlatformResult::HistoryGone) => {
                self.call(CallKind::ConfigList, &shared.options, out);
            }
            (CallKind::MembersWatch, PlatformResult::HistoryGone) => {
                self.call(CallKind::MembersList, &shared.options, out);
            }
            (CallKind::InstancesWatch, PlatformResult::HistoryGone) => {
                self.call(CallKind::InstancesChangedList, &shared.options, out);
            }
            (CallKind::Unregister, _) => self.exit(out),
            _ => {}
        }
    }

    /// Handles the result of a poll. If the next revision exists, it is applied and the
    /// one after it is polled at once.
    fn config_polled(
        &mut self,
        now: Instant,
        object: Option<(ObjectVersion, Vec<u8>)>,
        shared: &Shared,
        out: &mut Vec<EntryAction>,
        effects: &mut Effects,
    ) {
        let before = self.config_log.revision();
        if let Some((version, value)) = object {
            let key = revision_key(self.platform.polled_revision);
            self.apply_config_changes(&[(key, version, value)], shared, out, effects);
        }
        if self.config_log.revision() > before {
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

    /// Schedules the next poll at a random time, so that processes which started
    /// together don't poll together.
    pub(super) fn schedule_config_poll(&mut self, now: Instant) {
        let half_ms = CONFIG_POLL_MAX_MS / 2;
        let jitter_ms = u64::from(self.rng.next_u32()) % half_ms;
        let at = now.plus_ms(half_ms + jitter_ms);
        self.timers.schedule(at, Timer::Call(CallKind::ConfigPoll));
    }

    /// Keeps the version from decreasing: a watch after an older version would report
    /// the same objects again and again.
    fn note_config_version(&mut self, version: ObjectVersion) {
        let newest = &mut self.platform.config_version;
        *newest = (*newest).max(version);
    }

    pub(super) fn schedule_watch(&mut self, now: Instant, call: CallKind) {
        let at = now.plus_ms(WATCH_MIN_INTERVAL_MS);
        self.timers.schedule(at, Timer::Call(call));
    }

    /// Connects to the processes that the member records name.
    fn apply_members(
        &mut self,
        objects: &[(String, ObjectVersion, Vec<u8>)],
        out: &mut Vec<EntryAction>,
    ) {
        for (_, _, value) in objects {
            // A record that can't be decoded affects the address of one process only.
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
