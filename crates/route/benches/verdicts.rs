//! Verdicts on a failing upstream: each entry's own against a shared one.
//!
//! A fleet of entries sends to three upstreams, one of which goes out for 15 s
//! or gets slow. With its own verdict each entry finds out by its own failures
//! and probes on its own clock; with a shared one the entries tell each other
//! over links with a delay, and one of them probes.

use base::prelude::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use route::{CircuitBreaker, Permission};
use std::collections::BTreeMap;

const SECONDS: u64 = 40;
const OUTAGE_MS: std::ops::Range<u64> = 10_000..25_000;
const GOSSIP_MS: u64 = 500;
/// Requests of the whole fleet; more entries see fewer each.
const GAP_US: u64 = 10_000;
const FAIL_MS: u64 = 20;
const OK_MS: u64 = 100;
/// An entry gives up on a slow upstream after this time.
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
struct Tally {
    probes_max: usize,
    probes: u64,
    agreeing_ms: u64,
    differing_ms: u64,
    turned_away: u64,
    failed: u64,
    requests: u64,
    opened: u64,
}

#[derive(Debug)]
struct Ending {
    entry: usize,
    ok: bool,
    probe: bool,
}

struct Fleet {
    shared: bool,
    fault: Fault,
    rng: Pcg64Mcg,
    entries: Vec<CircuitBreaker>,
    ending: BTreeMap<(u64, u64), Ending>,
    sequence: u64,
    probes: usize,
    next_arrival_us: u64,
    tally: Tally,
}

impl Fleet {
    fn run(count: usize, shared: bool, fault: Fault, seed: u64) -> Tally {
        let mut fleet = Self {
            shared,
            fault,
            rng: Pcg64Mcg::seed_from_u64(seed),
            entries: (0..count).map(|_| CircuitBreaker::new()).collect(),
            ending: BTreeMap::new(),
            sequence: 0,
            probes: 0,
            next_arrival_us: 0,
            tally: Tally::default(),
        };
        for now_us in (0..SECONDS * 1_000_000).step_by(TICK_US as usize) {
            fleet.tick(now_us);
        }
        fleet.tally
    }

    fn tick(&mut self, now_us: u64) {
        self.end(now_us);
        if self.shared && now_us.is_multiple_of(GOSSIP_MS * 1_000) {
            self.gossip(Instant::from_us(now_us));
        }
        while self.next_arrival_us <= now_us {
            let jitter = u64::from(self.rng.next_u32()) % GAP_US;
            self.next_arrival_us += GAP_US / 2 + jitter;
            self.arrive(now_us);
        }
        self.compare(now_us);
    }

    fn compare(&mut self, now_us: u64) {
        if !OUTAGE_MS.contains(&(now_us / 1_000)) {
            return;
        }
        let open = self.entries.iter().filter(|entry| entry.is_open()).count();
        if open == 0 || open == self.entries.len() {
            self.tally.agreeing_ms += 1;
        } else {
            self.tally.differing_ms += 1;
        }
    }

    /// The newest verdict goes to everybody.
    fn gossip(&mut self, now: Instant) {
        let newest = self.entries.iter().map(CircuitBreaker::state).max();
        let Some(newest) = newest else { return };
        for entry in &mut self.entries {
            entry.merge(now, newest);
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let entry = self.rng.next_u32() as usize % self.entries.len();
        let upstream = u64::from(self.rng.next_u32()) % UPSTREAMS;
        self.tally.requests += 1;
        if upstream != 0 {
            return;
        }
        let prober = !self.shared || entry == 0;
        let allow =
            self.entries[entry].acquire_permission(Instant::from_us(now_us), prober);
        match allow {
            Permission::Denied => self.tally.turned_away += 1,
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
            self.tally.probes += 1;
            self.tally.probes_max = self.tally.probes_max.max(self.probes);
        }
        self.sequence += 1;
        let key = (now_us + takes_ms * 1_000, self.sequence);
        self.ending.insert(key, Ending { entry, ok, probe });
    }

    fn end(&mut self, now_us: u64) {
        while let Some(first) = self.ending.first_entry() {
            if first.key().0 > now_us {
                return;
            }
            let ending = first.remove();
            self.probes -= usize::from(ending.probe);
            self.tally.failed += u64::from(!ending.ok);
            let health = &mut self.entries[ending.entry];
            let was_open = health.is_open();
            health.record_outcome(Instant::from_us(now_us), ending.ok, ending.probe);
            self.tally.opened += u64::from(!was_open && health.is_open());
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
    let tally = Fleet::run(count, shared, fault, 3);
    let measured_ms = tally.agreeing_ms + tally.differing_ms;
    println!(
        "{name:<5} {count:>7} {:<7} | {:>6} {:>10} {:>6} {:>6.1} {:>11} {:>7}",
        if shared { "shared" } else { "own" },
        tally.probes,
        tally.probes_max,
        tally.opened,
        tally.agreeing_ms as f64 * 100.0 / measured_ms as f64,
        tally.turned_away,
        tally.failed,
    );
}
