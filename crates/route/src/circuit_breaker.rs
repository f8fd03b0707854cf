//! Circuit breakers for failing upstreams, shared by the entries of a fleet.

use base::prelude::*;

/// Consecutive failures after which the breaker opens.
const FAILURES_TO_OPEN: u32 = 5;

/// Interval between two probes of an upstream while its breaker is open.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// It may be sent.
    Granted,
    /// It may be sent as a probe, and its outcome decides whether the breaker
    /// closes.
    Probe,
    /// It must be sent to another upstream.
    Denied,
}

/// State of a breaker as exchanged between entries; the greatest is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BreakerState {
    /// Number of state changes so far.
    pub version: u64,
    /// Whether the breaker is open, that is, the upstream gets only probes. Of two
    /// concurrent changes the one to open wins: a probe will correct it, and failed
    /// requests cost more than requests sent elsewhere.
    pub open: bool,
}

/// Circuit breaker of one entry for one upstream.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    /// Consecutive failures while the breaker is closed.
    failures: u32,
    open: bool,
    /// Earliest time of the next probe.
    probe_at: Instant,
    probe_in_flight: bool,
    /// Number of state changes so far.
    version: u64,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether a request may be sent. `is_prober` tells whether this entry is the
    /// one that probes. A probe must be followed by
    /// [`CircuitBreaker::record_outcome`].
    pub fn acquire_permission(&mut self, now: Instant, is_prober: bool) -> Permission {
        if !self.open {
            return Permission::Granted;
        }
        if !is_prober || self.probe_in_flight || now < self.probe_at {
            return Permission::Denied;
        }
        self.probe_in_flight = true;
        Permission::Probe
    }

    /// Records the outcome of a request; `is_probe` tells whether it was sent as a
    /// probe.
    ///
    /// While the breaker is open, only a probe changes it. Requests sent before the
    /// fault may still succeed, and such a late success would send the whole fleet
    /// back to an upstream that is down.
    pub fn record_outcome(&mut self, now: Instant, ok: bool, is_probe: bool) {
        if is_probe {
            self.probe_in_flight = false;
            self.probe_at = now.plus_ms(PROBE_INTERVAL_MS);
        }
        if self.open {
            if is_probe && ok {
                self.set_open(now, false);
            }
            return;
        }
        self.failures = if ok { 0 } else { self.failures + 1 };
        if self.failures >= FAILURES_TO_OPEN {
            self.set_open(now, true);
        }
    }

    /// Whether the breaker is open.
    pub const fn is_open(&self) -> bool {
        self.open
    }

    /// State to send to other entries.
    pub const fn state(&self) -> BreakerState {
        BreakerState {
            version: self.version,
            open: self.open,
        }
    }

    /// Adopts another entry's state if it is newer.
    pub fn merge(&mut self, now: Instant, from: BreakerState) {
        if from <= self.state() {
            return;
        }
        if from.open != self.open {
            self.set_open(now, from.open);
        }
        self.version = from.version;
    }

    fn set_open(&mut self, now: Instant, open: bool) {
        self.open = open;
        self.failures = 0;
        self.probe_in_flight = false;
        self.probe_at = now.plus_ms(PROBE_INTERVAL_MS);
        self.version += 1;
    }
}
