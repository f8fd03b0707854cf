//! Digests of records that entries should have in common.

use xxhash_rust::xxh3::xxh3_64;

/// Number of messages in which a change is sent. One message in ten may be lost, so
/// that all three are lost for one receiver in a thousand; digests repair that.
pub(crate) const CHANGE_MESSAGES: u8 = 3;

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

/// Returns those of the records whose change is still to be sent, up to `max` and those
/// that were sent least first, and counts that they are sent. `pending` returns the
/// number of messages in which a record is still to be sent.
pub(crate) fn take_pending<'a, K, V>(
    records: impl Iterator<Item = (&'a K, &'a mut V)>,
    max: usize,
    mut pending: impl FnMut(&mut V) -> &mut u8,
) -> Vec<(&'a K, &'a V)> {
    let mut due: Vec<(&K, &mut V, u8)> = records
        .filter_map(|(key, record)| {
            let left = *pending(record);
            (left > 0).then_some((key, record, left))
        })
        .collect();
    due.sort_by_key(|(_, _, left)| std::cmp::Reverse(*left));
    due.truncate(max);
    let taken = due.into_iter().map(|(key, record, left)| {
        *pending(record) = left - 1;
        (key, &*record)
    });
    taken.collect()
}
