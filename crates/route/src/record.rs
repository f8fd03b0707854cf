//! The crashes of one fingerprint and the verdict they give.

use base::prelude::*;
use schema::link::CrashWitness;

/// Crashes kept of one fingerprint.
pub(crate) const CRASHES_MAX: usize = 8;

/// What is held against one fingerprint.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) crashes: Vec<CrashWitness>,
    /// Leading crashes that a whole run alone has excused.
    pub(crate) excused: usize,
    pub(crate) convicted: bool,
    pub(crate) ends_at: Instant,
    /// When a crash was last heard of.
    pub(crate) heard_at: Instant,
    pub(crate) model: String,
    pub(crate) running_at: String,
}

impl Record {
    pub(crate) fn new(now: Instant, ends_at: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            excused: 0,
            convicted: false,
            ends_at,
            heard_at: now,
            model: String::new(),
            running_at: String::new(),
        }
    }

    pub(crate) fn open_crashes(&self) -> &[CrashWitness] {
        &self.crashes[self.excused..]
    }

    /// Whether nothing is held against the request any more.
    pub(crate) fn is_free(&self) -> bool {
        !self.convicted && self.open_crashes().is_empty()
    }

    /// Adds a crash unless it is known; several entries report each crash.
    pub(crate) fn add(&mut self, crash: &CrashWitness) -> bool {
        let known = self.crashes.iter().any(|known| same_crash(known, crash));
        if known || !self.make_room(crash) {
            return false;
        }
        self.crashes.push(crash.clone());
        true
    }

    /// An excused crash makes room; so does the newest for one of another
    /// upstream, which is the only kind that still changes the verdict.
    fn make_room(&mut self, crash: &CrashWitness) -> bool {
        if self.crashes.len() < CRASHES_MAX {
            return true;
        }
        if self.excused > 0 {
            self.crashes.remove(0);
            self.excused -= 1;
            return true;
        }
        if self.crashes.iter().any(|known| known.agent == crash.agent) {
            return false;
        }
        self.crashes.pop();
        true
    }

    /// Crashes of two different upstreams convict.
    ///
    /// A request that runs again after a crash runs alone, so its second crash
    /// shows its guilt. Copies of it that were in flight at once can be at two
    /// crashes among others, and may be innocent. They are convicted as well: a
    /// third run of a guilty one would be a third crash, and the bound of two
    /// goes before an innocent one's second chance. The order of the two does
    /// not count, and every entry comes to the same verdict in whatever order
    /// it hears of them.
    pub(crate) fn judge(&mut self) -> bool {
        if self.convicted {
            return false;
        }
        let open = self.open_crashes();
        self.convicted = open.iter().any(|crash| crash.agent != open[0].agent);
        self.convicted
    }
}

pub(crate) fn same_crash(a: &CrashWitness, b: &CrashWitness) -> bool {
    a.agent == b.agent && a.upstream_incarnation == b.upstream_incarnation
}
