//! Verdicts on requests that crash upstreams.

use base::prelude::*;
use schema::link::{CrashWitness, Suspect};
use std::collections::BTreeMap;

use crate::record::{CRASHES_MAX, Record, same_crash};
use crate::rendezvous::exclusive_run_owner;

/// Fingerprints kept at most; the verdict that ends first makes room.
const RECORDS_MAX: usize = 4_096;

/// Fingerprints taken from one crash report.
///
/// More than any gate lets run at once; a longer list is a broken report.
const FINGERPRINTS_MAX: usize = 1_024;

/// Time for which another entry's word that it runs a suspect is believed.
const RUNNING_ELSEWHERE_MS: u64 = 5_000;

/// Remaining time below which another entry's verdict is not taken over.
///
/// Each takes the rest it was told as counted from the arrival, so two entries
/// could hand an ending verdict to and fro for ever.
const MERGE_MIN_MS: u64 = 2_000;

/// Age up to which a suspect is told with each message: those that hear it may
/// have lost one or two.
const NEW_MS: u64 = 1_500;

/// When to come back with a suspect that can't be run alone now.
pub const EXCLUSIVE_RUN_RETRY_MS: u64 = 1_000;

/// What is held against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Nothing.
    Clear,
    /// It was in flight at a crash: it may run only alone.
    Suspect,
    /// It was in flight when two upstreams crashed: it is not run again.
    Convicted {
        /// Time until the verdict ends.
        remaining_ms: u64,
    },
}

/// A suspect that another entry says it runs alone.
#[derive(Debug)]
struct Elsewhere {
    fingerprint: u64,
    entry: String,
    heard_at: Instant,
}

/// Requests that were in flight when upstreams crashed, by fingerprint.
///
/// A request that crashes each engine that runs it, retried and sent again by
/// its caller, takes down a whole pool. After one crash it runs only alone, at
/// the one entry that owns its model, on an upstream it has not crashed; a crash
/// of a second upstream convicts it. `docs/design/retries.md` tells what the bound of two
/// crashes rests on.
#[derive(Debug)]
pub struct SuspectRequests {
    verdict_ms: u64,
    records: BTreeMap<u64, Record>,
    /// Suspect in flight alone at this entry, by model.
    running: BTreeMap<ModelId, u64>,
    /// Suspects in flight alone elsewhere, by model.
    elsewhere: BTreeMap<String, Elsewhere>,
    /// Live entries, this one included; empty while none are known.
    entries: Vec<EntryId>,
    /// No record ends before this; `None` while there is none.
    first_end: Option<Instant>,
    now: Instant,
}

impl SuspectRequests {
    /// No suspects; a verdict ends after `verdict_ms`.
    pub fn new(verdict_ms: u64) -> Self {
        Self {
            verdict_ms,
            records: BTreeMap::new(),
            running: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
            entries: Vec::new(),
            first_end: None,
            now: Instant::ZERO,
        }
    }

    /// Sets how long verdicts made from now on last.
    pub const fn set_verdict_ms(&mut self, verdict_ms: u64) {
        self.verdict_ms = verdict_ms;
    }

    /// Says which entries are live, this one included. Without them this entry
    /// owns every model.
    pub fn set_entries(&mut self, entries: Vec<EntryId>) {
        self.entries = entries;
    }

    /// An upstream crashed with these requests in flight; `alone` when there was
    /// only one. Reports of one crash may come several times.
    pub fn record_crash(
        &mut self,
        now: Instant,
        fingerprints: &[u64],
        agent: &AgentId,
        upstream_incarnation: u64,
        alone: bool,
    ) {
        self.expire(now);
        let crash = CrashWitness {
            agent: agent.as_str().to_owned(),
            upstream_incarnation,
            // A report that calls two requests alone must convict neither.
            alone: alone && fingerprints.len() == 1,
        };
        for fingerprint in fingerprints.iter().take(FINGERPRINTS_MAX) {
            self.add_crash(now, *fingerprint, &crash);
        }
    }

    /// What is held against a request.
    pub fn verdict(&mut self, now: Instant, fingerprint: u64) -> CrashVerdict {
        self.expire(now);
        let Some(record) = self.records.get(&fingerprint) else {
            return CrashVerdict::Clear;
        };
        if record.convicted {
            let remaining_ms = record.ends_at.ms_since(now);
            return CrashVerdict::Convicted { remaining_ms };
        }
        if record.is_free() {
            return CrashVerdict::Clear;
        }
        CrashVerdict::Suspect
    }

