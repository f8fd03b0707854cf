//! How often entries tell one another what holds, and how much at a time.
//!
//! What is told is old when the next message is far off: choices of an upstream
//! rest on the use of all entries, and what the upstreams hold on the word of the
//! entry that orders. A message goes to every peer, so what bounds how often and how
//! much is the link of the smallest entry: 10 Mbit/s, shared with callers' answers.
//! Beyond it packets queue, connections to upstreams time out behind them, and the
//! entry takes upstreams for unreachable that are well.

/// Least time between two messages to one peer. A shorter one tells little that is
/// new: requests last longer.
const MIN_INTERVAL_MS: u64 = 100;

/// Messages a second that one entry sends, and as many that it takes: with some
/// 200 B each, a twentieth of the smallest link.
const MESSAGES_PER_S: u64 = 225;

/// Longest time between two messages to one peer: a peer counts as silent after
/// 1.5 s. Beyond some 300 peers it costs more messages than [`MESSAGES_PER_S`].
const MAX_INTERVAL_MS: u64 = 1_350;

/// Least time between two messages that are sent at once, and what it grows by with
/// each peer: however many there are, 500 such messages a second at most. Of 1 kB, as
/// where four upstreams change at a time, that is two fifths of the smallest link.
const URGENT_MIN_INTERVAL_MS: u64 = 20;
const URGENT_INTERVAL_PER_PEER_MS: u64 = 2;

/// Time within which what each upstream holds is told again. What changes is told at
/// once and twice; this makes good a change of which both messages were lost.
pub const HOLDINGS_RESEND_MS: u64 = 4_000;

/// Messages over which what the upstreams hold is spread with few peers, and peers
/// for each further one.
const MIN_HOLDINGS_MESSAGES: u64 = 5;
const PEERS_PER_HOLDINGS_MESSAGE: u64 = 5;

/// Suspects told with one message, with few peers and with many, and how many there
/// are of them in the messages to all peers. Each takes 34 B.
const MAX_SUSPECTS: usize = 16;
const MIN_SUSPECTS: usize = 4;
const SUSPECTS_ACROSS_PEERS: usize = 256;

/// Time between two messages to each of so many peers.
pub fn peer_message_interval_ms(peers: usize) -> u64 {
    let interval_ms = (peers as u64 * 1_000).div_ceil(MESSAGES_PER_S);
    interval_ms.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS)
}

/// Time between two messages that are sent at once to each of so many peers.
pub fn urgent_message_interval_ms(peers: usize) -> u64 {
    let interval_ms = peers as u64 * URGENT_INTERVAL_PER_PEER_MS;
    interval_ms.clamp(URGENT_MIN_INTERVAL_MS, MAX_INTERVAL_MS)
}

/// Messages over which what the upstreams hold is spread, one after the other, with
/// so many peers.
pub fn holdings_message_count(peers: usize) -> usize {
    let messages =
        (peers as u64 / PEERS_PER_HOLDINGS_MESSAGE).max(MIN_HOLDINGS_MESSAGES);
    let max_messages = (HOLDINGS_RESEND_MS / peer_message_interval_ms(peers)).max(1);
    messages.min(max_messages) as usize
}

/// Suspects of crashes told with one message to each of so many peers: as many of the
/// new ones, and as many of the others in turn.
pub fn suspects_per_message(peers: usize) -> usize {
    (SUSPECTS_ACROSS_PEERS / peers.max(1)).clamp(MIN_SUSPECTS, MAX_SUSPECTS)
}
