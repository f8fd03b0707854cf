//! One watch for the entries of a failure domain, and what holds where it fails.

use crate::support::at;
use direct::{ChangedObject, SharedWatch, WatchBatch, WatchRole};

fn changed(key: &str, version: u64, bytes: usize) -> ChangedObject {
    ChangedObject {
        key: key.to_owned(),
        version,
        value: vec![1; bytes],
    }
}

fn batch(after: u64, at: u64) -> WatchBatch {
    WatchBatch {
        after_version: after,
        to_version: at,
        objects: vec![changed(&format!("servers/{at}"), at, 1)],
        is_partial: false,
    }
}

fn role(me: &str, others: &[&str]) -> WatchRole {
    let mut shared = SharedWatch::new();
    shared.on_listed(at(0), 1);
    shared.role(me, others)
}

/// An entry that was listed up to version 10, and is told.
fn told() -> SharedWatch {
    let mut shared = SharedWatch::new();
    shared.on_listed(at(0), 10);
    shared
}

#[test]
fn the_first_by_name_whose_watch_works_tells_the_others() {
    assert_eq!(role("a", &["b", "c"]), WatchRole::Leader);
    assert_eq!(role("b", &["a", "c"]), WatchRole::Follower);
    assert_eq!(
        role("a", &["b"]),
        WatchRole::Independent,
        "two save nothing"
    );
    let mut shared = SharedWatch::new();
    shared.on_listed(at(0), 1);
    shared.on_failed();
    assert_eq!(shared.role("a", &["b", "c"]), WatchRole::Independent);
}

/// The leader falls silent: it was killed, hangs, or is cut off. Whoever it told
/// watches itself before an upstream that leaves has to be known as leaving.
#[test]
fn an_entry_watches_itself_soon_after_the_last_word() {
    let mut shared = told();
    assert!(!shared.can_skip_own_watch(at(0)), "it was not told yet");
    shared.receive(at(500), vec![batch(10, 12)]);
    assert!(shared.can_skip_own_watch(at(600)));
    assert!(shared.can_skip_own_watch(at(1_700)));
    assert!(!shared.can_skip_own_watch(at(1_800)));
}

/// The leader hangs for a second, or the datagram was under way for one: what counts
/// is when the platform said so, not when it was told.
#[test]
fn a_late_word_counts_from_when_the_platform_said_so() {
    let mut shared = told();
    shared.receive(at(0), vec![batch(10, 12)]);
    assert!(shared.can_skip_own_watch(at(1_200)));
    shared.receive(at(200), vec![batch(10, 12)]);
    assert!(!shared.can_skip_own_watch(at(1_600)));
    shared.receive(at(100), vec![batch(10, 12)]);
    assert!(
        shared.can_skip_own_watch(at(1_400)),
        "an older word takes nothing back"
    );
}

/// A message is lost. The next one holds the batch before once more, so nothing is
/// missing; with two lost, what follows is not taken over and the entry watches itself.
#[test]
fn a_word_that_does_not_follow_is_not_taken_over() {
    let mut leader = told();
    let mut shared = told();
    leader.on_watched(at(0), batch(10, 12));
    leader.on_watched(at(0), batch(12, 15));
    let told_at = shared.receive(at(100), leader.outgoing());
    assert_eq!(told_at.new_batches, [batch(10, 12), batch(12, 15)]);
    assert_eq!(told_at.known_version, Some(15));
    let again = shared.receive(at(200), leader.outgoing());
    assert!(again.new_batches.is_empty(), "nothing is new");
    for (after, last) in [(15, 18), (18, 20), (20, 22)] {
        leader.on_watched(at(0), batch(after, last));
    }
    let gap = shared.receive(at(300), leader.outgoing());
    assert_eq!((gap.new_batches.len(), gap.known_version), (0, None));
    assert!(
        !shared.can_skip_own_watch(at(1_600)),
        "it was confirmed 200 last"
    );
    shared.on_listed(at(1_700), 22);
    leader.on_watched(at(0), batch(22, 23));
    let follows = shared.receive(at(1_800), leader.outgoing());
    assert_eq!(follows.new_batches, [batch(22, 23)]);
}

