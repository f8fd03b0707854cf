//! Parts of prompts suspected of crashing upstreams.

use base::prelude::*;
use schema::peer::SuspectPart;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::answered_parts::AnsweredParts;
use crate::attribution::{Attribution, SuspectsOfRequest, attribute};
use crate::part_record::{NoProbe, PartChange, PartCrash, PartRecord};
use crate::record_digest::{digest, take_pending};

/// Maximum number of parts under suspicion. Beyond it, other entries' suspicions are
/// ignored, and one of this entry replaces the one with the least evidence against it.
const RECORDS_MAX: usize = 4_096;

/// Interval at which expired records are removed.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// Remaining time below which another entry's record of an unknown part is ignored. The
/// receiver counts it from the arrival of the message, so two entries could otherwise
/// send each other an expiring record forever.
const MERGE_REMAINING_MIN_MS: u64 = 2_000;

/// Age up to which a changed record is part of every message to other entries, as one or
/// two of the messages may be lost.
const RECENT_MS: u64 = 1_500;

/// Share of a message that repeats older evidence, as a divisor of its share of recent
/// evidence. Refused parts are repeated by all entries, so that one that has just started
/// or was cut off learns of them from the next messages.
const REPEATED_DIVISOR: usize = 4;

/// A part of the prompts that one service gets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PromptPart {
    /// Name of the service.
    pub service: Arc<str>,
    /// The part's id, as callers name it.
    pub part: u64,
}

/// Whether a request may run, by the parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartVerdict {
    /// No part is refused.
    Clear,
    /// These parts are refused, and this request may run to find out whether they crash
    /// upstreams. It must not be run a second time.
    Probe(Vec<PromptPart>),
    /// The request is refused for this part, and perhaps for others.
    Refused(RefusedPart),
}

/// A part of a prompt that is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedPart {
    /// The part.
    pub part: PromptPart,
    /// Number of known crashes.
    pub crashes: usize,
    /// Number of known answers.
    pub answers: usize,
    /// Time after which a request with the part may run again.
    pub retry_after_ms: u64,
    /// Whether its crashes may have causes outside the request.
    pub attribution: Attribution,
    /// Why the request doesn't probe its parts.
    pub no_probe: NoProbe,
}

/// What is known about a part, as far as it is kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartEvidence {
    /// Number of known crashes.
    pub crashes: usize,
    /// Number of known answers.
    pub answers: usize,
    /// How often the part was refused.
    pub refusals: u32,
}

/// Parts of prompts that were in flight when upstreams crashed, and how often answers
/// began on them.
///
/// Requests of which no two are alike may share the part of their prompts that crashes
/// upstreams. A crash counts against each part of the requests that had not begun to be
/// answered. Most of these parts are innocent: they occur in many prompts, so answers
/// begin on them all the time. A part is refused after two crashes under different
/// requests, if there are three crashes for each answer that began on it. A request with
/// refused parts may still run if the crashes may have another cause: it shows whether
/// they do.
///
/// Both kinds of evidence are sets of hashes that entries merge, so the order in which
/// they learn of it doesn't matter, and nothing counts twice.
///
/// A refused part produces no evidence. So it is probed after a while: first by one entry,
/// then by more, and in the end by each that gets a request with it, one request at a time.
/// A crash at that time refuses it for twice as long.
#[derive(Debug, Default)]
pub struct SuspectParts {
    records: BTreeMap<PromptPart, PartRecord>,
    answered: AnsweredParts,
    /// When expired records are removed next.
    expire_at: Instant,
}

impl SuspectParts {
    /// Records that an upstream crashed while a request with these parts had not begun to
    /// be answered; returns what changed for each part. Several requests and entries may
    /// report the same crash.
    ///
    /// All parts are accused, but for one case: a refused part that was there at so many
    /// crashes that its record can't hold this one, and that could no longer explain it.
    pub fn record_crash(
        &mut self,
        now: Instant,
        parts: &[PromptPart],
        crash: &PartCrash,
    ) -> Vec<PartChange> {
        self.expire(now);
        let is_unrecorded_cause = |part| {
            let record = self.live_record(now, part);
            record.is_some_and(|record| {
                record.is_refused() && record.omits(crash.incarnation)
            })
        };
        let is_explained = parts.iter().any(is_unrecorded_cause);
        let changes = parts.iter().map(|part| {
            if is_explained && !self.is_refused(now, part) {
                return PartChange::Nothing;
            }
            self.record_crash_of(now, part, crash)
        });
        changes.collect()
    }

