//! A resent request for tokens is charged once.

use base::prelude::*;
use quota::{RecentAnswers, TakeOutcome};

#[test]
fn resent_request_gets_its_first_answer() {
    let mut answers = RecentAnswers::new();
    let request = || ("lj-a-1".into(), 1, 7);
    let mut decisions = 0;
    for ms in [0, 20, 60] {
        let take = answers.get_or_decide(Instant::from_ms(ms), request(), || {
            decisions += 1;
            TakeOutcome::Taken
        });
        assert_eq!(take, TakeOutcome::Taken);
    }
    assert_eq!(decisions, 1);
}

/// A restarted process numbers its requests from the beginning.
#[test]
fn request_of_another_incarnation_is_a_new_one() {
    let mut answers = RecentAnswers::new();
    let now = Instant::from_ms(0);
    let first =
        answers.get_or_decide(now, ("lj-a-1".into(), 1, 7), || TakeOutcome::Taken);
    let second = answers
        .get_or_decide(now, ("lj-a-1".into(), 2, 7), || TakeOutcome::ExceedsLimit);
    assert_eq!(
        (first, second),
        (TakeOutcome::Taken, TakeOutcome::ExceedsLimit)
    );
}

/// The number of stored answers is bounded.
#[test]
fn oldest_answers_are_dropped() {
    let mut answers = RecentAnswers::new();
    for id in 0..10_000 {
        let _ = answers.get_or_decide(Instant::ZERO, ("lj-a-1".into(), 1, id), || {
            TakeOutcome::Taken
        });
    }
    let again = answers.get_or_decide(Instant::ZERO, ("lj-a-1".into(), 1, 0), || {
        TakeOutcome::ExceedsLimit
    });
    assert_eq!(again, TakeOutcome::ExceedsLimit);
}
