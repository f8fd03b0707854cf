//! Rate and content of the messages between entries.
//!
//! Information from other entries is as old as the interval between messages: the
//! choice of an upstream depends on the usage by all entries, and what upstreams hold
//! is learned from the coordinator. Each message goes to every peer, so the limit is
//! the link of the smallest entry: 10 Mbit/s, shared with the responses to callers.
//! Beyond that, packets queue, connections to upstreams time out behind them, and the
//! entry considers healthy upstreams unreachable.

/// Minimum interval between two messages to one peer. A shorter one transfers little
/// new information, because requests last longer.
const MIN_INTERVAL_MS: u64 = 100;

/// Messages per second that one entry sends, and as many that it receives. With about
/// 200 B each, this is a twentieth of the smallest link.
const MESSAGES_PER_S: u64 = 225;

/// Maximum interval between two messages to one peer. A peer counts as silent after 1.5
/// s. With more than about 300 peers this interval costs more than [`MESSAGES_PER_S`].
const MAX_INTERVAL_MS: u64 = 1_350;

/// Minimum silence after which a peer no longer counts as alive.
const MIN_PEER_TIMEOUT_MS: u64 = 1_500;

/// Time that a message may be late, because of the sender's or the receiver's processor.
const MESSAGE_DELAY_MS: u64 = 300;

/// Minimum interval between two urgent messages, and its growth per peer. However many
/// peers there are, this is at most 500 such messages per second. At 1 kB each, the
/// size when four upstreams change at a time, they take two fifths of the smallest
/// link.
const URGENT_MIN_INTERVAL_MS: u64 = 20;
const URGENT_INTERVAL_PER_PEER_MS: u64 = 2;

/// Time within which the holdings of every upstream are sent again. Changes are sent at
/// once, twice; this repairs a change of which both messages were lost.
pub const HOLDINGS_RESEND_MS: u64 = 4_000;

/// Number of messages over which the holdings are spread with few peers, and the number
/// of peers for each further message.
const MIN_HOLDINGS_MESSAGES: u64 = 5;
const PEERS_PER_HOLDINGS_MESSAGE: u64 = 5;

/// Maximum and minimum number of suspect requests in one message, and their number over
/// the messages to all peers. Each takes 34 B.
const MAX_SUSPECTS: usize = 16;
const MIN_SUSPECTS: usize = 4;
const SUSPECTS_ACROSS_PEERS: usize = 256;

/// Maximum and minimum number of leaving upstreams in one message, and of those with a
/// rate limit, and their number over the messages to all peers. Each takes some 45 B.
const MAX_UPSTREAMS: usize = 30;
const MIN_UPSTREAMS: usize = 4;
const UPSTREAMS_ACROSS_PEERS: usize = 2_048;

/// An unreachable peer gets a message only once in this many rounds.
const UNREACHABLE_ROUND_INTERVAL: u64 = 10;

/// Number of rounds that include peers that are new in the platform's list. The first
/// message may be lost.
const NEW_PEER_ROUNDS: u64 = 2;

/// Decides in which rounds of messages unreachable peers get one.
///
/// Entries that start at the same time have received nothing of one another, like peers
/// that are gone. If they waited for the round of those, each would do everything by
/// itself for ten intervals.
#[derive(Debug, Default)]
pub struct MessageRounds {
    number: u64,
    /// Number of coming rounds in which all peers get a message.
    to_all: u64,
}

impl MessageRounds {
    /// Records that the platform's list has new peers.
    pub const fn on_new_peers(&mut self) {
        self.to_all = NEW_PEER_ROUNDS;
    }

    /// Starts a round. Returns whether unreachable peers get a message in it.
    pub const fn start(&mut self) -> bool {
        self.number += 1;
        let includes_all = self.to_all > 0;
        self.to_all = self.to_all.saturating_sub(1);
        includes_all || self.number.is_multiple_of(UNREACHABLE_ROUND_INTERVAL)
    }

    /// Number of rounds so far.
    pub const fn number(&self) -> u64 {
        self.number
    }
}

/// Interval between two messages to each of `peers` peers.
pub fn peer_message_interval_ms(peers: usize) -> u64 {
    let interval_ms = (peers as u64 * 1_000).div_ceil(MESSAGES_PER_S);
    interval_ms.clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS)
}

/// Silence after which one of `peers` peers no longer counts as alive. One of its
/// messages may be lost.
pub fn peer_timeout_ms(peers: usize) -> u64 {
    let two_intervals_ms = 2 * peer_message_interval_ms(peers);
    (two_intervals_ms + MESSAGE_DELAY_MS).max(MIN_PEER_TIMEOUT_MS)
}

/// Interval between two urgent messages to each of `peers` peers.
pub fn urgent_message_interval_ms(peers: usize) -> u64 {
    let interval_ms = peers as u64 * URGENT_INTERVAL_PER_PEER_MS;
    interval_ms.clamp(URGENT_MIN_INTERVAL_MS, MAX_INTERVAL_MS)
}

/// Number of consecutive messages over which the holdings are spread with `peers`
/// peers.
pub fn holdings_message_count(peers: usize) -> usize {
    let messages =
        (peers as u64 / PEERS_PER_HOLDINGS_MESSAGE).max(MIN_HOLDINGS_MESSAGES);
    let max_messages = (HOLDINGS_RESEND_MS / peer_message_interval_ms(peers)).max(1);
    messages.min(max_messages) as usize
}

/// Number of suspect requests in one message to each of `peers` peers. It applies
/// twice: to new suspects, and to the others in turn.
pub fn suspects_per_message(peers: usize) -> usize {
    (SUSPECTS_ACROSS_PEERS / peers.max(1)).clamp(MIN_SUSPECTS, MAX_SUSPECTS)
}

/// Number of leaving upstreams in one message to each of `peers` peers, and of those
/// with a rate limit. Each entry gets as many messages as it has peers, so it is told of
/// all within a few intervals.
pub fn upstreams_per_message(peers: usize) -> usize {
    (UPSTREAMS_ACROSS_PEERS / peers.max(1)).clamp(MIN_UPSTREAMS, MAX_UPSTREAMS)
}
