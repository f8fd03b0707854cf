//! Alternative schemes, for comparison with the one in use.

use base::prelude::*;

use crate::simulation::{EntryState, QuotaScheme, can_reach};

/// Time between two messages to all other entries.
const BROADCAST_INTERVAL_MS: u64 = 200;

/// A token bucket.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    filled_at: Instant,
}

impl Bucket {
    const fn full(now: Instant, rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    const fn empty(now: Instant, rate_per_s: f64, burst: f64) -> Self {
        Self {
            level: 0.0,
            ..Self::full(now, rate_per_s, burst)
        }
    }

    fn fill(&mut self, now: Instant) {
        let refilled = self.rate_per_s * now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + refilled).min(self.burst);
        self.filled_at = now;
    }

    fn take(&mut self, now: Instant, cost: f64) -> bool {
        self.fill(now);
        let is_admitted = self.level >= cost;
        if is_admitted {
            self.level -= cost;
        }
        is_admitted
    }

    fn set_share(&mut self, now: Instant, rate_per_s: f64, share: f64) {
        self.fill(now);
        self.rate_per_s = rate_per_s * share;
        self.burst = rate_per_s * share;
        self.level = self.level.min(self.burst);
    }
}

/// Each entry has an equal share and enforces it by itself.
pub struct EvenShares {
    rate_per_s: f64,
    buckets: Vec<Bucket>,
}

impl EvenShares {
    pub fn new(entries: usize, rate_per_s: f64) -> Self {
        let share = rate_per_s / entries as f64;
        Self {
            rate_per_s,
            buckets: vec![Bucket::full(Instant::ZERO, share, share); entries],
        }
    }
}

impl QuotaScheme for EvenShares {
    fn name(&self) -> &'static str {
        "even"
    }

    fn tick(&mut self, _: Instant, _: &[EntryState]) {}

    fn take(
        &mut self,
        now: Instant,
        _: &[EntryState],
        entry: usize,
        cost: f64,
    ) -> bool {
        self.buckets[entry].take(now, cost)
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        let share = self.rate_per_s / self.buckets.len() as f64;
        self.buckets[entry] = Bucket::empty(now, share, share);
    }

    fn messages(&self) -> u64 {
        0
    }
}

/// Half of the rate is shared equally, the other half in proportion to the load that
/// each entry reports. An entry that can't be reached keeps its last share.
pub struct DemandShares {
    rate_per_s: f64,
    buckets: Vec<Bucket>,
    load: Vec<f64>,
    /// The smoothed load of each entry (inner) as known to each entry (outer).
    known_load: Vec<Vec<f64>>,
    messages: u64,
}

const EVEN_FRACTION: f64 = 0.5;

impl DemandShares {
    pub fn new(entries: usize, rate_per_s: f64) -> Self {
        let share = rate_per_s / entries as f64;
        Self {
            rate_per_s,
            buckets: vec![Bucket::full(Instant::ZERO, share, share); entries],
            load: vec![0.0; entries],
            known_load: vec![vec![0.0; entries]; entries],
            messages: 0,
        }
    }
}

