//! Sharing of one watch of the platform among the entries of a failure domain.
//!
//! The records of upstreams change several times a second while models are loaded and
//! unloaded. Each change ends the watch of every entry, and every entry's next watch is
//! a call. The number of calls is the number of entries times the number of changes;
//! with sixty entries, it cost callers more than anything else. Instead, one entry of a
//! failure domain watches and forwards what it saw.
//!
//! Correctness doesn't depend on the forwarding. An entry watches by itself as soon as
//! what it received is too old, whether the leader has ended, hangs, or is cut off from
//! the platform or from the entry.
//!
//! A forged or incomplete message has no lasting effect either. Entries that watch by
//! themselves claim a digest of the state that they saw. As long as two of them agree
//! with what an entry knows, its own watch would return nothing that it doesn't know. If
//! they don't, it watches by itself, starting at the last version that was verified.

mod failures;
mod messages;
mod role;

use base::ObjectVersion;
use base::prelude::*;
use std::collections::VecDeque;

use crate::state_digest::StateDigest;

pub use failures::{AfterFailure, WatchFailures};
pub use messages::{ChangedObject, WatchBatch, WatchClaim, WatchSnapshot};
pub use role::{OwnWatchReason, WatchRole};

/// Number of entries in a failure domain from which on they share a watch. With two,
/// forwarding costs more than the follower saves.
const MIN_SHARING_ENTRIES: usize = 3;

/// Age of the platform's last answer to the leader after which an entry watches by
/// itself. A leader's message is at most 0.9 s old, and an upstream that is leaving has
/// to be known as such within two seconds.
const RECEIVED_MAX_AGE_MS: u64 = 1_300;

/// Time after which the known state has to be verified again, by an own watch or by the
/// claims of others. A forged message can hide true changes for this long. It is
/// shorter than the platform's history, from which the watch resumes.
const VERIFY_INTERVAL_MS: u64 = 15_000;

/// Number of entries whose claims verify the known state. With one, whoever forged a
/// message of the leader could forge its claim as well.
const VERIFYING_ENTRIES: usize = 2;

/// Number of batches in one message: the newest, and the one before it again in case a
/// message was lost.
const MAX_BATCHES: usize = 2;

/// A version at which another entry's claim agreed with the known state.
#[derive(Debug, Clone)]
struct Verification {
    entry: String,
    at: Instant,
    version: u64,
}

/// Result of handling a leader's message.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReceivedBatches {
    /// New batches, in order.
    pub new_batches: Vec<WatchBatch>,
    /// Version up to which changes are known now; `None` if the message left a gap.
    pub known_version: Option<u64>,
    /// Whether this entry has to watch by itself for changes that were left out.
    pub needs_own_watch: bool,
}

/// One entry's state of the shared watch.
#[derive(Debug, Default)]
pub struct SharedWatch {
    /// Version up to which all changes are known, from own watches or the leader's.
    known_version: u64,
    /// When the platform last confirmed the known state to a leader.
    received_at: Option<Instant>,
    /// When an own call last succeeded, the version up to which it returned the
    /// changes, and whether the latest one succeeded.
    own_call_at: Option<Instant>,
    own_version: u64,
    is_working: bool,
    /// When the state was received from another entry, if neither a list nor the
    /// claims of others have verified it since.
    unverified_since: Option<Instant>,
    digest: StateDigest,
    /// The latest claims that agreed with the known state, one of each entry, oldest
    /// first.
    verifications: VecDeque<Verification>,
    /// Whether changes were announced without their content.
    needs_own_watch: bool,
    recent_batches: VecDeque<WatchBatch>,
}

impl SharedWatch {
    /// Creates a state in which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles the answer to an own list call: everything up to `version` is known.
    ///
    /// What the list changed is forwarded like the result of a watch. Otherwise each
    /// receiver would have to list as well when the platform has dropped its history.
    pub fn on_listed(&mut self, now: Instant, version: u64, objects: &[ChangedObject]) {
        let (after_version, is_first) = (self.known_version, !self.has_state());
        self.unverified_since = None;
        let changed = self.digest.replace(version, objects);
        self.recent_batches.clear();
        self.on_confirmed(now, version);
        if !is_first && version >= after_version {
            self.recent_batches.push_back(WatchBatch {
                after_version,
                to_version: version,
                objects: changed,
                is_partial: false,
            });
        }
    }

    /// Version up to which all changes are known.
    pub const fn known_version(&self) -> u64 {
        self.known_version
    }

