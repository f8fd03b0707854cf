//! One watch for the entries of a failure domain, and what holds where it fails.

use crate::support::at;
use direct::{Piece, SharedWatch, WatchPart};

fn piece(after: u64, at: u64) -> Piece {
    Piece {
        after,
        at,
        objects: vec![(format!("servers/{at}"), at, vec![1])],
        is_short: false,
    }
}

fn part(me: &str, others: &[&str]) -> WatchPart {
    let mut shared = SharedWatch::new();
    shared.confirmed(at(0), 1);
    shared.part(me, others)
}

/// An entry that was listed up to version 10, and is told.
fn told() -> SharedWatch {
    let mut shared = SharedWatch::new();
    shared.confirmed(at(0), 10);
    shared
}

#[test]
fn the_first_by_name_whose_watch_works_tells_the_others() {
    assert_eq!(part("a", &["b", "c"]), WatchPart::Teller);
    assert_eq!(part("b", &["a", "c"]), WatchPart::Told);
    assert_eq!(part("a", &["b"]), WatchPart::Alone, "two save nothing");
    let mut shared = SharedWatch::new();
    shared.confirmed(at(0), 1);
    shared.failed();
    assert_eq!(shared.part("a", &["b", "c"]), WatchPart::Alone);
}

/// The teller falls silent: it was killed, hangs, or is cut off. Whoever it told
/// watches itself before an upstream that leaves has to be known as leaving.
#[test]
fn an_entry_watches_itself_soon_after_the_last_word() {
    let mut shared = told();
    assert!(!shared.rests(at(0)), "it was not told yet");
    shared.told(at(500), vec![piece(10, 12)]);
    assert!(shared.rests(at(600)));
    assert!(shared.rests(at(1_700)));
    assert!(!shared.rests(at(1_800)));
}

/// The teller hangs for a second, or the datagram was under way for one: what counts
/// is when the platform said so, not when it was told.
#[test]
fn a_late_word_counts_from_when_the_platform_said_so() {
    let mut shared = told();
    shared.told(at(0), vec![piece(10, 12)]);
    assert!(shared.rests(at(1_200)));
    shared.told(at(200), vec![piece(10, 12)]);
    assert!(!shared.rests(at(1_600)));
    shared.told(at(100), vec![piece(10, 12)]);
    assert!(shared.rests(at(1_400)), "an older word takes nothing back");
}

/// A message is lost. The next one holds the piece before once more, so nothing is
/// missing; with two lost, what follows is not taken over and the entry watches itself.
#[test]
fn a_word_that_does_not_follow_is_not_taken_over() {
    let mut teller = told();
    let mut shared = told();
    teller.saw(piece(10, 12));
    teller.saw(piece(12, 15));
    let told_at = shared.told(at(100), teller.passed_on());
    assert_eq!(told_at.new, [piece(10, 12), piece(12, 15)]);
    assert_eq!(told_at.known, Some(15));
    let again = shared.told(at(200), teller.passed_on());
    assert!(again.new.is_empty(), "nothing is new");
    for (after, at) in [(15, 18), (18, 20), (20, 22)] {
        teller.saw(piece(after, at));
    }
    let gap = shared.told(at(300), teller.passed_on());
    assert_eq!((gap.new.len(), gap.known), (0, None));
    assert!(!shared.rests(at(1_600)), "it was confirmed 200 last");
    shared.confirmed(at(1_700), 22);
    teller.saw(piece(22, 23));
    let follows = shared.told(at(1_800), teller.passed_on());
    assert_eq!(follows.new, [piece(22, 23)]);
}

/// A datagram that nobody sent names a version far ahead, so that true news seem old.
/// The entry's own watch, from where its last one ended, comes all the same.
#[test]
fn a_forged_word_keeps_true_news_away_for_a_bounded_time() {
    let mut shared = told();
    shared.told(at(100), vec![piece(10, u64::MAX)]);
    let mut until_ms = 0;
    for ms in (200..60_000).step_by(400) {
        let told = shared.told(at(ms), vec![piece(12, 13)]);
        assert!(told.new.is_empty());
        if !shared.rests(at(ms)) {
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
    let mut teller = told();
    let large = Piece {
        objects: vec![("config/main".to_owned(), 14, vec![0; 40_000])],
        ..piece(10, 14)
    };
    teller.saw(large);
    let passed = teller.passed_on();
    assert!(passed[0].is_short && passed[0].objects.is_empty());
    let mut shared = told();
    shared.told(
        at(50),
        vec![Piece {
            objects: Vec::new(),
            ..piece(8, 10)
        }],
    );
    assert!(shared.rests(at(100)));
    let told = shared.told(at(150), passed.clone());
    assert!(told.is_due && told.new.is_empty());
    assert!(!shared.rests(at(160)));
    // Until it has watched, no later word makes it rest.
    shared.told(at(200), vec![piece(10, 11)]);
    assert!(!shared.rests(at(210)));
    shared.confirmed(at(220), 14);
    shared.told(at(250), passed);
    assert!(shared.rests(at(260)));
}

/// What was passed on is a part of what the platform says, in order, whatever messages
/// are lost, doubled or late.
#[test]
fn whatever_is_lost_versions_are_taken_over_without_a_gap() {
    crate::support::cases(300, |random| {
        let mut teller = told();
        let mut shared = told();
        let (mut last, mut known) = (10, 10);
        let mut messages = Vec::new();
        for step in 0..60_u64 {
            let next = last + random.int_in_range(0..=2)?;
            teller.saw(piece(last, next));
            last = next;
            messages.push((at(step * 100), teller.passed_on()));
            let heard = random.int_in_range(0..=messages.len() - 1)?;
            if random.int_in_range(0..=2)? > 0 {
                let (confirmed_at, pieces) = messages[heard].clone();
                for piece in shared.told(confirmed_at, pieces).new {
                    assert!(piece.after <= known, "{piece:?} behind {known}");
                    known = piece.at;
                }
            }
            if random.int_in_range(0..=9)? == 0 {
                shared.confirmed(at(step * 100), last);
                known = last;
            }
        }
        Ok(())
    });
}
