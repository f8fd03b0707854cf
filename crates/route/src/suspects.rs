//! Requests suspected of crashing upstreams.

use base::prelude::*;
use schema::link::{CrashWitness, Suspect};
use std::collections::BTreeMap;

use crate::crash_record::{CRASHES_MAX, CrashRecord, same_crash};
use crate::record_digest::{digest, take_pending};
use crate::rendezvous::exclusive_run_owner;

/// Maximum number of fingerprints kept. Beyond it, the record that expires first is
/// replaced, with convictions last.
const RECORDS_MAX: usize = 4_096;

/// Maximum number of fingerprints accepted from one crash report. No agent admits
/// more requests at once, so a longer report is invalid.
const FINGERPRINTS_MAX: usize = 1_024;

/// Time after which another entry's message about its exclusive run is outdated.
const REMOTE_RUN_TIMEOUT_MS: u64 = 5_000;

/// Remaining time below which another entry's verdict on an unknown fingerprint is
/// ignored.
///
/// The receiver counts the remaining time from the arrival of the message. Without
/// this limit two entries could send each other an expiring verdict forever.
const MERGE_REMAINING_MIN_MS: u64 = 2_000;

/// Age up to which a suspect's record is part of every message to other entries, as
/// one or two of the messages may be lost.
const RECENT_MS: u64 = 1_500;

/// Retry delay for a suspect request whose exclusive run can't start now.
pub const EXCLUSIVE_RUN_RETRY_MS: u64 = 1_000;

/// Verdict on a request, from the upstream crashes that it was in flight at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// No crash counts against the request; it may run like any other.
    Clear,
    /// An upstream crashed while the request was in flight; it may only run
    /// exclusively.
    Suspect,
    /// Two upstreams crashed while the request was in flight; it is not run again.
    Convicted {
        /// Time until the verdict expires.
        remaining_ms: u64,
    },
}

/// Exclusive run of a suspect request at another entry.
#[derive(Debug)]
struct RemoteRun {
    fingerprint: u64,
    entry: String,
    learned_at: Instant,
}

/// Requests that were in flight when upstreams crashed, by fingerprint.
///
/// A request that crashes every engine that runs it takes down a whole pool when it
/// is retried or sent again by its caller. After one crash it may therefore only
/// run exclusively: started by the entry that owns its model, and on an upstream
/// that it has not crashed. After a crash of a second upstream it is convicted and
/// refused. `docs/design/retries.md` explains the bound of two crashes.
#[derive(Debug)]
pub struct SuspectRequests {
    verdict_ms: u64,
    records: BTreeMap<u64, CrashRecord>,
    /// Fingerprint in an exclusive run of this entry, by model.
    local_runs: BTreeMap<ModelId, u64>,
    /// Exclusive runs of other entries, by model.
    remote_runs: BTreeMap<String, RemoteRun>,
    /// Live entries, including this one; empty while none are known.
    entries: Vec<EntryId>,
    /// Lower bound for the expiry of all records; `None` without records.
    next_expiry: Option<Instant>,
    /// Latest time that this registry was called with.
    now: Instant,
}

impl SuspectRequests {
    /// Creates an empty registry whose verdicts expire after `verdict_ms`.
    pub fn new(verdict_ms: u64) -> Self {
        Self {
            verdict_ms,
            records: BTreeMap::new(),
            local_runs: BTreeMap::new(),
            remote_runs: BTreeMap::new(),
            entries: Vec::new(),
            next_expiry: None,
            now: Instant::ZERO,
        }
    }

    /// Sets the lifetime of new verdicts.
    pub const fn set_verdict_ms(&mut self, verdict_ms: u64) {
        self.verdict_ms = verdict_ms;
    }

    /// Sets the live entries, including this one. With an empty list this entry
    /// owns every model.
    pub fn set_entries(&mut self, entries: Vec<EntryId>) {
        self.entries = entries;
    }