    /// Handles the state that another entry passed on. It has to be verified within the
    /// same time as any other message.
    pub fn on_snapshot(
        &mut self,
        now: Instant,
        confirmed_at: Instant,
        version: u64,
        objects: &[ChangedObject],
    ) {
        self.digest.replace(version, objects);
        self.known_version = version;
        self.own_version = version;
        self.received_at = Some(confirmed_at);
        self.unverified_since = Some(now);
        self.needs_own_watch = false;
        self.recent_batches.clear();
    }

    /// The state to pass on to an entry that starts; `None` if it isn't known.
    pub fn snapshot(&self) -> Option<WatchSnapshot> {
        if !self.has_state() || self.unverified_since.is_some() {
            return None;
        }
        let mut objects: Vec<ChangedObject> = self.digest.objects().cloned().collect();
        // The same state is divided into the same parts each time it is sent.
        objects.sort_unstable_by(|one, other| one.key.cmp(&other.key));
        Some(WatchSnapshot {
            version: self.known_version,
            confirmed_at: self.received_at.max(self.own_call_at)?,
            digest: self.digest.current(),
            objects,
        })
    }

    /// Whether the state has to be listed, because it came from another entry and
    /// nothing has verified it in time.
    pub fn needs_list(&self, now: Instant) -> bool {
        self.unverified_since
            .is_some_and(|since| now.ms_since(since) >= VERIFY_INTERVAL_MS)
    }

    /// Whether any state is known.
    pub const fn has_state(&self) -> bool {
        self.own_call_at.is_some() || self.unverified_since.is_some()
    }

    /// Handles the answer to an own watch. Its batch is kept for forwarding.
    pub fn on_watched(&mut self, now: Instant, batch: WatchBatch) {
        self.apply_to_digest(&batch);
        self.on_confirmed(now, batch.to_version);
        self.recent_batches.push_back(batch);
        while self.recent_batches.len() > MAX_BATCHES {
            self.recent_batches.pop_front();
        }
    }

    /// Records that an own call succeeded and that everything up to `version` is known.
    fn on_confirmed(&mut self, now: Instant, version: u64) {
        self.known_version = self.known_version.max(version);
        self.own_call_at = Some(now);
        self.own_version = version;
        self.is_working = true;
        self.needs_own_watch = false;
    }

    /// Applies those changes of a batch that are not known yet.
    fn apply_to_digest(&mut self, batch: &WatchBatch) {
        for object in &batch.objects {
            self.digest.apply(self.known_version, object);
        }
    }

    /// Handles an own call that failed.
    pub const fn on_failed(&mut self) {
        self.is_working = false;
    }

    /// Whether other entries can rely on this entry's watch.
    pub const fn is_working(&self) -> bool {
        self.is_working
    }

