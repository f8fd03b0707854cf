//! Evidence for and against one part of prompts, and the verdict that follows.

use base::prelude::*;
use schema::peer::SuspectPart;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

use crate::attribution::Attribution;
use crate::record_digest::{ChangeRepeats, mixed, set_hash};
use crate::rendezvous::PART_PROBING_ENTRIES;

/// Number of crashes from which on a part may be refused. At one, a request may have
/// been a bystander.
pub(crate) const CRASHES_TO_REFUSE: usize = 2;

/// Number of different requests that must have been there. The crashes of one request
/// that was sent again don't tell which of its parts is the cause.
const REQUESTS_TO_REFUSE: usize = 2;

/// Number of crashes for each answer from which on a part is refused. A part that crashes
/// most upstreams, but not each, is refused as well.
const CRASHES_PER_ANSWER: usize = 3;

/// Maximum number of crashes kept.
const CRASHES_MAX: usize = 16;

/// Maximum number of different requests kept.
const REQUESTS_MAX: usize = 8;

/// Maximum number of answers kept. So many outweigh any number of crashes.
pub(crate) const ANSWERS_MAX: usize = 3;

/// Time for which crashes count against a part that is not refused. It isn't extended by
/// further crashes.
const SUSPICION_MS: u64 = 600_000;

/// The same from the first answer on. Answers of long ago then don't outweigh the crashes
/// of a part that has become bad.
const ANSWERED_SUSPICION_MS: u64 = 60_000;

/// Time for which a part is refused the first time. It doubles with each time.
const REFUSAL_MS: u64 = 60_000;

/// Number of times that the refusal doubles.
const DOUBLINGS_MAX: u32 = 6;

/// Time after a refusal and its probing for which one crash is enough to refuse the part
/// again.
const MEMORY_MS: u64 = 1_800_000;

/// Time after which another probe may start if the result of the last is not known.
const PROBE_INTERVAL_MS: u64 = 10_000;

/// Time without new evidence after which twice as many entries may probe a part: those
/// before may get no request with it.
const WIDENING_INTERVAL_MS: u64 = 1_000;

/// Time without new evidence before the first probe of a part whose crashes have several
/// other possible causes. Requests that were there by chance are answered by then, which
/// rules out their parts.
const SEVERAL_CAUSES_DELAY_MS: u64 = 2_000;

/// The same for [`Attribution::Doubtful`], so that better probes come first.
const DOUBTFUL_DELAY_MS: u64 = 2 * SEVERAL_CAUSES_DELAY_MS;

/// Number of times that the number of probing entries doubles. After that, each may.
const WIDENINGS_MAX: u64 = 16;

/// Retry delay for a request that another one may show to be sound at any time.
const OTHER_CAUSE_RETRY_MS: u64 = 500;

/// Why a request with a refused part is not its probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoProbe {
    /// The request was already sent, or waited for an upstream.
    Admitted,
    /// The part is refused for some time yet.
    NotDue,
    /// Other entries probe the part first.
    OtherEntry,
    /// A probe of this entry is in progress.
    InProgress,
}

impl NoProbe {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Admitted => "admitted",
            Self::NotDue => "not_due",
            Self::OtherEntry => "other_entry",
            Self::InProgress => "in_progress",
        }
    }
}

/// What new evidence changed about a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartChange {
    /// The evidence was known, or the part was not under suspicion.
    Nothing,
    /// The evidence is new and doesn't change the verdict.
    Evidence,
    /// The part is refused from now on.
    Refused,
    /// The part is no longer refused.
    Released,
}

/// A crash of an upstream that had not begun to answer a request.
#[derive(Debug, Clone, Copy)]
pub struct PartCrash {
    /// Hash that identifies the upstream's incarnation.
    pub incarnation: u64,
    /// Fingerprint of the request: the same if a caller sends it again.
    pub request: u64,
}

/// The verdict on a part at some time, to tell what new evidence changed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PartVerdictState {
    is_refused: bool,
    refusals: u32,
}

