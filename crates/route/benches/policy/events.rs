//! Event queue, random numbers and percentiles.

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Events ordered by time in microseconds, then by insertion.
#[derive(Debug)]
pub struct Events<T> {
    pending: BTreeMap<(u64, u64), T>,
    next_sequence: u64,
}

impl<T> Events<T> {
    pub fn new() -> Self {
        Self {
            pending: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    pub fn schedule(&mut self, at_us: u64, event: T) {
        self.pending.insert((at_us, self.next_sequence), event);
        self.next_sequence += 1;
    }

    pub fn pop(&mut self) -> Option<(u64, T)> {
        let ((at_us, _), event) = self.pending.pop_first()?;
        Some((at_us, event))
    }
}

/// Seeded random number generator.
#[derive(Debug)]
pub struct Random(pub Pcg64Mcg);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Draws uniformly from 0 up to, but not including, 1.
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// Draws from an exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Draws uniformly from the integers below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        ((self.uniform() * bound as f64) as usize).min(bound - 1)
    }
}

/// Value below which `percent` of the sorted values lie.
pub fn percentile(sorted: &[u64], percent: usize) -> u64 {
    match sorted.len() {
        0 => 0,
        len => sorted[(len * percent / 100).min(len - 1)],
    }
}
