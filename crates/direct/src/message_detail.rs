//! How much of an entry's state a periodic message to one peer holds.
//!
//! Most peers know all that doesn't change, so they get changes only. A peer that has
//! just started, or whose digests show that it lacks something, gets the records in turn.

use std::collections::BTreeMap;

use crate::{RELAY_FORMAT, peer_message_interval_ms};

/// Format of the messages of this build.
pub const PEER_FORMAT: u32 = RELAY_FORMAT;

/// Format from which on messages hold changes with digests, and uses as columns. Builds
/// that don't name a format need the whole state in each message.
const CHANGES_FORMAT: u32 = 1;

/// Number of messages in which a change is sent. One message in ten may be lost.
const CHANGE_MESSAGES: u8 = 3;

/// Time for which a new process gets the records in turn in each message. Its own digests
/// take as long to be known: it learns the records in this time.
const STARTED_MS: u64 = 3_000;

/// Number of message intervals with other digests from which on a peer counts as lacking
/// something. Changes on their way make digests differ for one or two intervals.
const DIFFERENT_INTERVALS: u64 = 4;

/// Interval at which one entry sends the records in turn to a peer that lacks something.
/// All other entries do so too, at different times.
const REPAIR_INTERVAL_MS: u64 = 500;

/// Interval at which what no digest covers is repeated.
const REPEAT_INTERVAL_MS: u64 = 1_000;

/// Distance between the numbers by which records are chosen in successive rounds. It is
/// odd and large, so that these choose different records however many there are.
const ROTATION_STRIDE: u64 = 0x9e37_79b9;

/// Number of message intervals after which a change counts as known everywhere.
const SETTLE_INTERVALS: u64 = 3;

/// What one message holds of the state that seldom changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageDetail {
    /// Only what changed lately.
    Changes,
    /// Recent records, and the others in turn.
    Records,
    /// The same, in the format of builds that don't name one.
    OlderFormat,
}

/// What is known about the receiver of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receiver {
    /// Format of its messages; `None` before the first one.
    pub format: Option<u32>,
    /// Time since the first message of its process.
    pub heard_for_ms: u64,
    /// Time since its messages have other digests than those of this entry.
    pub different_for_ms: u64,
    /// Whether it received packed uses of upstreams that it doesn't know.
    pub needs_full_uses: bool,
    /// A number that differs between pairs of entries.
    pub pair: u64,
}

/// Decides what the message of a round holds for one of `peers` peers.
pub fn message_detail(receiver: &Receiver, round: u64, peers: usize) -> MessageDetail {
    if receiver.format.is_none_or(|format| format < CHANGES_FORMAT) {
        return MessageDetail::OlderFormat;
    }
    let turns = rounds_in(REPAIR_INTERVAL_MS, peers);
    let is_turn = round.wrapping_add(receiver.pair).is_multiple_of(turns);
    let different_ms = DIFFERENT_INTERVALS * peer_message_interval_ms(peers);
    let lacks_something = receiver.different_for_ms >= different_ms;
    let is_new = receiver.heard_for_ms < STARTED_MS;
    if is_new || receiver.needs_full_uses || lacks_something && is_turn {
        MessageDetail::Records
    } else {
        MessageDetail::Changes
    }
}

/// Number by which the records of a round are chosen in turn.
///
/// A peer that lacks something gets records only each few rounds. Counted by all rounds,
/// it could get the same ones each time. `offset` differs between entries, so that they
/// send different records at a time.
pub fn rotation_number(round: u64, offset: u64, peers: usize) -> u64 {
    let turns = rounds_in(REPAIR_INTERVAL_MS, peers);
    let first = (round % turns).wrapping_mul(ROTATION_STRIDE);
    first.wrapping_add(round / turns).wrapping_add(offset)
}

/// Whether the round of an entry repeats what no digest covers. `offset` differs between
/// entries.
pub fn is_repeat_round(round: u64, offset: u64, peers: usize) -> bool {
    let turns = rounds_in(REPEAT_INTERVAL_MS, peers);
    round.wrapping_add(offset).is_multiple_of(turns)
}

/// Number of the repeat in a round, by which its items are chosen in turn. By the number of
/// the round itself, the same items could be chosen each time.
pub fn repeat_number(round: u64, peers: usize) -> u64 {
    round / rounds_in(REPEAT_INTERVAL_MS, peers)
}

/// Age from which on a changed record is part of the digests of entries with `peers`
/// peers.
pub fn digest_settle_ms(peers: usize) -> u64 {
    SETTLE_INTERVALS * peer_message_interval_ms(peers)
}

/// Number of rounds in an interval, which is at least 1.
fn rounds_in(interval_ms: u64, peers: usize) -> u64 {
    (interval_ms / peer_message_interval_ms(peers)).max(1)
}

/// Counts for each item of a small set in how many messages it is still to be sent.
#[derive(Debug, Default)]
pub struct ItemRepeats {
    /// Number of messages, by the key of each current item.
    pending: BTreeMap<u64, u8>,
}

impl ItemRepeats {
    /// Returns the positions of up to `limit` of the current items that are new or were
    /// sent in fewer than three messages, and counts that they are sent.
    pub fn take(&mut self, items: &[u64], limit: usize) -> Vec<usize> {
        let mut current = BTreeMap::new();
        for item in items {
            let left = self.pending.get(item).copied().unwrap_or(CHANGE_MESSAGES);
            current.insert(*item, left);
        }
        self.pending = current;
        let mut due: Vec<(u8, usize)> = items
            .iter()
            .enumerate()
            .filter_map(|(position, item)| {
                let left = *self.pending.get(item)?;
                (left > 0).then_some((left, position))
            })
            .collect();
        due.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        due.truncate(limit);
        for (left, position) in &due {
            self.pending.insert(items[*position], left - 1);
        }
        due.into_iter().map(|(_, position)| position).collect()
    }
}