    /// Records that an answer has begun to a request with these parts, and that the
    /// upstream survived it; returns what changed for each part. `request` identifies the
    /// request.
    pub fn record_answer(
        &mut self,
        now: Instant,
        parts: &[PromptPart],
        request: u64,
    ) -> Vec<PartChange> {
        let changes = parts
            .iter()
            .map(|part| self.record_answer_on(now, part, request));
        changes.collect()
    }

    /// Decides whether a request may run. `probing_rank` is the number of entries that
    /// probe a part before this one does.
    ///
    /// The result of a probe tells about all suspects of its request at once: an answer
    /// clears them, a crash may be due to any of them. It is reserved until its result is
    /// recorded or [`Self::end_probe`] is called, or for a few seconds.
    pub fn admit(
        &mut self,
        now: Instant,
        parts: &[PromptPart],
        probing_rank: impl Fn(&PromptPart) -> usize,
    ) -> PartVerdict {
        let Some(suspects) = self.attribute(now, parts) else {
            return PartVerdict::Clear;
        };
        let first = &suspects.parts[0];
        for part in &suspects.parts {
            let record = self.record_mut(now, part);
            let rank = || probing_rank(first);
            let permit = record.permit_probe(now, suspects.attribution, rank);
            if let Err(no_probe) = permit {
                return PartVerdict::Refused(self.refused_part(
                    now,
                    part,
                    suspects.attribution,
                    no_probe,
                ));
            }
        }
        for part in &suspects.parts {
            self.record_mut(now, part).probe_started_at = Some(now);
        }
        PartVerdict::Probe(suspects.parts)
    }

    /// Ends the probe of these parts that was admitted at `started_at`, if its result is not
    /// known, so that another one may start.
    pub fn end_probe(&mut self, parts: &[PromptPart], started_at: Instant) {
        for part in parts {
            if let Some(record) = self.records.get_mut(part)
                && record.probe_started_at == Some(started_at)
            {
                record.probe_started_at = None;
            }
        }
    }

    /// Returns the first part for which a request is refused now. `probed` are the parts
    /// that the request probes.
    pub fn refusal(
        &self,
        now: Instant,
        parts: &[PromptPart],
        probed: &[PromptPart],
    ) -> Option<RefusedPart> {
        let suspects = self.attribute(now, parts)?;
        let is_probed = |part: &PromptPart| {
            let record = self.live_record(now, part);
            probed.contains(part)
                && record.is_some_and(|record| record.probe_started_at.is_some())
        };
        let refused = suspects.parts.iter().find(|part| !is_probed(part))?;
        let no_probe = NoProbe::Admitted;
        Some(self.refused_part(now, refused, suspects.attribution, no_probe))
    }

    fn attribute(
        &self,
        now: Instant,
        parts: &[PromptPart],
    ) -> Option<SuspectsOfRequest> {
        attribute(now, &self.records, parts, |part| {
            self.is_answered(now, part)
        })
    }

    fn refused_part(
        &self,
        now: Instant,
        part: &PromptPart,
        attribution: Attribution,
        no_probe: NoProbe,
    ) -> RefusedPart {
        let evidence = self.evidence(part);
        let record = self.live_record(now, part);
        let retry_after_ms =
            record.map_or(0, |record| record.retry_after_ms(now, attribution));
        RefusedPart {
            part: part.clone(),
            crashes: evidence.crashes,
            answers: evidence.answers,
            retry_after_ms,
            attribution,
            no_probe,
        }
    }

    /// Whether a refused part of other requests was there at the crash of an incarnation,
    /// so that a request with these parts needn't be the cause.
    pub fn explains(
        &self,
        now: Instant,
        incarnation: u64,
        parts: &[PromptPart],
    ) -> bool {
        self.records.iter().any(|(part, record)| {
            now < record.expires_at
                && record.is_refused()
                && record.crashes.contains(&incarnation)
                && !parts.contains(part)
        })
    }

    /// Whether no answer is known to have begun on one of these parts. If an upstream
    /// crashes under such a request, the request itself may be the cause.
    pub fn is_doubtful(&self, now: Instant, parts: &[PromptPart]) -> bool {
        parts.iter().any(|part| !self.is_answered(now, part))
    }

