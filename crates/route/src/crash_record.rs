//! Crashes with one request fingerprint in flight, and the verdict that follows.

use base::prelude::*;
use schema::link::CrashWitness;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::record_digest::{ChangeRepeats, mixed, set_hash};

/// Maximum number of crashes kept per fingerprint.
pub(crate) const CRASHES_MAX: usize = 8;

/// Crashes and verdict of one fingerprint.
#[derive(Debug)]
pub(crate) struct CrashRecord {
    /// Known crashes, at most `CRASHES_MAX`.
    pub(crate) crashes: Vec<CrashWitness>,
    /// Number of crashes, from the start of `crashes`, that no longer count because
    /// the request has since completed an exclusive run.
    pub(crate) cleared: usize,
    /// Whether two different upstreams crashed with the request in flight.
    pub(crate) convicted: bool,
    /// When the record is forgotten.
    pub(crate) expires_at: Instant,
    /// When this entry last learned of a new crash.
    pub(crate) learned_at: Instant,
    /// Whether a crash that this entry observed is still to be sent to others.
    pub(crate) pending: ChangeRepeats,
    /// Model of this entry's last exclusive run of the request; empty if none.
    pub(crate) model: String,
    /// Name of this entry while it runs the request exclusively; empty otherwise.
    pub(crate) running_at: String,
}

impl CrashRecord {
    pub(crate) fn new(now: Instant, expires_at: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            cleared: 0,
            convicted: false,
            expires_at,
            learned_at: now,
            pending: ChangeRepeats::default(),
            model: String::new(),
            running_at: String::new(),
        }
    }

    /// Crashes that still count against the request.
    pub(crate) fn counted_crashes(&self) -> &[CrashWitness] {
        &self.crashes[self.cleared..]
    }

    /// Hash of what entries should agree on.
    pub(crate) fn hash(&self, fingerprint: u64) -> u64 {
        if self.convicted {
            return mixed(&[fingerprint]);
        }
        let crashes = self.crashes.iter().map(|crash| {
            xxh3_64_with_seed(crash.agent.as_bytes(), crash.upstream_incarnation)
        });
        mixed(&[fingerprint, set_hash(crashes, CRASHES_MAX)])
    }

    /// Whether the request has neither a crash that counts nor a conviction.
    pub(crate) fn is_clear(&self) -> bool {
        !self.convicted && self.counted_crashes().is_empty()
    }

    /// Adds a crash unless it is known already, since several entries report each
    /// crash.
    pub(crate) fn add(&mut self, crash: &CrashWitness) -> bool {
        let known = self.crashes.iter().any(|known| same_crash(known, crash));
        if known || !self.make_room(crash) {
            return false;
        }
        self.crashes.push(crash.clone());
        true
    }

    /// Makes room by dropping a crash that no longer counts, or else the newest one
    /// if the new crash is of another upstream. Only such a crash can still change
    /// the verdict.
    fn make_room(&mut self, crash: &CrashWitness) -> bool {
        if self.crashes.len() < CRASHES_MAX {
            return true;
        }
        if self.cleared > 0 {
            self.crashes.remove(0);
            self.cleared -= 1;
            return true;
        }
        if self.crashes.iter().any(|known| known.agent == crash.agent) {
            return false;
        }
        self.crashes.pop();
        true
    }

    /// Convicts the request if it was in flight when two different upstreams
    /// crashed; returns whether the verdict changed.
    ///
    /// After its first crash a request runs only exclusively, so that a second
    /// crash shows that it is the cause. Copies of the request that were in flight
    /// at the same time may have met two crashes next to other requests, and may
    /// not be the cause. They are convicted as well, because a further run could
    /// crash a third upstream, and the bound of two crashes has priority over a
    /// second chance. The verdict does not depend on the order in which an entry
    /// learns of the crashes.
    pub(crate) fn update_verdict(&mut self) -> bool {
        if self.convicted {
            return false;
        }
        let counted = self.counted_crashes();
        self.convicted = counted.iter().any(|crash| crash.agent != counted[0].agent);
        self.convicted
    }
}

/// Whether two reports are about the same crash: the end of the same incarnation of
/// the same upstream.
pub(crate) fn same_crash(a: &CrashWitness, b: &CrashWitness) -> bool {
    a.agent == b.agent && a.upstream_incarnation == b.upstream_incarnation
}
