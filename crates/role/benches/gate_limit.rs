//! Measures the gate's fixed number of places against one that follows the step's
//! floor, and one that follows the expected time between tokens, on a seeded engine whose step takes longer the fuller its batch is.
//!
//! Time is a number that the steps move on, so the run gives the same table
//! every time. `docs/design/gate.md` holds the figures and the decision.

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use role::agent::ConcurrencyLimit;
use route::AdaptiveConcurrencyLimit;
use std::collections::VecDeque;

/// Length of a run.
const RUN_US: u64 = 600_000_000;

/// Time between two reports of the engine.
const REPORT_US: u64 = 150_000;

/// Step of a batch of one.
const STEP_US: u64 = 20_000;

/// Expected time to the first token; who waits longer for a place is refused.
const FIRST_TOKEN_US: u64 = 1_000_000;

/// Mean length of an answer.
const TOKENS: u64 = 100;

/// The engine's places by the settings.
const CONCURRENT_MAX: u32 = 32;

/// How the step grows: percent of the first step for each further request, up
/// to the knee and beyond it.
struct Growth {
    name: &'static str,
    below: u64,
    knee: u64,
    above: u64,
}

const GROWTHS: [Growth; 4] = [
    Growth {
        name: "1 % each",
        below: 1,
        knee: 1_000,
        above: 1,
    },
    Growth {
        name: "4 % each",
        below: 4,
        knee: 1_000,
        above: 4,
    },
    Growth {
        name: "10 % each",
        below: 10,
        knee: 1_000,
        above: 10,
    },
    Growth {
        name: "1 %, above 16 20 %",
        below: 1,
        knee: 16,
        above: 20,
    },
];

impl Growth {
    fn step_us(&self, batch: u64) -> u64 {
        let more = batch.saturating_sub(1);
        let below = more.min(self.knee) * self.below;
        let above = more.saturating_sub(self.knee) * self.above;
        STEP_US * (100 + below + above) / 100
    }

    /// Answers per second of the full batch, times 1,000.
    fn capacity_milli(&self) -> u64 {
        let batch = u64::from(CONCURRENT_MAX);
        batch * 1_000_000_000 / (self.step_us(batch) * TOKENS)
    }
}

/// One request in the batch.
struct Running {
    arrived_us: u64,
    first_us: Option<u64>,
    tokens: u64,
    left: u64,
}

/// What came of a run.
#[derive(Default)]
struct Sums {
    arrived: u64,
    ended: u64,
    /// Ended, and within the expectation between tokens.
    between: u64,
    /// Within both expectations.
    both: u64,
    limit: u64,
    steps: u64,
}

fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u32() as f64 + 0.5) / 4_294_967_296.0
}

fn exponential(rng: &mut Pcg64Mcg, mean: f64) -> u64 {
    (-uniform(rng).ln() * mean) as u64
}

#[derive(Debug, Clone, Copy)]
enum Places {
    Fixed,
    Floor,
    Expected,
}

fn run(growth: &Growth, load_percent: u64, between_us: u64, by: Places) -> Sums {
    let mut rng = Pcg64Mcg::new(0x5eed_1234_5678_9abc_def1);
    let per_s = growth.capacity_milli() as f64 * load_percent as f64 / 100_000.0;
    let gap_us = 1_000_000.0 / per_s;
    let mut limit = AdaptiveConcurrencyLimit::new(CONCURRENT_MAX, STEP_US as u32);
    let mut expected = ConcurrencyLimit::default();
    expected.configure(CONCURRENT_MAX);
    let mut sums = Sums::default();
    let mut queue: VecDeque<(u64, u64)> = VecDeque::new();
    let mut batch: Vec<Running> = Vec::new();
    let (mut now, mut next, mut report) = (0, exponential(&mut rng, gap_us), 0);
    while now < RUN_US {
        while next <= now {
            let tokens = exponential(&mut rng, TOKENS as f64) + 2;
            queue.push_back((next, tokens));
            sums.arrived += 1;
            next += exponential(&mut rng, gap_us) + 1;
        }
        let places = match by {
            Places::Fixed => CONCURRENT_MAX,
            Places::Floor => limit.limit(),
            Places::Expected => expected.limit(),
        } as usize;
        while queue
            .front()
            .is_some_and(|(at, _)| now - at > FIRST_TOKEN_US)
        {
            queue.pop_front();
        }
        while batch.len() < places {
            let Some((arrived_us, tokens)) = queue.pop_front() else {
                break;
            };
            batch.push(Running {
                arrived_us,
                first_us: None,
                tokens,
                left: tokens,
            });
        }
        if batch.is_empty() {
            now = next;
            continue;
        }
        let step_us = growth.step_us(batch.len() as u64);
        now += step_us;
        sums.steps += 1;
        sums.limit += places as u64;
        if now >= report {
            limit.observe(step_us as u32);
            expected.observe(step_us as u32, between_us, batch.len() >= places);
            report = now + REPORT_US;
        }
        for held in &mut batch {
            held.first_us.get_or_insert(now);
            held.left -= 1;
        }
        for held in batch.extract_if(.., |held| held.left == 0) {
            let first_us = held.first_us.unwrap_or(now);
            let mean_us = (now - first_us) / (held.tokens - 1);
            let between = mean_us <= between_us;
            let in_time = first_us - held.arrived_us <= FIRST_TOKEN_US;
            sums.ended += 1;
            sums.between += u64::from(between);
            sums.both += u64::from(between && in_time);
        }
    }
    sums
}

fn main() {
    println!(
        "step growth | load % | between ms | places | limit | ended/s | between attained % of ended | both attained % of arrived"
    );
    for growth in &GROWTHS {
        for load_percent in [70, 100, 150] {
            for between_us in [10_000, 30_000, 45_000, 80_000] {
                for by in [Places::Fixed, Places::Floor, Places::Expected] {
                    let sums = run(growth, load_percent, between_us, by);
                    println!(
                        "{} | {load_percent} | {} | {by:?} | {:.1} | {:.2} | {:.1} | {:.1}",
                        growth.name,
                        between_us / 1_000,
                        sums.limit as f64 / sums.steps.max(1) as f64,
                        sums.ended as f64 * 1e6 / RUN_US as f64,
                        sums.between as f64 * 100.0 / sums.ended.max(1) as f64,
                        sums.both as f64 * 100.0 / sums.arrived.max(1) as f64,
                    );
                }
            }
        }
    }
}