    /// Whether an answer is known to have begun on a part.
    fn is_answered(&self, now: Instant, part: &PromptPart) -> bool {
        let record = self.live_record(now, part);
        record.is_some_and(|record| !record.answers.is_empty())
            || !self.answered.answers(now, part).is_empty()
    }

    /// Merges another entry's evidence. This entry adds the answers that it knows.
    /// Returns the part and what changed for it.
    pub fn merge(
        &mut self,
        now: Instant,
        from: &SuspectPart,
    ) -> (PromptPart, PartChange) {
        self.expire(now);
        let part = PromptPart {
            service: from.service.as_str().into(),
            part: from.part,
        };
        let change = self.merge_into(now, &part, from);
        (part, change)
    }

    fn merge_into(
        &mut self,
        now: Instant,
        part: &PromptPart,
        from: &SuspectPart,
    ) -> PartChange {
        let is_known = self.live_record(now, part).is_some();
        let is_useful = from.remaining_ms >= MERGE_REMAINING_MIN_MS
            && !from.crashes.is_empty()
            && (self.records.len() < RECORDS_MAX || from.refusals > 0);
        if !is_known && !is_useful {
            return PartChange::Nothing;
        }
        if !is_known {
            self.make_room();
        }
        let own_answers = self.answered.answers(now, part);
        let record = self.record_mut(now, part);
        let before = record.verdict_state();
        let merged = record.merge(now, from);
        let added = record.add_answers(&own_answers);
        // The sender may refuse the part only because it doesn't know these answers.
        if record.has_more_answers(from) {
            record.pending.mark();
        }
        if !added && !merged {
            return PartChange::Nothing;
        }
        record.changed_at = now;
        // Answers matter to others once there is a verdict to correct.
        if added && record.may_be_refused() {
            record.mark_observed();
        }
        record.settle(now, before)
    }

    /// Returns the evidence for one of many messages: up to `max` parts that changed
    /// recently, and a quarter as many of the others in rotation by `round`.
    ///
    /// Each crash puts many parts under suspicion at many entries. What is refused comes
    /// first, then what this entry itself observed, then the parts with most crashes, so
    /// that what decides isn't delayed by the rest. Only what is refused or was observed
    /// here is repeated: the rest is repeated by the entries that observed it.
    pub fn export_batch(
        &self,
        now: Instant,
        round: u64,
        max: usize,
    ) -> Vec<SuspectPart> {
        let mut recent = Vec::new();
        let mut older = Vec::new();
        for (part, record) in &self.records {
            if now >= record.expires_at {
                continue;
            }
            if now.ms_since(record.changed_at) < RECENT_MS {
                recent.push((part, record));
            } else if record.is_refused()
                || record.observed_here && !record.is_exonerated()
            {
                older.push((part, record));
            }
        }
        recent.sort_by_key(|(_, record)| std::cmp::Reverse(record.urgency()));
        let repeated = max.div_ceil(REPEATED_DIVISOR);
        let first = (round as usize).wrapping_mul(repeated) % older.len().max(1);
        older.rotate_left(first);
        let batch = recent
            .into_iter()
            .take(max)
            .chain(older.into_iter().take(repeated));
        batch
            .map(|(part, record)| to_message(now, part, record))
            .collect()
    }

    /// Returns up to `max` parts with evidence of this entry that is still to be sent,
    /// each in the next three messages. Other entries' evidence is not passed on.
    pub fn export_changes(&mut self, now: Instant, max: usize) -> Vec<SuspectPart> {
        let records = self.records.iter_mut();
        let unexpired = records.filter(|(_, record)| record.expires_at > now);
        let changed = take_pending(
            now,
            unexpired,
            max,
            |record| &mut record.pending,
            PartRecord::is_refused,
        );
        changed
            .into_iter()
            .map(|(part, record)| to_message(now, part, record))
            .collect()
    }

    /// Returns up to `max` of the parts that are not refused and that this entry has
    /// evidence about, in rotation by `round`. Digests don't include these.
    pub fn export_observed(
        &self,
        now: Instant,
        round: u64,
        max: usize,
    ) -> Vec<SuspectPart> {
        let records = self.records.iter().filter(|(_, record)| {
            now < record.expires_at
                && record.observed_here
                && !record.is_refused()
                && !record.is_exonerated()
        });
        let mut observed: Vec<_> = records.collect();
        let first = (round as usize).wrapping_mul(max) % observed.len().max(1);
        observed.rotate_left(first);
        let repeated = observed.into_iter().take(max);
        repeated
            .map(|(part, record)| to_message(now, part, record))
            .collect()
    }

