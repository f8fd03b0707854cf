//! Load that retries add while part of a pool fails.
//!
//! Each request is tried at a random upstream of those not tried yet, up to four
//! times in all. A failing upstream fails whatever it is sent.

use base::prelude::*;
use route::RetryBudget;

use crate::events::Draw;

const UPSTREAMS: usize = 18;
const TRIES_MAX: usize = 4;
const RATE_PER_S: f64 = 100.0;
const SECONDS: f64 = 60.0;
const RETRY_PERCENT: u32 = 10;

#[derive(Debug, Default)]
struct Tally {
    first_tries: u64,
    attempts: u64,
    done: u64,
}

fn run(failing: usize, budget: Option<u32>) -> Tally {
    let mut draw = Draw::new(11);
    let mut budget = budget.map(RetryBudget::new);
    let mut tally = Tally::default();
    let mut now_us = 0.0;
    while now_us < SECONDS * 1e6 {
        now_us += draw.exponential(1e6 / RATE_PER_S);
        let now = Instant::from_us(now_us as u64);
        tally.first_tries += 1;
        if let Some(budget) = &mut budget {
            budget.record_first_attempt(now);
        }
        one(now, failing, budget.as_mut(), &mut draw, &mut tally);
    }
    tally
}

fn one(
    now: Instant,
    failing: usize,
    mut budget: Option<&mut RetryBudget>,
    draw: &mut Draw,
    tally: &mut Tally,
) {
    let mut open: Vec<usize> = (0..UPSTREAMS).collect();
    for _ in 0..TRIES_MAX {
        tally.attempts += 1;
        let upstream = open.swap_remove(draw.below(open.len()));
        if upstream >= failing {
            tally.done += 1;
            return;
        }
        if !budget.as_mut().is_none_or(|budget| budget.try_acquire(now)) {
            return;
        }
    }
}

pub fn print() {
    println!("\nretries: 60 s at 100 requests/s, 18 upstreams, four tries at most");
    println!(
        "{:>8} {:>7} | {:>14} {:>6}",
        "failing", "budget", "attempts/first", "done%"
    );
    for failing in [0, 1, 6, 18] {
        for (name, budget) in [("none", None), ("10%", Some(RETRY_PERCENT))] {
            let tally = run(failing, budget);
            println!(
                "{failing:>8} {name:>7} | {:>14.2} {:>6.1}",
                tally.attempts as f64 / tally.first_tries as f64,
                tally.done as f64 * 100.0 / tally.first_tries as f64,
            );
        }
    }
}
