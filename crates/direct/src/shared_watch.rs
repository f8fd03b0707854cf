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
//! the platform or from the entry. In addition, each entry watches by itself from time
//! to time, starting where its own last watch ended, so forged or incomplete messages
//! have no lasting effect.

use base::prelude::*;
use std::collections::VecDeque;

/// Number of entries in a failure domain from which on they share a watch. With two,
/// forwarding costs more than the follower saves.
const MIN_SHARING_ENTRIES: usize = 3;

/// Age of the platform's last answer to the leader after which an entry watches by
/// itself. A leader's message is at most 0.9 s old, and an upstream that is leaving has
/// to be known as such within two seconds.
const RECEIVED_MAX_AGE_MS: u64 = 1_300;

/// Interval between an entry's own watches while it receives messages from the leader.
/// A forged message can hide true changes for this long. It is shorter than the
/// platform's history, from which the watch resumes.
const OWN_WATCH_INTERVAL_MS: u64 = 15_000;

/// Number of batches in one message: the newest, and the one before it again in case a
/// message was lost.
const MAX_BATCHES: usize = 2;

/// Maximum size of the forwarded changes in one message. Larger batches are announced
/// without their changes, and each entry watches for these by itself: sent to a dozen
/// entries, they would fill the smallest link for a tenth of a second.
const MAX_MESSAGE_BYTES: usize = 12 << 10;

/// Role of an entry in the watch of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchRole {
    /// It watches for itself.
    Independent,
    /// It watches and forwards what it sees.
    Leader,
    /// It receives the leader's messages, and watches by itself if they fail.
    Follower,
}

impl WatchRole {
    /// Value of the role in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Independent => "independent",
            Self::Leader => "leader",
            Self::Follower => "follower",
        }
    }
}

/// A changed object, as the platform returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedObject {
    /// Key of the object.
    pub key: String,
    /// Version of the change.
    pub version: u64,
    /// Value; empty if the object was deleted.
    pub value: Vec<u8>,
}

/// Result of one watch: all changes after one version up to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// The batch holds all changes after this version.
    pub after_version: u64,
    /// The batch holds all changes up to and including this version.
    pub to_version: u64,
    /// The changes in order.
    pub objects: Vec<ChangedObject>,
    /// Whether changes were left out. The receiver has to watch for them by itself.
    pub is_partial: bool,
}

impl WatchBatch {
    /// Size of the keys and values.
    fn bytes(&self) -> usize {
        let objects = self.objects.iter();
        objects
            .map(|object| object.key.len() + object.value.len())
            .sum()
    }
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
    /// When an own call last succeeded, and whether the latest one did.
    own_call_at: Option<Instant>,
    is_working: bool,
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
    /// Batches watched before the list are no longer forwarded. A receiver would take
    /// them for all changes up to now and miss those between the last watch and the
    /// list.
    pub fn on_listed(&mut self, now: Instant, version: u64) {
        self.recent_batches.clear();
        self.on_confirmed(now, version);
    }

    /// Handles the answer to an own watch. Its batch is kept for forwarding.
    pub fn on_watched(&mut self, now: Instant, batch: WatchBatch) {
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
        self.is_working = true;
        self.needs_own_watch = false;
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

    /// Whether an own watch would return nothing new now.
    pub fn can_skip_own_watch(&self, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>, age_max_ms| {
            at.is_some_and(|at| now.ms_since(at) < age_max_ms)
        };
        let is_fresh = is_recent(self.received_at, RECEIVED_MAX_AGE_MS);
        is_fresh
            && is_recent(self.own_call_at, OWN_WATCH_INTERVAL_MS)
            && !self.needs_own_watch
    }

    /// The batches to forward now: the newest ones, with the changes that fit.
    pub fn outgoing(&self) -> Vec<WatchBatch> {
        let mut bytes = 0;
        let newest = self.recent_batches.iter().rev().map(|batch| {
            bytes += batch.bytes();
            if bytes <= MAX_MESSAGE_BYTES {
                return batch.clone();
            }
            WatchBatch {
                objects: Vec::new(),
                is_partial: true,
                ..*batch
            }
        });
        let mut batches: Vec<WatchBatch> = newest.collect();
        batches.reverse();
        batches
    }

    /// Handles a leader's message, whose content the platform confirmed to the leader
    /// at `confirmed_at`. Returns what is new.
    ///
    /// Batches that leave a gap after the known version are ignored. The changes in
    /// between were lost, and this entry's next own watch returns them.
    pub fn receive(
        &mut self,
        confirmed_at: Instant,
        batches: Vec<WatchBatch>,
    ) -> ReceivedBatches {
        let mut received = ReceivedBatches::default();
        let mut follows = false;
        for batch in batches {
            follows = batch.after_version <= self.known_version;
            if !follows || batch.to_version <= self.known_version {
                continue;
            }
            if batch.is_partial {
                self.needs_own_watch = true;
                break;
            }
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
