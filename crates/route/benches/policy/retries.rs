//! Measures the load that retries add while part of a pool fails.
//!
//! Each request is sent to random upstreams that it has not been sent to, up to
//! four times in all. A failing upstream fails every request.

use base::prelude::*;
use route::RetryBudget;

use crate::events::Random;

const UPSTREAMS: usize = 18;
const ATTEMPTS_MAX: usize = 4;
const RATE_PER_S: f64 = 100.0;
const SECONDS: f64 = 60.0;
const RETRY_PERCENT: u32 = 10;

#[derive(Debug, Default)]
struct Counts {
    first_attempts: u64,
    attempts: u64,
    succeeded: u64,
}

fn run(failing: usize, budget: Option<u32>) -> Counts {
    let mut random = Random::new(11);
    let mut budget = budget.map(RetryBudget::new);
    let mut counts = Counts::default();
    let mut now_us = 0.0;
    while now_us < SECONDS * 1e6 {
        now_us += random.exponential(1e6 / RATE_PER_S);
        let now = Instant::from_us(now_us as u64);
        counts.first_attempts += 1;
        if let Some(budget) = &mut budget {
            budget.record_first_attempt(now);
        }
        send_with_retries(now, failing, budget.as_mut(), &mut random, &mut counts);
    }
    counts
}

fn send_with_retries(
    now: Instant,
    failing: usize,
    mut budget: Option<&mut RetryBudget>,
    random: &mut Random,
    counts: &mut Counts,
) {
    let mut untried: Vec<usize> = (0..UPSTREAMS).collect();
    for _ in 0..ATTEMPTS_MAX {
        counts.attempts += 1;
        let upstream = untried.swap_remove(random.below(untried.len()));
        if upstream >= failing {
            counts.succeeded += 1;
            return;
        }
        if !budget.as_mut().is_none_or(|budget| budget.try_acquire(now)) {
            return;
        }
    }
}

pub fn print() {
    println!("\nretries: 60 s at 100 requests/s, 18 upstreams, four attempts at most");
    println!(
        "{:>8} {:>7} | {:>14} {:>6}",
        "failing", "budget", "attempts/first", "done%"
    );
    for failing in [0, 1, 6, 18] {
        for (name, budget) in [("none", None), ("10%", Some(RETRY_PERCENT))] {
            let counts = run(failing, budget);
            println!(
                "{failing:>8} {name:>7} | {:>14.2} {:>6.1}",
                counts.attempts as f64 / counts.first_attempts as f64,
                counts.succeeded as f64 * 100.0 / counts.first_attempts as f64,
            );
        }
    }
}
