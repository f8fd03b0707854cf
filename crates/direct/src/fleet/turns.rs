//! Selection of items for a message that has no room for all of them.

/// At most `count` of these, beginning where the message before ended.
pub(super) fn in_turn<T: Copy>(all: &[T], message: u64, count: usize) -> Vec<T> {
    let count = count.min(all.len());
    let first = message.wrapping_mul(count as u64) % all.len().max(1) as u64;
    let from_first = all.iter().cycle().skip(first as usize);
    from_first.take(count).copied().collect()
}