/// The leader's history was gone, and it listed anew. What it watched before the list
/// says nothing of what changed up to it: passed on as if it did, an upstream that left
/// in between would count as there until the leader's next watch.
#[test]
fn what_was_watched_before_a_list_is_passed_on_no_more() {
    let mut leader = told();
    let mut shared = told();
    leader.on_watched(at(0), batch(10, 12));
    shared.receive(at(0), leader.outgoing());
    leader.on_listed(at(2_000), 40);
    assert!(leader.outgoing().is_empty());
    let received = shared.receive(at(2_000), leader.outgoing());
    assert_eq!(received.known_version, None);
    assert!(!shared.can_skip_own_watch(at(2_000)));
    leader.on_watched(at(2_100), batch(40, 41));
    shared.receive(at(2_100), leader.outgoing());
    assert!(
        !shared.can_skip_own_watch(at(2_100)),
        "the list is not known here"
    );
}

/// A datagram that nobody sent names a version far ahead, so that true news seem old.
/// The entry's own watch, from where its last one ended, comes all the same.
#[test]
fn a_forged_word_keeps_true_news_away_for_a_bounded_time() {
    let mut shared = told();
    shared.receive(at(100), vec![batch(10, u64::MAX)]);
    let mut until_ms = 0;
    for ms in (200..60_000).step_by(400) {
        let told = shared.receive(at(ms), vec![batch(12, 13)]);
        assert!(told.new_batches.is_empty());
        if !shared.can_skip_own_watch(at(ms)) {
            until_ms = ms;
            break;
        }
    }
    assert!((10_000..16_000).contains(&until_ms), "{until_ms}");
}

/// The configuration of many routes is larger than a datagram. That it changed is told,
/// and each entry watches for it at once.
#[test]
fn what_does_not_fit_is_told_as_left_out() {
    let mut leader = told();
    let large = WatchBatch {
        objects: vec![changed("config/main", 14, 40_000)],
        ..batch(10, 14)
    };
    leader.on_watched(at(0), large);
    let sent = leader.outgoing();
    assert!(sent[0].is_partial && sent[0].objects.is_empty());
    let mut shared = told();
    shared.receive(
        at(50),
        vec![WatchBatch {
            objects: Vec::new(),
            ..batch(8, 10)
        }],
    );
    assert!(shared.can_skip_own_watch(at(100)));
    let told = shared.receive(at(150), sent.clone());
    assert!(told.needs_own_watch && told.new_batches.is_empty());
    assert!(!shared.can_skip_own_watch(at(160)));
    // Until it has watched, no later word makes it rest.
    shared.receive(at(200), vec![batch(10, 11)]);
    assert!(!shared.can_skip_own_watch(at(210)));
    shared.on_listed(at(220), 14);
    shared.receive(at(250), sent);
    assert!(shared.can_skip_own_watch(at(260)));
}

/// What was sent on is a part of what the platform says, in order, whatever messages
/// are lost, doubled or late.
#[test]
fn whatever_is_lost_versions_are_taken_over_without_a_gap() {
    crate::support::cases(300, |random| {
        let mut leader = told();
        let mut shared = told();
        let (mut last, mut known) = (10, 10);
        let mut messages = Vec::new();
        for step in 0..60_u64 {
            let next = last + random.int_in_range(0..=2)?;
            leader.on_watched(at(0), batch(last, next));
            last = next;
            messages.push((at(step * 100), leader.outgoing()));
            let heard = random.int_in_range(0..=messages.len() - 1)?;
            if random.int_in_range(0..=2)? > 0 {
                let (confirmed_at, batches) = messages[heard].clone();
                for batch in shared.receive(confirmed_at, batches).new_batches {
                    assert!(batch.after_version <= known, "{batch:?} behind {known}");
                    known = batch.to_version;
                }
            }
            if random.int_in_range(0..=9)? == 0 {
                shared.on_listed(at(step * 100), last);
                known = last;
            }
        }
        Ok(())
    });
}
