//! Runs property tests with fixed seeds, so that every run has the same inputs.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// Odd multiplier (2^32 divided by the golden ratio) that turns consecutive numbers
/// into seeds that are far apart.
const SEED_MULTIPLIER: u32 = 0x9e37_79b9;

/// Runs a property on `count` inputs, each generated from `size` random bytes.
pub fn each_seed(
    count: u32,
    size: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>,
) {
    for number in 1..=count {
        let random = u64::from(number.wrapping_mul(SEED_MULTIPLIER));
        let seed = random << u32::BITS | u64::from(size);
        arbtest(&mut property).seed(seed);
    }
}
