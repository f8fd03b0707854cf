//! How often entries tell one another what holds.
//!
//! What is told is old when the next message is far off: choices of an upstream
//! rest on the use of all entries, and what the upstreams hold on the word of the
//! entry that orders. Told to each peer in turn, a message costs the same whoever
//! it goes to, so the number of messages a second is what bounds how often.

/// Least time between two messages to one peer. A shorter one tells little that is
/// new: requests last longer.
const EVERY_MIN_MS: u64 = 100;

/// Messages a second that one entry sends, and as many that it takes. Sending and
/// taking them takes some 15 ms of an entry's processor a second, where the
/// smallest has 90.
const MESSAGES_PER_S: u64 = 225;

/// Longest time between two messages to one peer: a peer counts as silent after
/// 1.5 s. Beyond some 300 peers it costs more messages than [`MESSAGES_PER_S`].
const EVERY_MAX_MS: u64 = 1_350;

/// Time within which what each upstream holds is told once. A model that was
/// unloaded goes on being asked for as long.
pub const HOLDINGS_TOLD_MS: u64 = 1_000;

/// Most messages over which what the upstreams hold is spread.
const ROUNDS_MAX: u64 = 5;

/// Time between two messages to each of so many peers.
pub const fn tell_every_ms(peers: usize) -> u64 {
    let every_ms = (peers as u64 * 1_000).div_ceil(MESSAGES_PER_S);
    if every_ms < EVERY_MIN_MS {
        EVERY_MIN_MS
    } else if every_ms > EVERY_MAX_MS {
        EVERY_MAX_MS
    } else {
        every_ms
    }
}

/// Messages over which what the upstreams hold is spread, one after the other, with
/// so many peers. One at least, though that takes longer with the most peers.
pub const fn holdings_rounds(peers: usize) -> usize {
    let rounds = HOLDINGS_TOLD_MS / tell_every_ms(peers);
    let rounds = if rounds > ROUNDS_MAX {
        ROUNDS_MAX
    } else {
        rounds
    };
    if rounds == 0 { 1 } else { rounds as usize }
}
