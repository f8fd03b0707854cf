//! Random sequences of faults in a simulated deployment, generated from seeds.
//!
//! Each seed yields the text of a scenario: a minute of faults and requests, then
//! all faults end, and after a pause each model and service must answer. The
//! simulation also checks the invariants that hold in every run. The text of a
//! failing seed is printed; it can be saved as a file under `tests/scenarios`.
//!
//! ```text
//! SESAME_RANDOM_RUNS=5000 cargo test --test all random::   # a longer run
//! SESAME_RANDOM_SEED=17 cargo test --test all random::     # one seed, its text
//! ```

mod generate;

use libtest_mimic::{Failed, Trial};
use std::thread;

/// Number of seeds run if `SESAME_RANDOM_RUNS` is not set.
const DEFAULT_SEEDS: u64 = 32;

/// Number of trials among which the seeds are divided, so that they run in
/// parallel.
const TRIAL_COUNT: u64 = 4;

/// Maximum number of failing seeds whose text a trial prints.
const SHOWN_FAILURES_MAX: usize = 3;

pub(crate) fn trials() -> Vec<Trial> {
    if let Some(seed) = env_number("SESAME_RANDOM_SEED") {
        let run = move || {
            println!("{}", generate::text(seed));
            check_seed(seed).map_err(Failed::from)
        };
        return vec![Trial::test(format!("random::seed_{seed}"), run)];
    }
    let runs = env_number("SESAME_RANDOM_RUNS").unwrap_or(DEFAULT_SEEDS);
    let trials = (0..TRIAL_COUNT).map(|part| {
        let name = format!("random::part_{part}_of_{TRIAL_COUNT}");
        Trial::test(name, move || run_part(part, runs))
    });
    trials.collect()
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn run_part(part: u64, runs: u64) -> Result<(), Failed> {
    let seeds = (0..runs).filter(|seed| seed % TRIAL_COUNT == part);
    let failures: Vec<String> =
        seeds.filter_map(|seed| check_seed(seed).err()).collect();
    if failures.is_empty() {
        return Ok(());
    }
    let shown = failures
        .iter()
        .take(SHOWN_FAILURES_MAX)
        .cloned()
        .collect::<Vec<_>>();
    let count = failures.len();
    Err(format!("{count} seeds fail\n{}", shown.join("\n")).into())
}

/// Runs one seed. An error contains the failures and the text of the scenario.
fn check_seed(seed: u64) -> Result<(), String> {
    let text = generate::text(seed);
    let script = scenario::parse(&text).map_err(|errors| {
        let lines = errors.iter().map(ToString::to_string);
        format!(
            "seed {seed}: {}\n{text}",
            lines.collect::<Vec<_>>().join("\n")
        )
    })?;
    // A thread of its own turns a panic into a failure of this seed only.
    let run = thread::Builder::new().spawn(move || scenario::run(&script));
    let outcome = run.map_err(|error| error.to_string())?.join();
    let failures = match outcome {
        Ok(outcome) if outcome.passed() => return Ok(()),
        Ok(outcome) => outcome.failures.join("\n"),
        Err(_) => "the simulation panicked".to_owned(),
    };
    Err(format!("seed {seed}:\n{failures}\n{text}"))
}
