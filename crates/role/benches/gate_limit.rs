//! Compares three concurrency limits on a seeded simulation of an engine whose
//! step takes longer the fuller its batch is: a fixed limit, one that follows
//! the shortest step, and one that follows the target time between tokens.
//!
//! Time is simulated, so every run prints the same table. `docs/design/gate.md`
//! has the figures and the decision.

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use role::agent::ConcurrencyLimit;
use route::AdaptiveConcurrencyLimit;
use std::collections::VecDeque;

/// Simulated duration of a run.
const RUN_DURATION_US: u64 = 600_000_000;

/// Time between two reports of the engine.
const REPORT_INTERVAL_US: u64 = 150_000;

/// Step time of a batch of one.
const BASE_STEP_US: u64 = 20_000;

/// Target time to the first token; a request that waits longer for a slot is
/// refused.
const FIRST_TOKEN_TARGET_US: u64 = 1_000_000;

/// Mean length of an answer, in tokens.
const MEAN_ANSWER_TOKENS: u64 = 100;

/// The configured maximum of concurrent requests.
const CONCURRENT_MAX: u32 = 32;

/// Growth of the step time with the batch size: percent of the first step for
/// each further request, below and above the knee.
struct Growth {
    name: &'static str,
    percent_below: u64,
    knee: u64,
    percent_above: u64,
}

const GROWTHS: [Growth; 4] = [
    Growth {
        name: "1 % each",
        percent_below: 1,
        knee: 1_000,
        percent_above: 1,
    },
    Growth {
        name: "4 % each",
        percent_below: 4,
        knee: 1_000,
        percent_above: 4,
    },
    Growth {
        name: "10 % each",
        percent_below: 10,
        knee: 1_000,
        percent_above: 10,
    },
    Growth {
        name: "1 %, above 16 20 %",
        percent_below: 1,
        knee: 16,
        percent_above: 20,
    },
];

impl Growth {
    fn step_us(&self, batch: u64) -> u64 {
        let more = batch.saturating_sub(1);
        let below = more.min(self.knee) * self.percent_below;
        let above = more.saturating_sub(self.knee) * self.percent_above;
        BASE_STEP_US * (100 + below + above) / 100
    }

    /// Capacity of the full batch, in thousandths of an answer per second.
    fn capacity_milli(&self) -> u64 {
        let batch = u64::from(CONCURRENT_MAX);
        batch * 1_000_000_000 / (self.step_us(batch) * MEAN_ANSWER_TOKENS)
    }
}

/// One request in the batch.
struct Running {
    arrived_us: u64,
    first_token_us: Option<u64>,
    tokens: u64,
    tokens_left: u64,
}

/// Totals of a run.
#[derive(Default)]
struct Totals {
    arrived: u64,
    ended: u64,
    /// Answers that met the target time between tokens.
    met_between_tokens: u64,
    /// Answers that met both targets.
    met_both: u64,
    limit_sum: u64,
    steps: u64,
}

fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u32() as f64 + 0.5) / 4_294_967_296.0
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> u64 {
    (-uniform(rng).ln() * mean) as u64
}

/// How the concurrency limit is chosen.
#[derive(Debug, Clone, Copy)]
enum LimitPolicy {
    /// Always the configured maximum.
    Fixed,
    /// [`AdaptiveConcurrencyLimit`], which follows the shortest step time.
    Floor,
    /// [`ConcurrencyLimit`], which follows the target time between tokens.
    Expected,
}

fn run(
    growth: &Growth,
    load_percent: u64,
    target_between_tokens_us: u64,
    policy: LimitPolicy,
) -> Totals {
    let mut rng = Pcg64Mcg::new(0x5eed_1234_5678_9abc_def1);
    let arrivals_per_s =
        growth.capacity_milli() as f64 * load_percent as f64 / 100_000.0;
    let mean_gap_us = 1_000_000.0 / arrivals_per_s;
    let mut step_limit =
        AdaptiveConcurrencyLimit::new(CONCURRENT_MAX, BASE_STEP_US as u32);
    let mut token_limit = ConcurrencyLimit::default();
    token_limit.configure(CONCURRENT_MAX);
    let mut totals = Totals::default();
    let mut queue: VecDeque<(u64, u64)> = VecDeque::new();
    let mut batch: Vec<Running> = Vec::new();
    let (mut now, mut next_arrival, mut next_report) =
        (0, exponential(&mut rng, mean_gap_us), 0);
    while now < RUN_DURATION_US {
        while next_arrival <= now {
            let tokens = exponential(&mut rng, MEAN_ANSWER_TOKENS as f64) + 2;
            queue.push_back((next_arrival, tokens));
            totals.arrived += 1;
            next_arrival += exponential(&mut rng, mean_gap_us) + 1;
        }
        let limit = match policy {
            LimitPolicy::Fixed => CONCURRENT_MAX,
            LimitPolicy::Floor => step_limit.limit(),
            LimitPolicy::Expected => token_limit.limit(),
        } as usize;
        while queue
            .front()
            .is_some_and(|(at, _)| now - at > FIRST_TOKEN_TARGET_US)
        {
            queue.pop_front();
        }
        while batch.len() < limit {
            let Some((arrived_us, tokens)) = queue.pop_front() else {
                break;
            };
            batch.push(Running {
                arrived_us,
                first_token_us: None,
                tokens,
                tokens_left: tokens,
            });
        }
        if batch.is_empty() {
            now = next_arrival;
            continue;
        }
        let step_us = growth.step_us(batch.len() as u64);
        now += step_us;
        totals.steps += 1;
        totals.limit_sum += limit as u64;
        if now >= next_report {
            step_limit.observe(step_us as u32);
            token_limit.observe(
                step_us as u32,
                target_between_tokens_us,
                batch.len() >= limit,
            );
            next_report = now + REPORT_INTERVAL_US;
        }
        for request in &mut batch {
            request.first_token_us.get_or_insert(now);
            request.tokens_left -= 1;
        }
        for request in batch.extract_if(.., |request| request.tokens_left == 0) {
            let first_token_us = request.first_token_us.unwrap_or(now);
            let mean_between_us = (now - first_token_us) / (request.tokens - 1);
            let between_in_time = mean_between_us <= target_between_tokens_us;
            let first_in_time =
                first_token_us - request.arrived_us <= FIRST_TOKEN_TARGET_US;
            totals.ended += 1;
            totals.met_between_tokens += u64::from(between_in_time);
            totals.met_both += u64::from(between_in_time && first_in_time);
        }
    }
    totals
}

fn main() {
    println!(
        "step growth | load % | target between tokens ms | policy | mean limit | ended/s | between tokens attained % of ended | both targets attained % of arrived"
    );
    for growth in &GROWTHS {
        for load_percent in [70, 100, 150] {
            for target_between_tokens_us in [10_000, 30_000, 45_000, 80_000] {
                for policy in [
                    LimitPolicy::Fixed,
                    LimitPolicy::Floor,
                    LimitPolicy::Expected,
                ] {
                    let totals =
                        run(growth, load_percent, target_between_tokens_us, policy);
                    println!(
                        "{} | {load_percent} | {} | {policy:?} | {:.1} | {:.2} | {:.1} | {:.1}",
                        growth.name,
                        target_between_tokens_us / 1_000,
                        totals.limit_sum as f64 / totals.steps.max(1) as f64,
                        totals.ended as f64 * 1e6 / RUN_DURATION_US as f64,
                        totals.met_between_tokens as f64 * 100.0
                            / totals.ended.max(1) as f64,
                        totals.met_both as f64 * 100.0 / totals.arrived.max(1) as f64,
                    );
                }
            }
        }
    }
}
