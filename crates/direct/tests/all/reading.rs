//! What waits to be read, and who waits behind whom.

use direct::{RANKS, ReadingQueue};

/// Engines read the most urgent prompts first, so a queue of less urgent ones must
/// not have an urgent request refused as too late.
#[test]
fn an_urgent_request_waits_behind_its_like_and_a_part_of_the_rest() {
    let mut queue = ReadingQueue::of(1, 8_000);
    queue.add(&ReadingQueue::of(0, 2_000));
    assert!((queue.reading_ms() - 500.0).abs() < 0.1);
    assert!((queue.ahead_ms(0) - 200.0).abs() < 0.1);
    assert!((queue.ahead_ms(1) - 500.0).abs() < 0.1);
    assert!((queue.ahead_ms(7) - 500.0).abs() < 0.1);
}

#[test]
fn what_is_taken_away_was_there_at_most() {
    let mut queue = ReadingQueue::of(9, 100);
    queue.remove(&ReadingQueue::of(2, 300));
    assert!(queue.is_empty());
    queue.add(&ReadingQueue::of(0, u64::MAX));
    queue.add(&ReadingQueue::of(0, 1));
    assert_eq!(queue.ranks()[0], u64::MAX);
}

/// Another entry's message may hold fewer ranks than there are, or more.
#[test]
fn a_message_with_other_ranks_is_read_as_far_as_it_goes() {
    assert_eq!(ReadingQueue::from_ranks(&[]), ReadingQueue::EMPTY);
    assert_eq!(ReadingQueue::from_ranks(&[0, 5]), ReadingQueue::of(1, 5));
    let longer = ReadingQueue::from_ranks(&[1, 2, 3, 4]);
    assert_eq!(longer.ranks(), &[1, 2, 3]);
    assert_eq!(longer.ranks().len(), RANKS);
}
