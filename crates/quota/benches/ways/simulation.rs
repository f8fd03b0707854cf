//! Simulation of entries with faults and of the requests of one workspace.

use base::prelude::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

use crate::faults::Fault;

/// Length of a run without the warm-up, and of the window in which granted tokens are
/// summed.
const RUN_MS: u64 = 30_000;
const WINDOW_MS: u64 = 8_000;

/// Time before the first request, in which the entries discover each other.
const WARM_UP_MS: u64 = 14_000;

/// Time at which faults begin.
const FAULT_AT_MS: u64 = WARM_UP_MS + 10_000;

/// Tokens of a request; 3,000 on average.
const COSTS: [f64; 4] = [1_200.0, 1_200.0, 2_400.0, 7_200.0];

const SEED: u64 = 7;

/// State of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryState {
    Up,
    /// The entry runs but can't exchange messages with others.
    Cut,
    /// The entry is suspended and keeps its state.
    Frozen,
    /// The entry is not running and has lost its state.
    Down,
}

/// A scheme that keeps a workspace within its quota.
pub trait QuotaScheme {
    fn name(&self) -> &'static str;

    /// Called every millisecond.
    fn tick(&mut self, now: Instant, states: &[EntryState]);

    /// Handles a request at a running entry. Returns whether it is admitted.
    fn take(
        &mut self,
        now: Instant,
        states: &[EntryState],
        entry: usize,
        cost: f64,
    ) -> bool;

    /// Called when an entry has started without any state.
    fn restart(&mut self, now: Instant, entry: usize);

    /// The entry on which others rely most.
    fn most_relied_on_entry(&self) -> usize {
        0
    }

    /// Number of messages sent so far.
    fn messages(&self) -> u64;
}

/// Result of a run.
#[derive(Debug)]
pub struct SimulationResult {
    /// Most tokens granted in a window, relative to rate times window plus burst.
    pub max_window_use: f64,
    /// Fraction of the requests that were refused; NaN if the load exceeded the quota.
    pub refused_fraction: f64,
    /// Messages a second of one entry.
    pub messages_per_s: f64,
}

/// Whether two entries can exchange messages.
pub fn can_reach(states: &[EntryState], a: usize, b: usize) -> bool {
    a == b || (states[a] == EntryState::Up && states[b] == EntryState::Up)
}

pub fn simulate(
    scheme: &mut dyn QuotaScheme,
    entries: usize,
    rate_per_s: f64,
    fault: Fault,
) -> SimulationResult {
    let mut generator = Pcg64Mcg::seed_from_u64(SEED);
    let mut states = vec![EntryState::Up; entries];
    let mut granted: VecDeque<(u64, f64)> = VecDeque::new();
    let (mut window_use, mut peak_use) = (0.0_f64, 0.0_f64);
    let (mut requested, mut refused) = (0_u64, 0_u64);
    let mean: f64 = COSTS.iter().sum::<f64>() / COSTS.len() as f64;
    let per_ms = rate_per_s * fault.demand() / mean / 1_000.0;
    let most_relied_on_entry = scheme.most_relied_on_entry();
    for ms in 0..WARM_UP_MS + RUN_MS {
        let now = Instant::from_ms(ms);
        for (entry, current) in states.iter_mut().enumerate() {
            let next = entry_state(fault, entry, entries, most_relied_on_entry, ms);
            if *current == EntryState::Down && next != EntryState::Down {
                scheme.restart(now, entry);
            }
            *current = next;
        }
        scheme.tick(now, &states);
        let arrivals =
            arrivals(&mut generator, if ms < WARM_UP_MS { 0.0 } else { per_ms });
        for _ in 0..arrivals {
            let cost = COSTS[generator.next_u64() as usize % COSTS.len()];
            let entry = choose_entry(&mut generator, fault, &states);
            requested += 1;
            if !scheme.take(now, &states, entry, cost) {
                refused += 1;
                continue;
            }
            granted.push_back((ms, cost));
            window_use += cost;
        }
        while granted.front().is_some_and(|(at, _)| at + WINDOW_MS <= ms) {
            window_use -= granted.pop_front().map_or(0.0, |(_, cost)| cost);
        }
        peak_use = peak_use.max(window_use);
    }
    let allowed = rate_per_s * WINDOW_MS as f64 / 1_000.0 + rate_per_s;
    let is_within_quota = fault.demand() < 1.0;
    let seconds = (WARM_UP_MS + RUN_MS) as f64 / 1_000.0;
    SimulationResult {
        max_window_use: peak_use / allowed,
        refused_fraction: if is_within_quota {
            refused as f64 / requested.max(1) as f64
        } else {
            f64::NAN
        },
        messages_per_s: scheme.messages() as f64 / seconds / entries as f64,
    }
}

/// Number of requests in one millisecond, `mean` on average.
fn arrivals(generator: &mut Pcg64Mcg, mean: f64) -> u32 {
    let extra = random_unit(generator) < mean.fract();
    mean as u32 + u32::from(extra)
}

fn random_unit(generator: &mut Pcg64Mcg) -> f64 {
    (generator.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// The entry that receives a request. Callers choose a running entry.
fn choose_entry(
    generator: &mut Pcg64Mcg,
    fault: Fault,
    states: &[EntryState],
) -> usize {
    let hot_entry = states.len() / 2;
    if fault == Fault::Skewed && !generator.next_u64().is_multiple_of(10) {
        return hot_entry;
    }
    loop {
        let entry = generator.next_u64() as usize % states.len();
        if matches!(states[entry], EntryState::Up | EntryState::Cut) {
            return entry;
        }
    }
}

fn entry_state(
    fault: Fault,
    entry: usize,
    entries: usize,
    most_relied_on_entry: usize,
    ms: u64,
) -> EntryState {
    let Some(since_ms) = ms.checked_sub(FAULT_AT_MS) else {
        return EntryState::Up;
    };
    let in_affected_third = entry.is_multiple_of(3);
    match fault {
        Fault::Cut if in_affected_third && since_ms < 6_000 => EntryState::Cut,
        Fault::Frozen if in_affected_third && since_ms < 3_000 => EntryState::Frozen,
        Fault::Herds if entry.is_multiple_of(2) && since_ms % 5_000 < 2_000 => {
            EntryState::Down
        }
        Fault::Rolling => {
            let turn = (since_ms / 1_000) as usize;
            if turn < entries && turn % entries == entry {
                EntryState::Down
            } else {
                EntryState::Up
            }
        }
        Fault::Keeper if entry == most_relied_on_entry && since_ms < 4_000 => {
            EntryState::Down
        }
        _ => EntryState::Up,
    }
}