    /// Returns a digest of the refused parts, which all entries should know. Those that
    /// changed within `settle_ms` and those that expire soon are left out.
    pub fn digest(&self, now: Instant, settle_ms: u64) -> u32 {
        let settled = self.records.iter().filter(|(_, record)| {
            record.is_refused()
                && record.pending.is_settled(now, record.changed_at, settle_ms)
                && record.expires_at.ms_since(now) >= MERGE_REMAINING_MIN_MS
        });
        digest(settled.map(|(part, record)| record.hash(&part.service, part.part)))
    }

    /// Returns what is to be kept of a part while it is refused.
    pub fn refused_message(
        &self,
        now: Instant,
        part: &PromptPart,
    ) -> Option<SuspectPart> {
        let record = self.live_record(now, part)?;
        let is_refused = record.is_refused();
        is_refused.then(|| to_message(now, part, record))
    }

    /// Returns the evidence about a part.
    pub fn evidence(&self, part: &PromptPart) -> PartEvidence {
        let record = self.records.get(part);
        record.map_or_else(PartEvidence::default, |record| PartEvidence {
            crashes: record.crashes.len(),
            answers: record.answers.len(),
            refusals: record.refusals,
        })
    }

    /// Number of parts under suspicion.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no part is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record_crash_of(
        &mut self,
        now: Instant,
        part: &PromptPart,
        crash: &PartCrash,
    ) -> PartChange {
        let answers = self.answered.answers(now, part);
        if self.live_record(now, part).is_none() {
            if PartRecord::is_exonerated_by(&answers) {
                return PartChange::Nothing;
            }
            self.make_room();
        }
        let record = self.record_mut(now, part);
        let before = record.verdict_state();
        record.observed_here = true;
        record.add_answers(&answers);
        if !record.add_crash(now, crash) {
            return PartChange::Nothing;
        }
        record.mark_observed();
        record.settle(now, before)
    }

    fn record_answer_on(
        &mut self,
        now: Instant,
        part: &PromptPart,
        request: u64,
    ) -> PartChange {
        self.answered.record(now, part, request);
        let Some(record) = self.records.get_mut(part) else {
            return PartChange::Nothing;
        };
        let before = record.verdict_state();
        record.probe_started_at = None;
        if !record.add_answers(&[request]) {
            return PartChange::Nothing;
        }
        record.mark_observed();
        record.changed_at = now;
        record.settle(now, before)
    }

    fn live_record(&self, now: Instant, part: &PromptPart) -> Option<&PartRecord> {
        let record = self.records.get(part)?;
        (now < record.expires_at).then_some(record)
    }

    fn is_refused(&self, now: Instant, part: &PromptPart) -> bool {
        self.live_record(now, part)
            .is_some_and(PartRecord::is_refused)
    }

    fn record_mut(&mut self, now: Instant, part: &PromptPart) -> &mut PartRecord {
        let record = self
            .records
            .entry(part.clone())
            .or_insert_with(|| PartRecord::new(now));
        if now >= record.expires_at {
            *record = PartRecord::new(now);
        }
        record
    }

    fn expire(&mut self, now: Instant) {
        if now >= self.expire_at {
            self.records.retain(|_, record| now < record.expires_at);
            self.expire_at = now.plus_ms(EXPIRY_INTERVAL_MS);
        }
    }

    /// Drops the record with the least evidence if there is no room for another.
    fn make_room(&mut self) {
        if self.records.len() < RECORDS_MAX {
            return;
        }
        let dropped = self.records.iter().min_by_key(|(_, record)| {
            (record.is_refused(), record.crashes.len(), record.expires_at)
        });
        if let Some(part) = dropped.map(|(part, _)| part.clone()) {
            self.records.remove(&part);
        }
    }
}

fn to_message(now: Instant, part: &PromptPart, record: &PartRecord) -> SuspectPart {
    SuspectPart {
        service: part.service.to_string(),
        part: part.part,
        crashes: record.crashes.clone(),
        requests: record.requests.clone(),
        answers: record.answers.clone(),
        refusals: record.refusals,
        remaining_ms: record.expires_at.ms_since(now),
    }
}