    /// When an own call last succeeded.
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.own_call_at
    }

    /// Role of this entry, given the other entries of its failure domain that it hears
    /// from and whose own watch works. The first one by name is the leader.
    pub fn role(&self, entry: &str, others: &[impl AsRef<str>]) -> WatchRole {
        if others.len() + 1 < MIN_SHARING_ENTRIES {
            WatchRole::Independent
        } else if others.iter().any(|other| other.as_ref() < entry) {
            WatchRole::Follower
        } else if self.is_working {
            WatchRole::Leader
        } else {
            WatchRole::Independent
        }
    }

    /// Why an own watch could return something new now; `None` if it would not.
    /// `generation` is the platform's, as far as own calls have shown.
    pub fn own_watch_reason(
        &self,
        now: Instant,
        generation: u64,
    ) -> Option<OwnWatchReason> {
        if ObjectVersion(self.known_version).generation() < generation {
            return Some(OwnWatchReason::Restored);
        }
        let is_recent = |at: Option<Instant>, age_max_ms| {
            at.is_some_and(|at| now.ms_since(at) < age_max_ms)
        };
        let verified_at = self.verified().map(|(at, _)| at);
        // An own watch verifies changes, but not the state from which it starts.
        let verified_at = match self.unverified_since {
            Some(since) => Some(since),
            None => self.own_call_at.max(verified_at),
        };
        if !is_recent(self.received_at, RECEIVED_MAX_AGE_MS) {
            Some(OwnWatchReason::Unheard)
        } else if !is_recent(verified_at, VERIFY_INTERVAL_MS) {
            Some(OwnWatchReason::Unverified)
        } else {
            self.needs_own_watch.then_some(OwnWatchReason::Announced)
        }
    }

    /// Whether an own watch would return nothing new now.
    pub fn can_skip_own_watch(&self, now: Instant) -> bool {
        self.own_watch_reason(now, 0).is_none()
    }

    /// Version after which the next own watch has to start: up to it, all changes were
    /// returned by an own call or verified by the claims of others.
    pub fn resume_version(&self) -> u64 {
        let verified = self.verified().map_or(0, |(_, version)| version);
        self.own_version.max(verified)
    }

    /// What this entry says about the state that it knows; `None` before its first own
    /// call.
    pub fn claim(&self) -> Option<WatchClaim> {
        let is_verified = self.own_call_at.is_some() && self.unverified_since.is_none();
        is_verified.then(|| WatchClaim {
            version: self.known_version,
            digest: self.digest.current(),
        })
    }

    /// Handles the claim of another entry that watches by itself, which the platform
    /// confirmed to it at `confirmed_at`.
    ///
    /// If the claim is of a later version and the digest is the same, nothing has
    /// changed up to that version.
    pub fn on_claim(
        &mut self,
        now: Instant,
        entry: &str,
        confirmed_at: Instant,
        claim: WatchClaim,
    ) {
        if !self.has_state() {
            return;
        }
        let agrees = if claim.version >= self.known_version {
            if claim.digest != self.digest.current() {
                return;
            }
            self.known_version = claim.version;
            self.received_at = self.received_at.max(Some(confirmed_at));
            true
        } else {
            match self.digest.at(claim.version) {
                Some(digest) => digest == claim.digest,
                None => return,
            }
        };
        if !agrees {
            self.verifications.clear();
            return;
        }
        self.verifications.retain(|known| known.entry != entry);
        self.verifications.push_back(Verification {
            entry: entry.to_owned(),
            at: now,
            version: claim.version,
        });
        if self.verifications.len() > VERIFYING_ENTRIES {
            self.verifications.pop_front();
        }
        if self.verified().is_some() {
            self.unverified_since = None;
        }
    }

    /// When enough other entries had last agreed with the known state, and the version
    /// up to which they did.
    fn verified(&self) -> Option<(Instant, u64)> {
        if self.verifications.len() < VERIFYING_ENTRIES {
            return None;
        }
        let at = self.verifications.iter().map(|known| known.at).min()?;
        let version = self.verifications.iter().map(|known| known.version).min()?;
        Some((at, version))
    }

    /// The batches to forward now, oldest first.
    pub fn outgoing(&self) -> Vec<WatchBatch> {
        self.recent_batches.iter().cloned().collect()
    }

    /// Whether a batch leaves no gap after the known version.
    ///
    /// A batch that leads to a later generation of the platform says what differs from
    /// the state at its first version. What is known beyond that version may have been
    /// lost when the platform was restored, and the batch doesn't say so.
    const fn is_followed_by(&self, batch: &WatchBatch) -> bool {
        if self.is_of_later_generation(batch) {
            return batch.after_version == self.known_version;
        }
        let known = ObjectVersion(self.known_version).generation();
        let reached = ObjectVersion(batch.to_version).generation();
        reached == known && batch.after_version <= self.known_version
    }

    /// Whether a batch leads to a later generation of the platform than is known.
    const fn is_of_later_generation(&self, batch: &WatchBatch) -> bool {
        let known = ObjectVersion(self.known_version).generation();
        ObjectVersion(batch.to_version).generation() > known
    }

    /// Handles a leader's message, whose content the platform confirmed to the leader
    /// at `confirmed_at`. Returns what is new.
    ///
    /// Batches that leave a gap after the known version are ignored. The changes in
    /// between were lost, and this entry's next own watch returns them.
    ///
    /// So are batches of a platform generation before the known one: a leader that
    /// hasn't noticed that the platform was restored watches nothing for others.
    pub fn receive(
        &mut self,
        confirmed_at: Instant,
        batches: Vec<WatchBatch>,
    ) -> ReceivedBatches {
        let mut received = ReceivedBatches::default();
        let mut follows = false;
        for batch in batches {
            follows = self.is_followed_by(&batch);
            // The next own call fails, and the state is listed or asked for.
            self.needs_own_watch |= !follows && self.is_of_later_generation(&batch);
            if !follows || batch.to_version <= self.known_version {
                continue;
            }
            if batch.is_partial {
                self.needs_own_watch = true;
                break;
            }
            self.apply_to_digest(&batch);
            self.known_version = batch.to_version;
            received.new_batches.push(batch);
        }
        if follows {
            self.received_at = self.received_at.max(Some(confirmed_at));
            received.known_version = Some(self.known_version);
        }
        received.needs_own_watch = self.needs_own_watch;
        received
    }
}
