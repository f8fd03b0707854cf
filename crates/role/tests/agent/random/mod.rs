//! Random sequences of faults around two agents, an engine and a platform.

mod keys;
mod memory;

const SEED: u64 = 0x5e5a_0001_0000_1000;

/// Cases run; a longer search sets the variable.
fn cases() -> u64 {
    let given = std::env::var("SESAME_RANDOM_CASES").ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(150)
}
