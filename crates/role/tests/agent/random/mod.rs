//! Randomized sequences of faults around agents, an upstream and a platform.

mod keys;
mod memory;

const SEED: u64 = 0x5e5a_0001_0000_1000;

/// Number of cases; set `SESAME_RANDOM_CASES` for a longer search.
fn cases() -> u64 {
    let given = std::env::var("SESAME_RANDOM_CASES").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(150)
}
