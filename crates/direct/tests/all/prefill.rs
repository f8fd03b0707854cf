//! Queues of prompts, and which requests wait behind which.

use direct::{PRIORITY_LEVELS, PrefillQueue};

/// Engines prefill the most urgent prompts first, so a queue of less urgent ones must
/// not cause an urgent request to be refused as too late.
#[test]
fn an_urgent_request_waits_for_its_priority_and_a_share_of_the_others() {
    let mut queue = PrefillQueue::single(1, 8_000);
    queue.add(&PrefillQueue::single(0, 2_000));
    assert!((queue.prefill_ms() - 500.0).abs() < 0.1);
    assert!((queue.wait_ms(0) - 200.0).abs() < 0.1);
    assert!((queue.wait_ms(1) - 500.0).abs() < 0.1);
    assert!((queue.wait_ms(7) - 500.0).abs() < 0.1);
}

/// Urgent requests were refused behind less urgent backlogs of seconds, of which they
/// wait for no more than the chunk in progress.
#[test]
fn less_urgent_prompts_delay_an_ordered_request_by_one_chunk() {
    let mut queue = PrefillQueue::single(2, 60_000);
    queue.add(&PrefillQueue::single(0, 2_000));
    assert!((queue.wait_behind_chunk_ms(0) - 180.0).abs() < 0.1);
    assert!((queue.wait_behind_chunk_ms(2) - 3_100.0).abs() < 0.1);
    assert!(
        (PrefillQueue::single(1, 2_000).wait_behind_chunk_ms(0) - 25.0).abs() < 0.1
    );
}

/// A patient backlog, which waits for all others anyway, must not keep a late urgent
/// request from being sent.
#[test]
fn the_least_urgent_prompts_are_unread_only_for_their_own_priority() {
    let mut queue = PrefillQueue::single(2, 60_000);
    queue.add(&PrefillQueue::single(1, 2_000));
    assert!((queue.unread_ms(0) - 100.0).abs() < 0.1);
    assert!((queue.unread_ms(1) - 100.0).abs() < 0.1);
    assert!((queue.unread_ms(2) - 3_100.0).abs() < 0.1);
}

#[test]
fn removing_more_than_the_queue_holds_empties_it() {
    let mut queue = PrefillQueue::single(9, 100);
    queue.remove(&PrefillQueue::single(2, 300));
    assert!(queue.is_empty());
    queue.add(&PrefillQueue::single(0, u64::MAX));
    queue.add(&PrefillQueue::single(0, 1));
    assert_eq!(queue.by_priority()[0], u64::MAX);
}

/// Another entry's message may have fewer priorities than there are, or more.
#[test]
fn a_message_with_another_number_of_priorities_is_accepted() {
    assert_eq!(PrefillQueue::from_priorities(&[]), PrefillQueue::EMPTY);
    assert_eq!(
        PrefillQueue::from_priorities(&[0, 5]),
        PrefillQueue::single(1, 5)
    );
    let longer = PrefillQueue::from_priorities(&[1, 2, 3, 4]);
    assert_eq!(longer.by_priority(), &[1, 2, 3]);
    assert_eq!(longer.by_priority().len(), PRIORITY_LEVELS);
}
