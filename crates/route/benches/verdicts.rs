//! Compares circuit breakers per entry with breakers shared by the entries.
//!
//! A fleet of entries sends to three upstreams, one of which fails, gets slow or
//! fails half of its requests for 15 s. With its own breaker each entry detects
//! this from its own failures and sends its own probes. With a shared one the
//! entries exchange states at an interval, and one of them probes.

use base::prelude::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use route::{CircuitBreaker, Permission};
use std::collections::BTreeMap;

const SECONDS: u64 = 40;
const OUTAGE_MS: std::ops::Range<u64> = 10_000..25_000;
/// Interval at which entries that share breakers exchange states.
const GOSSIP_MS: u64 = 500;
/// Mean interval between requests of the whole fleet, so that each entry of a
/// larger fleet sees fewer.
const GAP_US: u64 = 10_000;
/// Duration of a request that fails at once.
const FAIL_MS: u64 = 20;
/// Duration of any other request.
const OK_MS: u64 = 100;
/// Time after which an entry gives up on a slow upstream.
const TIMEOUT_MS: u64 = 1_000;
const UPSTREAMS: u64 = 3;
const TICK_US: u64 = 1_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Out,
    Slow,
    /// One request in two fails.
    Half,
}

#[derive(Debug, Default)]
struct Counts {
    /// Most probes in flight at once.
    probes_max: usize,
    probes: u64,
    /// Time during the outage in which all entries' breakers had the same state.
    agreeing_ms: u64,
    differing_ms: u64,
    /// Requests that a breaker kept from the failing upstream.
    denied: u64,
    failed: u64,
    requests: u64,
    opened: u64,
}

#[derive(Debug)]
struct PendingOutcome {
    entry: usize,
    ok: bool,
    probe: bool,
}

struct Fleet {
    shared: bool,
    fault: Fault,
    rng: Pcg64Mcg,
    /// Breaker of each entry for the failing upstream.
    breakers: Vec<CircuitBreaker>,
    pending: BTreeMap<(u64, u64), PendingOutcome>,
    sequence: u64,
    /// Probes in flight.
    probes: usize,
    next_arrival_us: u64,
    counts: Counts,
}

impl Fleet {
    fn run(count: usize, shared: bool, fault: Fault, seed: u64) -> Counts {
        let mut fleet = Self {
            shared,
            fault,
            rng: Pcg64Mcg::seed_from_u64(seed),
            breakers: (0..count).map(|_| CircuitBreaker::new()).collect(),
            pending: BTreeMap::new(),
            sequence: 0,
            probes: 0,
            next_arrival_us: 0,
            counts: Counts::default(),
        };
        for now_us in (0..SECONDS * 1_000_000).step_by(TICK_US as usize) {
            fleet.tick(now_us);
        }
        fleet.counts
    }

    fn tick(&mut self, now_us: u64) {
        self.finish_requests(now_us);
        if self.shared && now_us.is_multiple_of(GOSSIP_MS * 1_000) {
            self.gossip(Instant::from_us(now_us));
        }
        while self.next_arrival_us <= now_us {
            let jitter = u64::from(self.rng.next_u32()) % GAP_US;
            self.next_arrival_us += GAP_US / 2 + jitter;
            self.arrive(now_us);
        }
        self.record_agreement(now_us);
    }

    /// Records whether the breakers of all entries agree during the outage.
    fn record_agreement(&mut self, now_us: u64) {
        if !OUTAGE_MS.contains(&(now_us / 1_000)) {
            return;
        }
        let open = self
            .breakers
            .iter()
            .filter(|breaker| breaker.is_open())
            .count();
        if open == 0 || open == self.breakers.len() {
            self.counts.agreeing_ms += 1;
        } else {
            self.counts.differing_ms += 1;
        }
    }

    /// Merges the newest state into all entries.
    fn gossip(&mut self, now: Instant) {
        let newest = self.breakers.iter().map(CircuitBreaker::state).max();
        let Some(newest) = newest else { return };
        for breaker in &mut self.breakers {
            breaker.merge(now, newest);
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let entry = self.rng.next_u32() as usize % self.breakers.len();
        let upstream = u64::from(self.rng.next_u32()) % UPSTREAMS;
        self.counts.requests += 1;
        if upstream != 0 {
            return;
        }
        let prober = !self.shared || entry == 0;
        let permission =
            self.breakers[entry].acquire_permission(Instant::from_us(now_us), prober);
        match permission {
            Permission::Denied => self.counts.denied += 1,
            Permission::Granted => self.send(now_us, entry, false),
            Permission::Probe => self.send(now_us, entry, true),
        }
    }

    fn send(&mut self, now_us: u64, entry: usize, probe: bool) {
        let faulty = OUTAGE_MS.contains(&(now_us / 1_000));
        let (ok, takes_ms) = match self.fault {
            _ if !faulty => (true, OK_MS),
            Fault::Out => (false, FAIL_MS),
            Fault::Slow => (false, TIMEOUT_MS),
            Fault::Half => (self.rng.next_u32().is_multiple_of(2), OK_MS),
        };
        if probe {
            self.probes += 1;
            self.counts.probes += 1;
            self.counts.probes_max = self.counts.probes_max.max(self.probes);
        }
        self.sequence += 1;
        let key = (now_us + takes_ms * 1_000, self.sequence);
        self.pending
            .insert(key, PendingOutcome { entry, ok, probe });
    }

    fn finish_requests(&mut self, now_us: u64) {
        while let Some(first) = self.pending.first_entry() {
            if first.key().0 > now_us {
                return;
            }
            let outcome = first.remove();
            self.probes -= usize::from(outcome.probe);
            self.counts.failed += u64::from(!outcome.ok);
            let breaker = &mut self.breakers[outcome.entry];
            let was_open = breaker.is_open();
            breaker.record_outcome(Instant::from_us(now_us), outcome.ok, outcome.probe);
            self.counts.opened += u64::from(!was_open && breaker.is_open());
        }
    }
}

fn main() {
    println!(
        "verdicts: 40 s, one of three upstreams at fault for 15 s, 100 requests/s"
    );
    println!(
        "{:<5} {:>7} {:<7} | {:>6} {:>10} {:>6} {:>6} {:>11} {:>7}",
        "fault",
        "entries",
        "verdict",
        "probes",
        "probes max",
        "opened",
        "agree%",
        "turned away",
        "failed"
    );
    for (fault, name) in [
        (Fault::Out, "out"),
        (Fault::Slow, "slow"),
        (Fault::Half, "half"),
    ] {
        for count in [2, 4, 8, 16] {
            for shared in [false, true] {
                row(name, fault, count, shared);
            }
        }
    }
}

fn row(name: &str, fault: Fault, count: usize, shared: bool) {
    let counts = Fleet::run(count, shared, fault, 3);
    let measured_ms = counts.agreeing_ms + counts.differing_ms;
    println!(
        "{name:<5} {count:>7} {:<7} | {:>6} {:>10} {:>6} {:>6.1} {:>11} {:>7}",
        if shared { "shared" } else { "own" },
        counts.probes,
        counts.probes_max,
        counts.opened,
        counts.agreeing_ms as f64 * 100.0 / measured_ms as f64,
        counts.denied,
        counts.failed,
    );
}