/// Evidence about one part.
#[derive(Debug)]
pub(crate) struct PartRecord {
    /// Hashes of the incarnations that crashed, the lowest [`CRASHES_MAX`] of them. So two
    /// parts of which one was there whenever the other was have the same crashes in their
    /// records, also beyond this number.
    pub(crate) crashes: Vec<u64>,
    /// Fingerprints of the requests that were there, at most [`REQUESTS_MAX`].
    pub(crate) requests: Vec<u64>,
    /// Hashes of requests whose answers began, at most [`ANSWERS_MAX`].
    pub(crate) answers: Vec<u64>,
    /// How often the part was refused.
    pub(crate) refusals: u32,
    /// When the record is forgotten.
    pub(crate) expires_at: Instant,
    /// When this entry last learned something new.
    pub(crate) changed_at: Instant,
    /// Whether some of the evidence is this entry's own.
    pub(crate) observed_here: bool,
    /// Whether evidence of this entry is still to be sent to others.
    pub(crate) pending: ChangeRepeats,
    /// When the probe in progress started.
    pub(crate) probe_started_at: Option<Instant>,
}

impl PartRecord {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            requests: Vec::new(),
            answers: Vec::new(),
            refusals: 0,
            expires_at: now.plus_ms(SUSPICION_MS),
            changed_at: now,
            observed_here: false,
            pending: ChangeRepeats::default(),
            probe_started_at: None,
        }
    }

    /// Records that this entry learned something by itself that others need.
    pub(crate) const fn mark_observed(&mut self) {
        self.observed_here = true;
        self.pending.mark();
    }

    /// Whether another entry's record lacks one of the answers and may need it.
    pub(crate) fn has_more_answers(&self, from: &SuspectPart) -> bool {
        let is_missing = |answer| !from.answers.contains(answer);
        !Self::is_exonerated_by(&from.answers) && self.answers.iter().any(is_missing)
    }

    /// Hash of what entries should agree on while the part is refused.
    pub(crate) fn hash(&self, service: &str, part: u64) -> u64 {
        let crashes = set_hash(self.crashes.iter().copied(), CRASHES_MAX);
        let requests = set_hash(self.requests.iter().copied(), REQUESTS_MAX);
        let answers = set_hash(self.answers.iter().copied(), ANSWERS_MAX);
        let refusals = u64::from(self.refusals);
        let service = xxh3_64(service.as_bytes());
        mixed(&[service, part, refusals, crashes, requests, answers])
    }

    /// Whether so many answers outweigh any number of crashes.
    pub(crate) const fn is_exonerated_by(answers: &[u64]) -> bool {
        answers.len() >= ANSWERS_MAX
    }

    /// Whether no further crash can lead to a refusal.
    pub(crate) const fn is_exonerated(&self) -> bool {
        Self::is_exonerated_by(self.answers.as_slice())
    }

    /// Whether requests with the part are refused, apart from probes and unless another
    /// part explains its crashes.
    pub(crate) const fn is_refused(&self) -> bool {
        self.may_be_refused() && self.outweighs_answers(self.crashes.len())
    }

    /// Whether so many crashes are enough for a refusal, despite the answers.
    pub(crate) const fn outweighs_answers(&self, crashes: usize) -> bool {
        crashes >= CRASHES_TO_REFUSE
            && crashes >= CRASHES_PER_ANSWER * self.answers.len()
            && !self.is_exonerated()
    }

    /// Whether both parts were there at one of the crashes.
    pub(crate) fn meets(&self, other: &Self) -> bool {
        self.crashes
            .iter()
            .any(|crash| other.crashes.contains(crash))
    }

    /// Whether this part was there at all known crashes of another one.
    pub(crate) fn explains_all(&self, other: &Self) -> bool {
        other
            .crashes
            .iter()
            .all(|crash| self.crashes.contains(crash))
    }

    /// Whether the part was there at a crash, or may have been and the record has no room
    /// for it.
    pub(crate) fn may_have_met(&self, crash: u64) -> bool {
        self.crashes.contains(&crash) || self.omits(crash)
    }

    /// Whether the record would have no room for a crash.
    pub(crate) fn omits(&self, crash: u64) -> bool {
        self.crashes.len() >= CRASHES_MAX
            && self.crashes.iter().all(|kept| *kept < crash)
    }

    /// Whether there are enough crashes for a refusal, whatever the answers.
    pub(crate) const fn may_be_refused(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_REFUSE
            && self.requests.len() >= REQUESTS_TO_REFUSE
    }

    /// Order in which records are sent to other entries.
    pub(crate) const fn urgency(&self) -> (bool, bool, usize) {
        (self.is_refused(), self.observed_here, self.crashes.len())
    }

    /// Adds a crash that this entry observed; returns whether it was new.
    pub(crate) fn add_crash(&mut self, now: Instant, crash: &PartCrash) -> bool {
        let was_refused = self.is_refused();
        let is_probed = was_refused && self.probe_started_at.is_some();
        let is_new_crash = insert_lowest(&mut self.crashes, crash.incarnation);
        let is_new_request = insert(&mut self.requests, crash.request, REQUESTS_MAX);
        if !is_new_crash && !is_new_request && !is_probed {
            return false;
        }
        self.probe_started_at = None;
        self.changed_at = now;
        if self.is_refused() && (!was_refused || is_probed) {
            self.refuse(now, self.refusals + 1);
        }
        true
    }

    /// Returns what new evidence changed, given the verdict before. A part that is released
    /// is not kept longer than one that was never refused.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        before: PartVerdictState,
    ) -> PartChange {
        match (before.is_refused, self.is_refused()) {
            (_, true) if self.refusals > before.refusals => PartChange::Refused,
            (false, true) => PartChange::Refused,
            (true, false) => {
                self.limit_suspicion(now);
                PartChange::Released
            }
            (false, false) => {
                self.limit_suspicion(now);
                PartChange::Evidence
            }
            (true, true) => PartChange::Evidence,
        }
    }

    /// Forgets a part that isn't refused soon after its first answer.
    fn limit_suspicion(&mut self, now: Instant) {
        if !self.answers.is_empty() {
            let expires_at = now.plus_ms(ANSWERED_SUSPICION_MS);
            self.expires_at = self.expires_at.min(expires_at);
        }
    }

    /// Returns the verdict, to be compared after new evidence.
    pub(crate) const fn verdict_state(&self) -> PartVerdictState {
        PartVerdictState {
            is_refused: self.is_refused(),
            refusals: self.refusals,
        }
    }

    /// Adds answers; returns whether any was new.
    pub(crate) fn add_answers(&mut self, answers: &[u64]) -> bool {
        let mut added = false;
        for answer in answers {
            added |= insert(&mut self.answers, *answer, ANSWERS_MAX);
        }
        added
    }

    /// Merges another entry's record; returns whether anything changed.
    pub(crate) fn merge(&mut self, now: Instant, from: &SuspectPart) -> bool {
        let was_refused = self.is_refused();
        let mut changed = self.add_answers(&from.answers);
        for crash in &from.crashes {
            changed |= insert_lowest(&mut self.crashes, *crash);
        }
        for request in &from.requests {
            changed |= insert(&mut self.requests, *request, REQUESTS_MAX);
        }
        if from.refusals > self.refusals {
            self.probe_started_at = None;
            self.refusals = from.refusals;
            let lifetime_ms = lifetime_ms(self.refusals);
            self.expires_at = now.plus_ms(from.remaining_ms.min(lifetime_ms));
            return true;
        }
        if self.is_refused() && !was_refused {
            self.refuse(now, (self.refusals + 1).max(from.refusals));
        }
        changed
    }

    /// Decides whether a request that may be the part's probe can run now. `rank` is this
    /// entry's rank among those that probe the part.
    ///
    /// # Errors
    ///
    /// No probe may start here now.
    pub(crate) fn permit_probe(
        &self,
        now: Instant,
        attribution: Attribution,
        rank: impl FnOnce() -> usize,
    ) -> Result<(), NoProbe> {
        let entries = self.probing_entries(now, attribution);
        if entries == 0 {
            return Err(NoProbe::NotDue);
        }
        if entries < usize::MAX && rank() >= entries {
            return Err(NoProbe::OtherEntry);
        }
        if self
            .probe_started_at
            .is_some_and(|at| now.ms_since(at) < PROBE_INTERVAL_MS)
        {
            return Err(NoProbe::InProgress);
        }
        Ok(())
    }

    /// Number of entries that may probe the part now.
    fn probing_entries(&self, now: Instant, attribution: Attribution) -> usize {
        let widened_from = |first: usize, due_at: Instant| {
            let is_due = now >= due_at;
            is_due.then(|| widened(first, now.ms_since(due_at)))
        };
        let by_time = widened_from(1, self.refused_until());
        let by_attribution = match attribution {
            Attribution::OneOther | Attribution::SeveralOthers => {
                widened_from(PART_PROBING_ENTRIES, self.due_at(attribution))
            }
            Attribution::Doubtful | Attribution::OwnParts => {
                widened_from(1, self.due_at(attribution))
            }
        };
        by_time.max(by_attribution).unwrap_or(0)
    }

    /// When the part may first be probed by a request.
    fn due_at(&self, attribution: Attribution) -> Instant {
        match attribution {
            Attribution::OneOther => self.changed_at,
            Attribution::SeveralOthers => {
                self.changed_at.plus_ms(SEVERAL_CAUSES_DELAY_MS)
            }
            Attribution::Doubtful => self.changed_at.plus_ms(DOUBTFUL_DELAY_MS),
            Attribution::OwnParts => self.refused_until(),
        }
    }

    /// When the part is probed, whatever else may be the cause.
    fn refused_until(&self) -> Instant {
        let probed_ms = refusal_ms(self.refusals) + MEMORY_MS;
        self.expires_at - Duration::from_millis(probed_ms)
    }

    /// Time after which a request with the part may run.
    pub(crate) fn retry_after_ms(&self, now: Instant, attribution: Attribution) -> u64 {
        let min_ms = match attribution {
            Attribution::OwnParts => PROBE_INTERVAL_MS,
            _ => OTHER_CAUSE_RETRY_MS,
        };
        self.due_at(attribution).ms_since(now).max(min_ms)
    }

    fn refuse(&mut self, now: Instant, refusals: u32) {
        self.refusals = refusals;
        self.expires_at = now.plus_ms(lifetime_ms(refusals));
    }
}