    /// Records that an upstream crashed with these requests in flight.
    /// `sole_request` tells that there was only one. The same crash may be reported
    /// several times.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprints: &[u64],
        agent: &AgentId,
        upstream_incarnation: u64,
        sole_request: bool,
    ) {
        self.expire(now);
        let crash = CrashWitness {
            agent: agent.as_str().to_owned(),
            upstream_incarnation,
            // A report that names two sole requests is contradictory and accuses
            // neither.
            alone: sole_request && fingerprints.len() == 1,
        };
        for fingerprint in fingerprints.iter().take(FINGERPRINTS_MAX) {
            self.add_crash(now, *fingerprint, &crash);
        }
    }

    /// Returns what is known against a request.
    pub fn verdict(&mut self, now: Instant, fingerprint: u64) -> CrashVerdict {
        self.expire(now);
        let Some(record) = self.records.get(&fingerprint) else {
            return CrashVerdict::Clear;
        };
        if record.convicted {
            let remaining_ms = record.expires_at.ms_since(now);
            return CrashVerdict::Convicted { remaining_ms };
        }
        if record.is_clear() {
            return CrashVerdict::Clear;
        }
        CrashVerdict::Suspect
    }

    /// Agents whose upstreams crashed with the request in flight. Its exclusive run
    /// must go to another agent, since a second crash of the same upstream would
    /// prove nothing.
    pub fn crashed_agents(
        &self,
        fingerprint: u64,
    ) -> impl Iterator<Item = AgentId> + '_ {
        let record = self.records.get(&fingerprint);
        let crashes = record.map_or(&[][..], CrashRecord::counted_crashes);
        crashes.iter().map(|crash| AgentId::new(&crash.agent))
    }

    /// Whether the request was the only one in flight at one of the crashes that
    /// count, which shows that it was the cause.
    pub fn crashed_as_sole_request(&self, fingerprint: u64) -> bool {
        let record = self.records.get(&fingerprint);
        let crashes = record.map_or(&[][..], CrashRecord::counted_crashes);
        crashes.iter().any(|crash| crash.alone)
    }

    /// When this entry last learned of a crash with the request in flight.
    pub fn last_crash_at(&self, fingerprint: u64) -> Option<Instant> {
        self.records
            .get(&fingerprint)
            .map(|record| record.learned_at)
    }

    /// Time until the request's verdict expires if nothing new happens.
    pub fn remaining_ms(&self, now: Instant, fingerprint: u64) -> u64 {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| record.expires_at.ms_since(now))
    }

    /// Reserves the model's exclusive run for a suspect request; `entry` is this
    /// entry. Returns false if another entry owns the model or another suspect of
    /// the model runs. The caller should then retry after
    /// [`EXCLUSIVE_RUN_RETRY_MS`].
    pub fn try_start_exclusive_run(
        &mut self,
        model: &ModelId,
        fingerprint: u64,
        entry: &EntryId,
    ) -> bool {
        let owner = exclusive_run_owner(model, &self.entries);
        if owner.is_some_and(|owner| owner != entry) {
            return false;
        }
        if self.local_runs.contains_key(model) || self.runs_remotely(model, entry) {
            return false;
        }
        self.local_runs.insert(model.clone(), fingerprint);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.model = model.as_str().to_owned();
            record.running_at = entry.as_str().to_owned();
        }
        true
    }

    /// Releases the reservation of [`SuspectRequests::try_start_exclusive_run`].
    pub fn end_exclusive_run(&mut self, model: &ModelId, fingerprint: u64) {
        if self.local_runs.get(model) != Some(&fingerprint) {
            return;
        }
        self.local_runs.remove(model);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.running_at.clear();
        }
    }

    /// Records that a suspect completed its exclusive run. The crashes known so far
    /// no longer count.
    pub fn record_completed_exclusive_run(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && !record.convicted
        {
            record.cleared = record.crashes.len();
        }
    }

    /// Merges the knowledge of another entry; returns whether anything changed.
    pub fn merge(&mut self, now: Instant, from: &Suspect) -> bool {
        self.expire(now);
        self.update_remote_run(now, from);
        if from.remaining_ms == 0 {
            return self.clear_known_crashes(from);
        }
        let known = self.records.contains_key(&from.fingerprint);
        let empty = from.crashes.is_empty() && !from.convicted;
        if !known && (empty || from.remaining_ms < MERGE_REMAINING_MIN_MS) {
            return false;
        }
        self.merge_crashes(now, from)
    }

    /// Returns all records as messages to other entries.
    ///
    /// A record whose crashes no longer count has no time remaining. Receivers that
    /// know the same crashes then stop counting them too.
    pub fn export(&self, now: Instant) -> Vec<Suspect> {
        self.unexpired(now)
            .map(|(fingerprint, record)| to_message(now, *fingerprint, record))
            .collect()
    }

    /// Returns the records for one of many messages: up to `max` recent ones, and
    /// up to `max` of the others in rotation by `round`, so that each is sent
    /// repeatedly.
    ///
    /// Every request in flight at a crash becomes a suspect. When all suspects were
    /// part of every message between entries, those of a few crashes filled the
    /// links, and other parts of the messages were lost.
    pub fn export_batch(&self, now: Instant, round: u64, max: usize) -> Vec<Suspect> {
        let is_recent = |record: &CrashRecord| {
            record.expires_at.ms_since(now) + RECENT_MS > self.verdict_ms
        };
        let recent = self.unexpired(now).filter(|(_, record)| is_recent(record));
        let older = self.unexpired(now).filter(|(_, record)| !is_recent(record));
        let count = older.clone().count().max(1);
        let first = (round % count as u64) as usize * max % count;
        let rotating = older
            .clone()
            .cycle()
            .skip(first)
            .take(max.min(older.count()));
        recent
            .take(max)
            .chain(rotating)
            .map(|(fingerprint, record)| to_message(now, *fingerprint, record))
            .collect()
    }

    /// Returns up to `max` records with a crash that this entry observed and that is
    /// still to be sent, each in the next three messages. What other entries sent is not
    /// passed on: they send it to all, and [`Self::digest`] shows what is missing.
    pub fn export_changes(&mut self, now: Instant, max: usize) -> Vec<Suspect> {
        let records = self.records.iter_mut();
        let unexpired = records.filter(|(_, record)| record.expires_at > now);
        let changed = take_pending(
            now,
            unexpired,
            max,
            |record| &mut record.pending,
            |record| record.convicted,
        );
        changed
            .into_iter()
            .map(|(fingerprint, record)| to_message(now, *fingerprint, record))
            .collect()
    }

    /// Returns a digest of the records that other entries should have as well.
    ///
    /// It leaves out remaining times, and the records that others may not have yet or no
    /// longer accept: those that changed within `settle_ms`, those that expire soon, and
    /// those of requests that are clear.
    pub fn digest(&self, now: Instant, settle_ms: u64) -> u32 {
        let settled = self.records.iter().filter(|(_, record)| {
            record.pending.is_settled(now, record.learned_at, settle_ms)
                && record.expires_at.ms_since(now) >= MERGE_REMAINING_MIN_MS
                && !record.is_clear()
        });
        digest(settled.map(|(fingerprint, record)| record.hash(*fingerprint)))
    }

    fn unexpired(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&u64, &CrashRecord)> + Clone {
        let records = self.records.iter();
        records.filter(move |(_, record)| record.expires_at > now)
    }

    /// Number of known fingerprints.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no fingerprint is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a crash to a request's record and updates the verdict.
    fn add_crash(&mut self, now: Instant, fingerprint: u64, crash: &CrashWitness) {
        self.make_room(fingerprint);
        let expires_at = now.plus_ms(self.verdict_ms);
        let record = self
            .records
            .entry(fingerprint)
            .or_insert_with(|| CrashRecord::new(now, expires_at));
        if record.add(crash) {
            record.update_verdict();
            record.expires_at = expires_at;
            record.learned_at = now;
            record.pending.mark();
        }
        self.note_expiry(expires_at);
    }

    /// Lowers `next_expiry` to the expiry of a new record.
    fn note_expiry(&mut self, at: Instant) {
        self.next_expiry = Some(self.next_expiry.map_or(at, |first| first.min(at)));
    }

    /// Merges another entry's crashes and conviction; returns whether anything
    /// changed.
    fn merge_crashes(&mut self, now: Instant, from: &Suspect) -> bool {
        self.make_room(from.fingerprint);
        let expires_at = now.plus_ms(from.remaining_ms.min(self.verdict_ms));
        let record = self
            .records
            .entry(from.fingerprint)
            .or_insert_with(|| CrashRecord::new(now, expires_at));
        let mut changed = false;
        for crash in from.crashes.iter().take(CRASHES_MAX) {
            changed |= record.add(crash);
        }
        changed |= record.update_verdict();
        if from.convicted && !record.convicted {
            record.convicted = true;
            changed = true;
        }
        // Only new information extends the lifetime. Otherwise two entries that
        // exchange the same verdict would extend it by the delay of each message.
        if changed {
            record.expires_at = record.expires_at.max(expires_at);
            record.learned_at = now;
        }
        self.note_expiry(expires_at);
        changed
    }

    /// Another entry completed an exclusive run of the request: stops counting its
    /// crashes if that entry knew them all.
    fn clear_known_crashes(&mut self, from: &Suspect) -> bool {
        let Some(record) = self.records.get_mut(&from.fingerprint) else {
            return false;
        };
        let all_known = record
            .counted_crashes()
            .iter()
            .all(|counted| from.crashes.iter().any(|crash| same_crash(crash, counted)));
        let clears =
            all_known && !record.convicted && !record.counted_crashes().is_empty();
        if clears {
            record.cleared = record.crashes.len();
        }
        clears
    }

    /// Records whether the sender runs the request exclusively.
    fn update_remote_run(&mut self, now: Instant, from: &Suspect) {
        if from.model.is_empty() {
            return;
        }
        if from.running_at.is_empty() {
            self.remove_remote_run(from);
            return;
        }
        let remote_run = RemoteRun {
            fingerprint: from.fingerprint,
            entry: from.running_at.clone(),
            learned_at: now,
        };
        self.remote_runs.insert(from.model.clone(), remote_run);
    }

    /// Forgets another entry's exclusive run, once a message shows that it has
    /// ended.
    fn remove_remote_run(&mut self, from: &Suspect) {
        let running = self.remote_runs.get(&from.model);
        if running.is_some_and(|running| running.fingerprint == from.fingerprint) {
            self.remote_runs.remove(&from.model);
        }
    }

    /// Whether another entry is known to run a suspect request for the model
    /// exclusively; `entry` is this entry.
    fn runs_remotely(&self, model: &ModelId, entry: &EntryId) -> bool {
        self.remote_runs.get(model.as_str()).is_some_and(|running| {
            running.entry != entry.as_str()
                && self.now.ms_since(running.learned_at) < REMOTE_RUN_TIMEOUT_MS
        })
    }

    /// Removes expired records and outdated messages about exclusive runs.
    fn expire(&mut self, now: Instant) {
        self.now = self.now.max(now);
        if self
            .next_expiry
            .is_some_and(|next_expiry| next_expiry <= now)
        {
            self.records.retain(|_, record| record.expires_at > now);
            let expiries = self.records.values().map(|record| record.expires_at);
            self.next_expiry = expiries.min();
        }
        self.remote_runs.retain(|_, running| {
            now.ms_since(running.learned_at) < REMOTE_RUN_TIMEOUT_MS
        });
    }

    /// Removes a record if there is no room for another fingerprint.
    fn make_room(&mut self, fingerprint: u64) {
        if self.records.len() < RECORDS_MAX || self.records.contains_key(&fingerprint) {
            return;
        }
        let replaced = self
            .records
            .iter()
            .min_by_key(|(key, record)| (record.convicted, record.expires_at, **key))
            .map(|(key, _)| *key);
        if let Some(replaced) = replaced {
            self.records.remove(&replaced);
        }
    }
}

/// Converts a record into a message to other entries.
fn to_message(now: Instant, fingerprint: u64, record: &CrashRecord) -> Suspect {
    let remaining_ms = if record.is_clear() {
        0
    } else {
        record.expires_at.ms_since(now)
    };
    Suspect {
        fingerprint,
        crashes: record.crashes.clone(),
        convicted: record.convicted,
        remaining_ms,
        model: record.model.clone(),
        running_at: record.running_at.clone(),
    }
}
