//! The ways that were weighed against the one that is kept.

use base::prelude::*;

use crate::world::{State, Way, hears};

/// Time between two messages to all others.
const TOLD_EVERY_MS: u64 = 200;

/// A token bucket.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    const fn full(now: Instant, rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            at: now,
        }
    }

    const fn empty(now: Instant, rate_per_s: f64, burst: f64) -> Self {
        Self {
            level: 0.0,
            ..Self::full(now, rate_per_s, burst)
        }
    }

    fn fill(&mut self, now: Instant) {
        let made = self.rate_per_s * now.since(self.at).as_secs_f64();
        self.level = (self.level + made).min(self.burst);
        self.at = now;
    }

    fn take(&mut self, now: Instant, cost: f64) -> bool {
        self.fill(now);
        let has = self.level >= cost;
        if has {
            self.level -= cost;
        }
        has
    }

    fn set_part(&mut self, now: Instant, rate_per_s: f64, part: f64) {
        self.fill(now);
        self.rate_per_s = rate_per_s * part;
        self.burst = rate_per_s * part;
        self.level = self.level.min(self.burst);
    }
}

/// Each entry has an even part, for itself.
pub struct Even {
    rate_per_s: f64,
    buckets: Vec<Bucket>,
}

impl Even {
    pub fn new(entries: usize, rate_per_s: f64) -> Self {
        let part = rate_per_s / entries as f64;
        Self {
            rate_per_s,
            buckets: vec![Bucket::full(Instant::ZERO, part, part); entries],
        }
    }
}

impl Way for Even {
    fn name(&self) -> &'static str {
        "even"
    }

    fn tick(&mut self, _: Instant, _: &[State]) {}

    fn take(&mut self, now: Instant, _: &[State], entry: usize, cost: f64) -> bool {
        self.buckets[entry].take(now, cost)
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        let part = self.rate_per_s / self.buckets.len() as f64;
        self.buckets[entry] = Bucket::empty(now, part, part);
    }

    fn messages(&self) -> u64 {
        0
    }
}

/// Parts follow what each entry says it was asked for; half is shared out evenly. One
/// that is not heard keeps the part that it was last known to have.
pub struct Following {
    rate_per_s: f64,
    buckets: Vec<Bucket>,
    asked: Vec<f64>,
    /// What each entry knows that each entry was asked for.
    known: Vec<Vec<f64>>,
    messages: u64,
}

const FLOOR: f64 = 0.5;

impl Following {
    pub fn new(entries: usize, rate_per_s: f64) -> Self {
        let part = rate_per_s / entries as f64;
        Self {
            rate_per_s,
            buckets: vec![Bucket::full(Instant::ZERO, part, part); entries],
            asked: vec![0.0; entries],
            known: vec![vec![0.0; entries]; entries],
            messages: 0,
        }
    }
}

