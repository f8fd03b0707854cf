//! How often entries feed tokens to the keepers of workspaces.

/// Shortest time between two feeds of an entry. Requests that find too few tokens are
/// refused and don't wait for the next feed, so a longer time causes refusals after a
/// keeper has changed.
const FEED_INTERVAL_MIN_MS: u64 = 100;

/// Longest time between two feeds of an entry. Tokens refilled in the meantime are not
/// yet in the keeper's pool: with 500 ms, half a second's rate can be used in addition
/// to the burst.
pub(crate) const FEED_INTERVAL_MAX_MS: u64 = 500;

/// Feeds a second that a keeper accepts for one workspace. With many entries each of
/// them feeds less often, so that a keeper does not spend its time on receiving feeds.
const KEEPER_FEEDS_PER_S: u64 = 150;

/// Number of feed intervals without a feed after which an entry no longer counts as a
/// feeder. One feed may be lost.
pub const FEEDER_TIMEOUT_INTERVALS: u64 = 3;

/// Time between two feeds of one entry, given the number of entries.
pub fn feed_interval_ms(entries: usize) -> u64 {
    let interval_ms = entries as u64 * 1_000 / KEEPER_FEEDS_PER_S;
    interval_ms.clamp(FEED_INTERVAL_MIN_MS, FEED_INTERVAL_MAX_MS)
}
