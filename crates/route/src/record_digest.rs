//! Digests of records that entries should have in common.

use base::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Number of messages in which a change is sent. One message in ten may be lost, so
/// that all three are lost for one receiver in a thousand; digests repair that.
const CHANGE_MESSAGES: u8 = 3;

/// Returns a hash of a set that doesn't depend on its order. A set that reached its
/// maximum size may hold different members at other entries, so it counts as one value.
pub(crate) fn set_hash(members: impl ExactSizeIterator<Item = u64>, max: usize) -> u64 {
    if members.len() >= max {
        return u64::MAX;
    }
    members.fold(0, |hash, member| hash ^ mixed(&[member]))
}

/// Returns a hash of these words.
pub(crate) fn mixed(words: &[u64]) -> u64 {
    let bytes: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
    xxh3_64(&bytes)
}

/// Returns the digest of records by their hashes, in any order. It is 0 without records.
pub(crate) fn digest(hashes: impl Iterator<Item = u64>) -> u32 {
    let combined = hashes.fold(0, |digest, hash| digest ^ hash);
    (combined >> 32) as u32
}

/// Whether a change is still to be sent to other entries.
#[derive(Debug, Default)]
pub(crate) struct ChangeRepeats {
    /// Number of messages in which it is still to be sent.
    messages: u8,
    /// When it was first sent.
    sent_at: Option<Instant>,
}

impl ChangeRepeats {
    /// Records a change.
    pub(crate) const fn mark(&mut self) {
        self.messages = CHANGE_MESSAGES;
        self.sent_at = None;
    }

    /// Whether other entries should know a record that this entry learned at `learned_at`:
    /// it was sent at least `settle_ms` ago. In a burst of changes, some wait for several
    /// messages.
    pub(crate) fn is_settled(
        &self,
        now: Instant,
        learned_at: Instant,
        settle_ms: u64,
    ) -> bool {
        let is_unsent = self.messages == CHANGE_MESSAGES;
        let since = self.sent_at.unwrap_or(learned_at).max(learned_at);
        !is_unsent && now.ms_since(since) >= settle_ms
    }

    const fn count_sent(&mut self, now: Instant) {
        self.messages = self.messages.saturating_sub(1);
        if self.sent_at.is_none() {
            self.sent_at = Some(now);
        }
    }
}

/// Returns those of the records whose change is still to be sent, up to `max`, and counts
/// that they are sent. The most urgent come first, and of these the ones sent least.
pub(crate) fn take_pending<'a, K, V>(
    now: Instant,
    records: impl Iterator<Item = (&'a K, &'a mut V)>,
    max: usize,
    mut pending: impl FnMut(&mut V) -> &mut ChangeRepeats,
    is_urgent: impl Fn(&V) -> bool,
) -> Vec<(&'a K, &'a V)> {
    let mut due: Vec<((bool, u8), &K, &mut V)> = records
        .filter_map(|(key, record)| {
            let messages = pending(record).messages;
            (messages > 0).then(|| ((is_urgent(record), messages), key, record))
        })
        .collect();
    due.sort_by_key(|(order, ..)| std::cmp::Reverse(*order));
    due.truncate(max);
    let taken = due.into_iter().map(|(_, key, record)| {
        pending(record).count_sent(now);
        (key, &*record)
    });
    taken.collect()
}
