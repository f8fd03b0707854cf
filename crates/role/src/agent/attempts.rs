//! Table of the attempts in progress.

use base::{AttemptId, EntryId, Instant, ModelId, RequestError};
use schema::link::Run;
use std::collections::BTreeMap;

/// Stage of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// An exclusive run waits until nothing else is in progress.
    WaitingForIdle {
        /// When it is refused instead.
        until: Instant,
    },
    /// It waits for the claim of its idempotency key.
    Claiming,
    /// It was given to the driver; whether any of it was sent is not known yet.
    Starting,
    /// Its first bytes were sent to the upstream.
    Running,
    /// Its connection broke. It is not known yet whether the upstream died; if
    /// it did, the attempt counts among those in flight at the crash.
    Broken {
        /// When it ends as if the upstream had not died.
        until: Instant,
    },
    /// It was not run, and waits for its claim to be released.
    Releasing {
        /// What to tell the entry.
        error: RequestError,
        /// It was handed over before, so it ends with `End` instead of
        /// `Refused`.
        handed_over: bool,
    },
}

/// One attempt.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Entry to answer; `None` once nobody waits for the answer.
    pub(super) entry: Option<EntryId>,
    pub(super) phase: Phase,
    /// The request; taken when the attempt is given to the driver.
    pub(super) run: Option<Box<Run>>,
    pub(super) model: ModelId,
    pub(super) version: u32,
    pub(super) idempotent: bool,
    /// It is not idempotent and has an idempotency key, which must be claimed
    /// before it starts.
    pub(super) needs_claim: bool,
    /// It must have the upstream to itself.
    pub(super) exclusive: bool,
    /// Hash that identifies the request in crash reports.
    pub(super) fingerprint: u64,
    /// Incarnation of the upstream that it was handed to; 0 before that.
    pub(super) upstream_incarnation: u64,
    /// Units of the answer before the next part.
    pub(super) offset: u64,
    /// When it was given to the driver; until then, when it was admitted.
    pub(super) began_at: Instant,
    pub(super) deadline: Instant,
    /// The entry was told that the deadline has passed.
    pub(super) deadline_reported: bool,
    /// Answer to an attempt with a claim, stored for later requests with the
    /// same key; `None` if it is incomplete or exceeds the size limit.
    pub(super) stored_answer: Option<Vec<u8>>,
}

impl Attempt {
    /// Whether it was handed to the upstream.
    pub(super) const fn is_handed_over(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Broken { .. })
    }

    /// Whether it occupies a slot of the upstream or may soon.
    const fn occupies_slot(&self) -> bool {
        !matches!(
            self.phase,
            Phase::WaitingForIdle { .. } | Phase::Releasing { .. }
        )
    }

    /// Appends a part to the stored answer, which is discarded if it exceeds
    /// `max` bytes.
    pub(super) fn store_part(&mut self, payload: &[u8], max: usize) {
        let Some(stored_answer) = &mut self.stored_answer else {
            return;
        };
        if stored_answer.len() + payload.len() > max {
            self.stored_answer = None;
            return;
        }
        stored_answer.extend_from_slice(payload);
    }
}

/// The attempts in progress.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    table: BTreeMap<AttemptId, Attempt>,
}

impl Attempts {
    pub(super) fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.table.insert(id, attempt);
    }

    pub(super) fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.table.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.table.get_mut(&id)
    }

    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.table.remove(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.table.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Number of occupied slots.
    pub(super) fn in_flight(&self) -> u32 {
        let occupying = self
            .table
            .values()
            .filter(|attempt| attempt.occupies_slot());
        u32::try_from(occupying.count()).unwrap_or(u32::MAX)
    }

    /// Whether an exclusive run is in progress or waits for the upstream to be
    /// idle.
    pub(super) fn any_exclusive(&self) -> bool {
        self.table.values().any(|attempt| {
            attempt.exclusive && !matches!(attempt.phase, Phase::Releasing { .. })
        })
    }

    /// The waiting exclusive run; admission control allows one at a time.
    pub(super) fn waiting_exclusive(&self) -> Option<AttemptId> {
        let mut table = self.table.iter();
        let is_waiting =
            |attempt: &Attempt| matches!(attempt.phase, Phase::WaitingForIdle { .. });
        table.find(|(_, a)| is_waiting(a)).map(|(id, _)| *id)
    }

    /// Latest `began_at` of the attempts that occupy a slot.
    pub(super) fn latest_began_at(&self) -> Option<Instant> {
        let occupying = self
            .table
            .values()
            .filter(|attempt| attempt.occupies_slot());
        occupying.map(|attempt| attempt.began_at).max()
    }

    /// Whether an attempt for a version of a model is in progress.
    pub(super) fn any_for_model(&self, model: &ModelId, version: u32) -> bool {
        let mut occupying = self
            .table
            .values()
            .filter(|attempt| attempt.occupies_slot());
        occupying.any(|attempt| attempt.model == *model && attempt.version == version)
    }

    /// Ids of the attempts for which a condition holds, in ascending order.
    pub(super) fn ids_matching(
        &self,
        matches: impl Fn(&Attempt) -> bool,
    ) -> Vec<AttemptId> {
        let found = self.table.iter().filter(|(_, attempt)| matches(attempt));
        found.map(|(id, _)| *id).collect()
    }

    /// When an attempt next needs to be processed.
    pub(super) fn due(&self) -> Option<Instant> {
        let times = self
            .table
            .values()
            .filter_map(|attempt| match attempt.phase {
                Phase::WaitingForIdle { until } | Phase::Broken { until } => {
                    Some(until)
                }
                Phase::Starting | Phase::Running => Some(attempt.deadline),
                Phase::Claiming | Phase::Releasing { .. } => None,
            });
        times.min()
    }
}
