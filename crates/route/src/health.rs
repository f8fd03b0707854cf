//! Verdicts on failing upstreams, with one prober for the fleet.

use base::prelude::*;

/// Failures in a row after which an upstream is no longer sent to.
const FAILURES_TO_OPEN: u32 = 5;

/// Time between two probes of an upstream that is not sent to.
const PROBE_EVERY_MS: u64 = 1_000;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// It may.
    Granted,
    /// It may, and its outcome decides for the fleet.
    Probe,
    /// It goes to another upstream.
    Denied,
}

/// A verdict as entries tell one another; the greatest is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BreakerState {
    /// Number of changes that led to it.
    pub version: u64,
    /// Whether the upstream is not sent to; of two verdicts that were made at
    /// once this one holds, since a probe will correct it and failures cost
    /// more than a detour.
    pub open: bool,
}

/// One entry's verdict on one upstream.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    open: bool,
    probe_at: Instant,
    probing: bool,
    version: u64,
}

impl CircuitBreaker {
    /// An upstream that is sent to.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request may be sent; `is_prober` tells whether this entry is the
    /// one that probes. A probe must be followed by [`CircuitBreaker::record_outcome`].
    pub fn acquire_permission(&mut self, now: Instant, is_prober: bool) -> Permission {
        if !self.open {
            return Permission::Granted;
        }
        if !is_prober || self.probing || now < self.probe_at {
            return Permission::Denied;
        }
        self.probing = true;
        Permission::Probe
    }

    /// Takes the outcome of a request into account; `is_probe` tells whether it was
    /// sent as one.
    ///
    /// While the verdict stands only a probe changes it: requests sent before
    /// the fault still end, and a late success would send the whole fleet back
    /// to an upstream that is out.
    pub fn record_outcome(&mut self, now: Instant, ok: bool, is_probe: bool) {
        if is_probe {
            self.probing = false;
            self.probe_at = now.plus_ms(PROBE_EVERY_MS);
        }
        if self.open {
            if is_probe && ok {
                self.change(now, false);
            }
            return;
        }
        self.failures = if ok { 0 } else { self.failures + 1 };
        if self.failures >= FAILURES_TO_OPEN {
            self.change(now, true);
        }
    }

    /// Whether the upstream is not sent to.
    pub const fn is_open(&self) -> bool {
        self.open
    }

    /// What to tell other entries.
    pub const fn state(&self) -> BreakerState {
        BreakerState {
            version: self.version,
            open: self.open,
        }
    }

    /// Takes over another entry's verdict if it is newer.
    pub fn merge(&mut self, now: Instant, from: BreakerState) {
        if from <= self.state() {
            return;
        }
        if from.open != self.open {
            self.change(now, from.open);
        }
        self.version = from.version;
    }

    fn change(&mut self, now: Instant, open: bool) {
        self.open = open;
        self.failures = 0;
        self.probing = false;
        self.probe_at = now.plus_ms(PROBE_EVERY_MS);
        self.version += 1;
    }
}
