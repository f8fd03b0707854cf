//! Properties over fixed seeds, so that every run sees the same inputs.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// Spreads small numbers over the generator's seeds.
const SPREAD: u32 = 0x9e37_79b9;

/// Runs a property over `count` inputs made of `size` random bytes each.
pub fn each_seed(
    count: u32,
    size: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>,
) {
    for number in 1..=count {
        let random = u64::from(number.wrapping_mul(SPREAD));
        let seed = random << u32::BITS | u64::from(size);
        arbtest(&mut property).seed(seed);
    }
}