impl Way for Following {
    fn name(&self) -> &'static str {
        "follows"
    }

    fn tick(&mut self, now: Instant, states: &[State]) {
        if !now.as_ms().is_multiple_of(TOLD_EVERY_MS) {
            return;
        }
        let entries = states.len();
        for to in 0..entries {
            for from in 0..entries {
                if hears(states, from, to) {
                    let known = &mut self.known[to][from];
                    *known = *known * 0.8 + self.asked[from] * 0.2;
                }
            }
            let all: f64 = self.known[to].iter().sum();
            let even = 1.0 / entries as f64;
            let used = if all > 0.0 {
                self.known[to][to] / all
            } else {
                even
            };
            let part = FLOOR * even + (1.0 - FLOOR) * used;
            self.buckets[to].set_part(now, self.rate_per_s, part);
        }
        let up = states.iter().filter(|state| **state == State::Up).count();
        self.messages += (up * up.saturating_sub(1)) as u64;
        self.asked.fill(0.0);
    }

    fn take(&mut self, now: Instant, _: &[State], entry: usize, cost: f64) -> bool {
        self.asked[entry] += cost;
        self.buckets[entry].take(now, cost)
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        let part = self.rate_per_s / self.buckets.len() as f64;
        self.buckets[entry] = Bucket::empty(now, part, part);
        self.known[entry].fill(0.0);
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// One entry at a time, by a lease, has the whole and is asked; without it, each has a
/// part of a tenth. The lease is good for 5 s, and the next one begins 3 s later.
pub struct Leased {
    holder: usize,
    renewed_at: Instant,
    whole: Bucket,
    floors: Vec<Bucket>,
    rate_per_s: f64,
    messages: u64,
}

const LEASE_MS: u64 = 5_000;
const QUIET_MS: u64 = 3_000;
const FLOOR_OF_ALL: f64 = 0.1;

impl Leased {
    pub fn new(entries: usize, rate_per_s: f64) -> Self {
        let floor = rate_per_s * FLOOR_OF_ALL / entries as f64;
        let rest = rate_per_s * (1.0 - FLOOR_OF_ALL);
        Self {
            holder: 0,
            renewed_at: Instant::ZERO,
            whole: Bucket::full(Instant::ZERO, rest, rest),
            floors: vec![Bucket::full(Instant::ZERO, floor, floor); entries],
            rate_per_s,
            messages: 0,
        }
    }
}

impl Way for Leased {
    fn name(&self) -> &'static str {
        "leased"
    }

    fn tick(&mut self, now: Instant, states: &[State]) {
        if states[self.holder] == State::Up {
            self.renewed_at = now;
        } else if now.ms_since(self.renewed_at) > LEASE_MS + QUIET_MS {
            let next = states.iter().position(|state| *state == State::Up);
            self.holder = next.unwrap_or(self.holder);
            self.renewed_at = now;
            self.whole = Bucket::empty(now, self.whole.rate_per_s, self.whole.burst);
        }
    }

    fn take(
        &mut self,
        now: Instant,
        states: &[State],
        entry: usize,
        cost: f64,
    ) -> bool {
        let held = states[self.holder] == State::Up;
        if held && hears(states, entry, self.holder) {
            self.messages += 2 * u64::from(entry != self.holder);
            return self.whole.take(now, cost);
        }
        self.floors[entry].take(now, cost)
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        let floor = self.rate_per_s * FLOOR_OF_ALL / self.floors.len() as f64;
        self.floors[entry] = Bucket::empty(now, floor, floor);
        if entry == self.holder {
            self.whole = Bucket::empty(now, self.whole.rate_per_s, self.whole.burst);
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Each entry lets in by what all have spent as far as it heard, and tells what it
/// spent itself; what was spent too much is paid later.
pub struct Settling {
    rate_per_s: f64,
    buckets: Vec<Bucket>,
    spent: Vec<f64>,
    messages: u64,
}

impl Settling {
    pub fn new(entries: usize, rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            buckets: vec![Bucket::full(Instant::ZERO, rate_per_s, rate_per_s); entries],
            spent: vec![0.0; entries],
            messages: 0,
        }
    }
}

impl Way for Settling {
    fn name(&self) -> &'static str {
        "settles"
    }

    fn tick(&mut self, now: Instant, states: &[State]) {
        if !now.as_ms().is_multiple_of(TOLD_EVERY_MS) {
            return;
        }
        for to in 0..states.len() {
            self.buckets[to].fill(now);
            for from in (0..states.len()).filter(|from| *from != to) {
                if hears(states, from, to) {
                    self.buckets[to].level -= self.spent[from];
                }
            }
        }
        let up = states.iter().filter(|state| **state == State::Up).count();
        self.messages += (up * up.saturating_sub(1)) as u64;
        self.spent.fill(0.0);
    }

    fn take(&mut self, now: Instant, _: &[State], entry: usize, cost: f64) -> bool {
        let bucket = &mut self.buckets[entry];
        bucket.fill(now);
        let has = bucket.level > 0.0;
        if has {
            bucket.level -= cost;
            self.spent[entry] += cost;
        }
        has
    }

    fn restart(&mut self, now: Instant, entry: usize) {
        self.buckets[entry] = Bucket::empty(now, self.rate_per_s, self.rate_per_s);
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
