//! Events in order of time, random draws, and percentiles.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Events by time in microseconds, then in order of setting.
#[derive(Debug)]
pub struct Events<T> {
    pending: BTreeMap<(u64, u64), T>,
    next: u64,
}

impl<T> Events<T> {
    pub fn new() -> Self {
        Self {
            pending: BTreeMap::new(),
            next: 0,
        }
    }

    pub fn set(&mut self, at_us: u64, event: T) {
        self.pending.insert((at_us, self.next), event);
        self.next += 1;
    }

    pub fn take(&mut self) -> Option<(u64, T)> {
        let ((at_us, _), event) = self.pending.pop_first()?;
        Some((at_us, event))
    }
}

/// Draws from one seeded generator.
#[derive(Debug)]
pub struct Draw(pub Pcg64Mcg);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Evenly from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// Exponentially distributed with the mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Evenly below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        ((self.unit() * bound as f64) as usize).min(bound - 1)
    }
}

/// The value below which `percent` of the sorted values lie.
pub fn percentile(sorted: &[u64], percent: usize) -> u64 {
    match sorted.len() {
        0 => 0,
        len => sorted[(len * percent / 100).min(len - 1)],
    }
}