    /// Agents whose upstreams crashed with the request in flight; the run alone
    /// must go to another, or its crash would show nothing.
    pub fn crashed_agents(
        &self,
        fingerprint: u64,
    ) -> impl Iterator<Item = AgentId> + '_ {
        let record = self.records.get(&fingerprint);
        let crashes = record.map_or(&[][..], Record::open_crashes);
        crashes.iter().map(|crash| AgentId::new(&crash.agent))
    }

    /// Whether one of the crashes held against the request happened while it
    /// was the only one in flight, which shows that it was the cause.
    pub fn crashed_as_sole_request(&self, fingerprint: u64) -> bool {
        let record = self.records.get(&fingerprint);
        let crashes = record.map_or(&[][..], Record::open_crashes);
        crashes.iter().any(|crash| crash.alone)
    }

    /// When a crash was last heard of with the request in flight.
    pub fn last_crash_at(&self, fingerprint: u64) -> Option<Instant> {
        self.records.get(&fingerprint).map(|record| record.heard_at)
    }

    /// Time until nothing is held against the request any more, if nothing new
    /// happens.
    pub fn remaining_ms(&self, now: Instant, fingerprint: u64) -> u64 {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| record.ends_at.ms_since(now))
    }

    /// Takes the model's place for a suspect that runs alone; `entry` is this
    /// entry. False when another entry owns the model or another suspect of the
    /// model runs: the caller is to come back after [`EXCLUSIVE_RUN_RETRY_MS`].
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
        if self.running.contains_key(model) || self.runs_elsewhere(model, entry) {
            return false;
        }
        self.running.insert(model.clone(), fingerprint);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.model = model.as_str().to_owned();
            record.running_at = entry.as_str().to_owned();
        }
        true
    }

    /// Gives back what [`SuspectRequests::try_start_exclusive_run`] took.
    pub fn end_exclusive_run(&mut self, model: &ModelId, fingerprint: u64) {
        if self.running.get(model) != Some(&fingerprint) {
            return;
        }
        self.running.remove(model);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.running_at.clear();
        }
    }

    /// A suspect ran alone to its end: the crashes known so far are excused.
    pub fn record_completed_exclusive_run(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && !record.convicted
        {
            record.excused = record.crashes.len();
        }
    }

    /// Takes over what another entry knows; true when something was new.
    pub fn merge(&mut self, now: Instant, from: &Suspect) -> bool {
        self.expire(now);
        self.hear_running(now, from);
        if from.remaining_ms == 0 {
            return self.excuse(from);
        }
        let known = self.records.contains_key(&from.fingerprint);
        let empty = from.crashes.is_empty() && !from.convicted;
        if !known && (empty || from.remaining_ms < MERGE_MIN_MS) {
            return false;
        }
        self.merge_crashes(now, from)
    }

    /// What to tell other entries.
    ///
    /// A record whose crashes are excused has no time left: whoever knows the
    /// same crashes excuses them too.
    pub fn export(&self, now: Instant) -> Vec<Suspect> {
        self.live(now)
            .map(|(fingerprint, record)| suspect(now, *fingerprint, record))
            .collect()
    }

    /// What one of many messages tells: `most` of those that are new, and `most`
    /// of all in turn, so that each is told again while it stands.
    ///
    /// A crash makes suspects of all that ran there. Told whole each time by every
    /// entry to every other, the suspects of a few crashes filled their links, and
    /// what else the messages say was lost with them.
    pub fn export_batch(&self, now: Instant, turn: u64, most: usize) -> Vec<Suspect> {
        let is_new =
            |record: &Record| record.ends_at.ms_since(now) + NEW_MS > self.verdict_ms;
        let new = self.live(now).filter(|(_, record)| is_new(record));
        let old = self.live(now).filter(|(_, record)| !is_new(record));
        let count = old.clone().count().max(1);
        let first = (turn % count as u64) as usize * most % count;
        let in_turn = old.clone().cycle().skip(first).take(most.min(old.count()));
        new.take(most)
            .chain(in_turn)
            .map(|(fingerprint, record)| suspect(now, *fingerprint, record))
            .collect()
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = (&u64, &Record)> + Clone {
        let records = self.records.iter();
        records.filter(move |(_, record)| record.ends_at > now)
    }

    /// Number of fingerprints known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no fingerprint is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn add_crash(&mut self, now: Instant, fingerprint: u64, crash: &CrashWitness) {
        self.make_room(fingerprint);
        let ends_at = now.plus_ms(self.verdict_ms);
        let record = self
            .records
            .entry(fingerprint)
            .or_insert_with(|| Record::new(now, ends_at));
        if record.add(crash) {
            record.judge();
            record.ends_at = ends_at;
            record.heard_at = now;
        }
        self.ends(ends_at);
    }

    fn ends(&mut self, at: Instant) {
        self.first_end = Some(self.first_end.map_or(at, |first| first.min(at)));
    }

    fn merge_crashes(&mut self, now: Instant, from: &Suspect) -> bool {
        self.make_room(from.fingerprint);
        let ends_at = now.plus_ms(from.remaining_ms.min(self.verdict_ms));
        let record = self
            .records
            .entry(from.fingerprint)
            .or_insert_with(|| Record::new(now, ends_at));
        let mut changed = false;
        for crash in from.crashes.iter().take(CRASHES_MAX) {
            changed |= record.add(crash);
        }
        changed |= record.judge();
        if from.convicted && !record.convicted {
            record.convicted = true;
            changed = true;
        }
        // Only news may prolong: else two entries that tell each other the
        // same verdict prolong it by the delay of each message.
        if changed {
            record.ends_at = record.ends_at.max(ends_at);
            record.heard_at = now;
        }
        self.ends(ends_at);
        changed
    }

    /// Another entry ran the request alone to its end.
    fn excuse(&mut self, from: &Suspect) -> bool {
        let Some(record) = self.records.get_mut(&from.fingerprint) else {
            return false;
        };
        let all_known = record
            .open_crashes()
            .iter()
            .all(|open| from.crashes.iter().any(|crash| same_crash(crash, open)));
        let changes =
            all_known && !record.convicted && !record.open_crashes().is_empty();
        if changes {
            record.excused = record.crashes.len();
        }
        changes
    }

    fn hear_running(&mut self, now: Instant, from: &Suspect) {
        if from.model.is_empty() {
            return;
        }
        if from.running_at.is_empty() {
            self.hear_ended(from);
            return;
        }
        let elsewhere = Elsewhere {
            fingerprint: from.fingerprint,
            entry: from.running_at.clone(),
            heard_at: now,
        };
        self.elsewhere.insert(from.model.clone(), elsewhere);
    }

    fn hear_ended(&mut self, from: &Suspect) {
        let running = self.elsewhere.get(&from.model);
        if running.is_some_and(|running| running.fingerprint == from.fingerprint) {
            self.elsewhere.remove(&from.model);
        }
    }

    fn runs_elsewhere(&self, model: &ModelId, entry: &EntryId) -> bool {
        self.elsewhere.get(model.as_str()).is_some_and(|running| {
            running.entry != entry.as_str()
                && self.now.ms_since(running.heard_at) < RUNNING_ELSEWHERE_MS
        })
    }

    fn expire(&mut self, now: Instant) {
        self.now = self.now.max(now);
        if self.first_end.is_some_and(|first_end| first_end <= now) {
            self.records.retain(|_, record| record.ends_at > now);
            let ends = self.records.values().map(|record| record.ends_at);
            self.first_end = ends.min();
        }
        self.elsewhere
            .retain(|_, running| now.ms_since(running.heard_at) < RUNNING_ELSEWHERE_MS);
    }

    /// Makes room for one more fingerprint.
    fn make_room(&mut self, fingerprint: u64) {
        if self.records.len() < RECORDS_MAX || self.records.contains_key(&fingerprint) {
            return;
        }
        let first = self
            .records
            .iter()
            .min_by_key(|(key, record)| (record.convicted, record.ends_at, **key))
            .map(|(key, _)| *key);
        if let Some(first) = first {
            self.records.remove(&first);
        }
    }
}

/// What other entries are told of a record.
fn suspect(now: Instant, fingerprint: u64, record: &Record) -> Suspect {
    let remaining_ms = if record.is_free() {
        0
    } else {
        record.ends_at.ms_since(now)
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