impl QuotaScheme for DemandShares {
    fn name(&self) -> &'static str {
        "follows"
    }

    fn tick(&mut self, now: Instant, states: &[EntryState]) {
        if !now.as_ms().is_multiple_of(BROADCAST_INTERVAL_MS) {
            return;
        }
        let entries = states.len();
        for to in 0..entries {
            for from in 0..entries {
                if can_reach(states, from, to) {
                    let known_load = &mut self.known_load[to][from];
                    *known_load = *known_load * 0.8 + self.load[from] * 0.2;
                }
            }
            let total_load: f64 = self.known_load[to].iter().sum();
            let equal_fraction = 1.0 / entries as f64;
            let own_load_fraction = if total_load > 0.0 {
                self.known_load[to][to] / total_load
            } else {
                equal_fraction
            };
            let share = EVEN_FRACTION * equal_fraction
                + (1.0 - EVEN_FRACTION) * own_load_fraction;
            self.buckets[to].set_share(now, self.rate_per_s, share);
        }
        let up_count = states
            .iter()
            .filter(|state| **state == EntryState::Up)
            .count();
        self.messages += (up_count * up_count.saturating_sub(1)) as u64;
        self.load.fill(0.0);
    }

    fn take(
        &mut self,
        now: Instant,
        _: &[EntryState],
        entry: usize,
        cost: f64,
    ) -> bool {
        self.load[entry] += cost;
        self.buckets[entry].take(now, cost)
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        let share = self.rate_per_s / self.buckets.len() as f64;
        self.buckets[entry] = Bucket::empty(now, share, share);
        self.known_load[entry].fill(0.0);
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// The holder of a lease has nine tenths of the rate and is asked for each request.
/// While it can't be reached, each entry uses its equal share of the last tenth. The
/// lease expires after 5 s, and the next holder starts 3 s later.
pub struct LeasedCoordinator {
    lease_holder: usize,
    renewed_at: Instant,
    main_bucket: Bucket,
    fallback_buckets: Vec<Bucket>,
    rate_per_s: f64,
    messages: u64,
}

const LEASE_MS: u64 = 5_000;
const HANDOVER_DELAY_MS: u64 = 3_000;
const FALLBACK_FRACTION: f64 = 0.1;

impl LeasedCoordinator {
    pub fn new(entries: usize, rate_per_s: f64) -> Self {
        let fallback_share = rate_per_s * FALLBACK_FRACTION / entries as f64;
        let main_rate = rate_per_s * (1.0 - FALLBACK_FRACTION);
        Self {
            lease_holder: 0,
            renewed_at: Instant::ZERO,
            main_bucket: Bucket::full(Instant::ZERO, main_rate, main_rate),
            fallback_buckets: vec![
                Bucket::full(
                    Instant::ZERO,
                    fallback_share,
                    fallback_share
                );
                entries
            ],
            rate_per_s,
            messages: 0,
        }
    }
}

impl QuotaScheme for LeasedCoordinator {
    fn name(&self) -> &'static str {
        "leased"
    }

    fn tick(&mut self, now: Instant, states: &[EntryState]) {
        if states[self.lease_holder] == EntryState::Up {
            self.renewed_at = now;
        } else if now.ms_since(self.renewed_at) > LEASE_MS + HANDOVER_DELAY_MS {
            let next = states.iter().position(|state| *state == EntryState::Up);
            self.lease_holder = next.unwrap_or(self.lease_holder);
            self.renewed_at = now;
            self.main_bucket =
                Bucket::empty(now, self.main_bucket.rate_per_s, self.main_bucket.burst);
        }
    }

    fn take(
        &mut self,
        now: Instant,
        states: &[EntryState],
        entry: usize,
        cost: f64,
    ) -> bool {
        let holder_is_up = states[self.lease_holder] == EntryState::Up;
        if holder_is_up && can_reach(states, entry, self.lease_holder) {
            self.messages += 2 * u64::from(entry != self.lease_holder);
            return self.main_bucket.take(now, cost);
        }
        self.fallback_buckets[entry].take(now, cost)
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        let fallback_share =
            self.rate_per_s * FALLBACK_FRACTION / self.fallback_buckets.len() as f64;
        self.fallback_buckets[entry] =
            Bucket::empty(now, fallback_share, fallback_share);
        if entry == self.lease_holder {
            self.main_bucket =
                Bucket::empty(now, self.main_bucket.rate_per_s, self.main_bucket.burst);
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Each entry admits requests by the usage of all entries that it knows of, and
/// broadcasts its own usage. Usage above the limit is repaid later.
pub struct GossipedUsage {
    rate_per_s: f64,
    buckets: Vec<Bucket>,
    usage: Vec<f64>,
    messages: u64,
}

impl GossipedUsage {
    pub fn new(entries: usize, rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            buckets: vec![Bucket::full(Instant::ZERO, rate_per_s, rate_per_s); entries],
            usage: vec![0.0; entries],
            messages: 0,
        }
    }
}

impl QuotaScheme for GossipedUsage {
    fn name(&self) -> &'static str {
        "settles"
    }

    fn tick(&mut self, now: Instant, states: &[EntryState]) {
        if !now.as_ms().is_multiple_of(BROADCAST_INTERVAL_MS) {
            return;
        }
        for to in 0..states.len() {
            self.buckets[to].fill(now);
            for from in (0..states.len()).filter(|from| *from != to) {
                if can_reach(states, from, to) {
                    self.buckets[to].level -= self.usage[from];
                }
            }
        }
        let up_count = states
            .iter()
            .filter(|state| **state == EntryState::Up)
            .count();
        self.messages += (up_count * up_count.saturating_sub(1)) as u64;
        self.usage.fill(0.0);
    }

    fn take(
        &mut self,
        now: Instant,
        _: &[EntryState],
        entry: usize,
        cost: f64,
    ) -> bool {
        let bucket = &mut self.buckets[entry];
        bucket.fill(now);
        let is_admitted = bucket.level > 0.0;
        if is_admitted {
            bucket.level -= cost;
            self.usage[entry] += cost;
        }
        is_admitted
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        self.buckets[entry] = Bucket::empty(now, self.rate_per_s, self.rate_per_s);
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
