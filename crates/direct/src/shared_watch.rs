//! One watch of the platform for the entries of a failure domain.
//!
//! Answers the load of many entries: upstreams' entries change several times a second
//! where models come and go, each change ends the watch of every entry, and every
//! entry's next watch is a call. The calls grow with entries times changes, and with
//! sixty entries cost callers more than any other thing. Here one entry of a failure
//! domain watches and passes on what it saw.
//!
//! Nothing rests on the passing on. Each entry watches itself again as soon as what it
//! was told is too old, whatever the reason: the leader has ended, hangs, is cut off
//! from the platform or from the entry. And each watches itself now and then all the
//! same, from where its own last watch ended, so that news that were forged, or that
//! lack something, do not last.

use base::prelude::*;
use std::collections::VecDeque;

/// Entries of a failure domain from which on they share a watch. With two, the one
/// that is told saves less than passing on to it costs.
const MIN_SHARING_ENTRIES: usize = 3;

/// Age of the platform's last word to the leader after which an entry watches itself.
/// A leader's word is at most 0.9 s old; an upstream that leaves has to be known as
/// such within two seconds.
const RECEIVED_MAX_AGE_MS: u64 = 1_300;

/// Time between two watches of an entry that is told all the while: for so long a
/// forged word can keep true news from it. Shorter than the platform's history, in
/// which the watch begins.
const OWN_WATCH_INTERVAL_MS: u64 = 15_000;

/// Batches in one message: the newest, and the one before it once more, since a message
/// may be lost.
const MAX_BATCHES: usize = 2;

/// Largest size of what one message passes on. That there is more is told, and what it
/// is left to each entry's own watch: to a dozen entries, it would fill the smallest
/// link for a tenth of a second.
const MAX_MESSAGE_BYTES: usize = 12 << 10;

/// What an entry does for the watch of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchRole {
    /// It watches for itself.
    Independent,
    /// It watches and passes on what it sees.
    Leader,
    /// It is told, and watches itself where that fails.
    Follower,
}

impl WatchRole {
    /// The word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Independent => "independent",
            Self::Leader => "leader",
            Self::Follower => "follower",
        }
    }
}

/// An object that changed, as the platform gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedObject {
    /// Key.
    pub key: String,
    /// Version.
    pub version: u64,
    /// Value; empty where the object is gone.
    pub value: Vec<u8>,
}

/// What one watch saw: all changes after a version, up to another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// Version after which these are all changes.
    pub after_version: u64,
    /// Version up to which they are.
    pub to_version: u64,
    /// The changes in order.
    pub objects: Vec<ChangedObject>,
    /// Whether there were changes that are left out here: whoever is told of them has
    /// to watch for them itself.
    pub is_partial: bool,
}

impl WatchBatch {
    fn bytes(&self) -> usize {
        let objects = self.objects.iter();
        objects
            .map(|object| object.key.len() + object.value.len())
            .sum()
    }
}

/// What came of a leader's word.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReceivedBatches {
    /// Batches that are new, in order.
    pub new_batches: Vec<WatchBatch>,
    /// Version up to which changes are now known, if the word followed on what was.
    pub known_version: Option<u64>,
    /// Whether an own watch has to bring what was left out.
    pub needs_own_watch: bool,
}

/// One entry's view of the shared watch.
#[derive(Debug, Default)]
pub struct SharedWatch {
    /// Version up to which all changes are known, by an own watch or another's.
    known_version: u64,
    /// When the platform last confirmed that to a leader.
    received_at: Option<Instant>,
    /// When an own call was last answered, and whether the last one was.
    own_call_at: Option<Instant>,
    is_working: bool,
    /// Whether something changed that was not told.
    needs_own_watch: bool,
    recent_batches: VecDeque<WatchBatch>,
}

impl SharedWatch {
    /// Nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// An own list was answered: everything up to a version is known.
    ///
    /// What was watched before it is passed on no more: it would be taken for all that
    /// there is up to now, and what changed before the list be missing.
    pub fn on_listed(&mut self, now: Instant, at: u64) {
        self.recent_batches.clear();
        self.on_confirmed(now, at);
    }

    /// An own watch was answered: what it saw is known, and kept to be passed on.
    pub fn on_watched(&mut self, now: Instant, batch: WatchBatch) {
        self.on_confirmed(now, batch.to_version);
        self.recent_batches.push_back(batch);
        while self.recent_batches.len() > MAX_BATCHES {
            self.recent_batches.pop_front();
        }
    }

    fn on_confirmed(&mut self, now: Instant, at: u64) {
        self.known_version = self.known_version.max(at);
        self.own_call_at = Some(now);
        self.is_working = true;
        self.needs_own_watch = false;
    }

    /// An own call was not answered.
    pub const fn on_failed(&mut self) {
        self.is_working = false;
    }

    /// Whether others may rely on this entry's watch.
    pub const fn is_working(&self) -> bool {
        self.is_working
    }

    /// When an own call was last answered.
    pub const fn confirmed_at(&self) -> Option<Instant> {
        self.own_call_at
    }

    /// What this entry does, where it hears these others of its failure domain whose
    /// own watch works: the first by name is the leader.
    pub fn role(&self, me: &str, others: &[impl AsRef<str>]) -> WatchRole {
        if others.len() + 1 < MIN_SHARING_ENTRIES {
            WatchRole::Independent
        } else if others.iter().any(|other| other.as_ref() < me) {
            WatchRole::Follower
        } else if self.is_working {
            WatchRole::Leader
        } else {
            WatchRole::Independent
        }
    }

    /// Whether an own watch would bring nothing now.
    pub fn can_skip_own_watch(&self, now: Instant) -> bool {
        let is_young = |at: Option<Instant>, age_max_ms| {
            at.is_some_and(|at| now.ms_since(at) < age_max_ms)
        };
        let is_fresh = is_young(self.received_at, RECEIVED_MAX_AGE_MS);
        is_fresh
            && is_young(self.own_call_at, OWN_WATCH_INTERVAL_MS)
            && !self.needs_own_watch
    }

    /// What is passed on now: the newest batches, with what of their changes fits.
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

    /// A leader passes on what it saw, confirmed to it at a time; what of it is new
    /// here.
    ///
    /// Batches that do not follow on what is known are left: something between was
    /// lost, and the own watch that is due soon brings it.
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