/// Time for which a part is refused without a probe. It is probed from then on.
fn refusal_ms(refusals: u32) -> u64 {
    REFUSAL_MS << refusals.saturating_sub(1).min(DOUBLINGS_MAX)
}

/// Doubles a number of entries with each [`WIDENING_INTERVAL_MS`] that has passed.
fn widened(entries: usize, elapsed_ms: u64) -> usize {
    let doublings = elapsed_ms / WIDENING_INTERVAL_MS;
    if doublings > WIDENINGS_MAX {
        usize::MAX
    } else {
        entries << doublings
    }
}

/// Time from a refusal until the record is forgotten: the refusal, as much time for the
/// probes, and [`MEMORY_MS`].
fn lifetime_ms(refusals: u32) -> u64 {
    2 * refusal_ms(refusals) + MEMORY_MS
}

/// Inserts a crash into a set of the lowest [`CRASHES_MAX`]; returns whether it is one of
/// them and was new.
fn insert_lowest(set: &mut Vec<u64>, crash: u64) -> bool {
    if set.contains(&crash) {
        return false;
    }
    set.push(crash);
    if set.len() <= CRASHES_MAX {
        return true;
    }
    let highest = (0..set.len()).max_by_key(|index| set[*index]);
    let dropped = highest.map(|index| set.swap_remove(index));
    dropped != Some(crash)
}

/// Inserts a hash into a bounded set; returns whether it was new.
fn insert(set: &mut Vec<u64>, hash: u64, max: usize) -> bool {
    let is_new = set.len() < max && !set.contains(&hash);
    if is_new {
        set.push(hash);
    }
    is_new
}
