//! How often entries hand tokens to keepers.

/// Least time between two feeds. A request that finds too little waits for none, so a
/// longer time shows as refusals after the keeper has changed.
const FEED_INTERVAL_MIN_MS: u64 = 100;

/// Longest time between two feeds. What an entry makes meanwhile is on no keeper's
/// account: with half a second, half of a second's rate may be used beyond the burst.
pub(crate) const FEED_INTERVAL_MAX_MS: u64 = 500;

/// Feeds a second that a keeper takes for one workspace: with many entries each feeds
/// less often, so that it is not spent on being fed.
const KEEPER_FEEDS_PER_S: u64 = 150;

/// Feeds after which an entry that sent none feeds no longer; one may be lost.
pub const FEEDER_TIMEOUT_INTERVALS: u64 = 3;

/// Time between two feeds of each of so many entries.
pub fn feed_interval_ms(entries: usize) -> u64 {
    let interval_ms = entries as u64 * 1_000 / KEEPER_FEEDS_PER_S;
    interval_ms.clamp(FEED_INTERVAL_MIN_MS, FEED_INTERVAL_MAX_MS)
}
