//! Entries, their faults and the requests of one workspace.

use base::prelude::*;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

use crate::faults::Fault;

/// Length of a day and of the window that is judged.
const DAY_MS: u64 = 30_000;
const WINDOW_MS: u64 = 8_000;

/// Time before the first request, in which entries find one another.
const LEAD_MS: u64 = 14_000;

/// When faults begin.
const FAULT_AT_MS: u64 = LEAD_MS + 10_000;

/// Tokens of a request: half of the mean, the mean, and three times it.
const COSTS: [f64; 4] = [1_200.0, 1_200.0, 2_400.0, 7_200.0];

const SEED: u64 = 7;

/// What an entry can do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Up,
    /// It runs and hears no other entry.
    Cut,
    /// It does nothing, and knows what it knew.
    Frozen,
    /// It does not run, and will know nothing.
    Down,
}

/// A way of keeping a workspace within its quota.
pub trait Way {
    fn name(&self) -> &'static str;

    /// A millisecond has passed.
    fn tick(&mut self, now: Instant, states: &[State]);

    /// A request at an entry that runs; whether it is let in.
    fn take(&mut self, now: Instant, states: &[State], entry: usize, cost: f64)
    -> bool;

    /// An entry has started; it knows nothing.
    fn restart(&mut self, now: Instant, entry: usize);

    /// The entry on which others rely most.
    fn relied_on(&self) -> usize {
        0
    }

    /// Messages sent so far.
    fn messages(&self) -> u64;
}

/// What became of a day.
#[derive(Debug)]
pub struct Played {
    /// Most that ran in a window, against rate times window and burst.
    pub worst_window: f64,
    /// Part of the requests that was refused, where demand was within the quota.
    pub refused_within: f64,
    /// Messages a second of one entry.
    pub messages_per_s: f64,
}

/// Whether entries hear one another.
pub fn hears(states: &[State], a: usize, b: usize) -> bool {
    a == b || (states[a] == State::Up && states[b] == State::Up)
}

pub fn play(
    way: &mut dyn Way,
    entries: usize,
    rate_per_s: f64,
    fault: Fault,
) -> Played {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut states = vec![State::Up; entries];
    let mut ran: VecDeque<(u64, f64)> = VecDeque::new();
    let (mut in_window, mut worst) = (0.0_f64, 0.0_f64);
    let (mut asked, mut refused) = (0_u64, 0_u64);
    let mean: f64 = COSTS.iter().sum::<f64>() / COSTS.len() as f64;
    let per_ms = rate_per_s * fault.demand() / mean / 1_000.0;
    let relied_on = way.relied_on();
    for ms in 0..LEAD_MS + DAY_MS {
        let now = Instant::from_ms(ms);
        for (entry, known) in states.iter_mut().enumerate() {
            let next = state(fault, entry, entries, relied_on, ms);
            if *known == State::Down && next != State::Down {
                way.restart(now, entry);
            }
            *known = next;
        }
        way.tick(now, &states);
        let arrivals = arrivals(&mut random, if ms < LEAD_MS { 0.0 } else { per_ms });
        for _ in 0..arrivals {
            let cost = COSTS[random.next_u64() as usize % COSTS.len()];
            let entry = reached(&mut random, fault, &states);
            asked += 1;
            if !way.take(now, &states, entry, cost) {
                refused += 1;
                continue;
            }
            ran.push_back((ms, cost));
            in_window += cost;
        }
        while ran.front().is_some_and(|(at, _)| at + WINDOW_MS <= ms) {
            in_window -= ran.pop_front().map_or(0.0, |(_, cost)| cost);
        }
        worst = worst.max(in_window);
    }
    let bound = rate_per_s * WINDOW_MS as f64 / 1_000.0 + rate_per_s;
    let within = fault.demand() < 1.0;
    let seconds = (LEAD_MS + DAY_MS) as f64 / 1_000.0;
    Played {
        worst_window: worst / bound,
        refused_within: if within {
            refused as f64 / asked.max(1) as f64
        } else {
            f64::NAN
        },
        messages_per_s: way.messages() as f64 / seconds / entries as f64,
    }
}

/// Requests in a millisecond, in the mean as many as these.
fn arrivals(random: &mut Pcg64Mcg, mean: f64) -> u32 {
    let more = unit(random) < mean.fract();
    mean as u32 + u32::from(more)
}

fn unit(random: &mut Pcg64Mcg) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// The entry that a caller reaches; callers find one that runs.
fn reached(random: &mut Pcg64Mcg, fault: Fault, states: &[State]) -> usize {
    let favourite = states.len() / 2;
    if fault == Fault::Skewed && !random.next_u64().is_multiple_of(10) {
        return favourite;
    }
    loop {
        let entry = random.next_u64() as usize % states.len();
        if matches!(states[entry], State::Up | State::Cut) {
            return entry;
        }
    }
}

fn state(
    fault: Fault,
    entry: usize,
    entries: usize,
    relied_on: usize,
    ms: u64,
) -> State {
    let Some(since_ms) = ms.checked_sub(FAULT_AT_MS) else {
        return State::Up;
    };
    let third = entry.is_multiple_of(3);
    match fault {
        Fault::Cut if third && since_ms < 6_000 => State::Cut,
        Fault::Frozen if third && since_ms < 3_000 => State::Frozen,
        Fault::Herds if entry.is_multiple_of(2) && since_ms % 5_000 < 2_000 => {
            State::Down
        }
        Fault::Rolling => {
            let turn = (since_ms / 1_000) as usize;
            if turn < entries && turn % entries == entry {
                State::Down
            } else {
                State::Up
            }
        }
        Fault::Keeper if entry == relied_on && since_ms < 4_000 => State::Down,
        _ => State::Up,
    }
}
