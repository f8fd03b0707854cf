//! A question that is sent again takes its tokens once.

use base::prelude::*;
use quota::{RecentAnswers, TakeOutcome};

#[test]
fn a_question_that_comes_again_gets_the_answer_that_it_had() {
    let mut asked = RecentAnswers::new();
    let question = || ("lj-a-1".into(), 1, 7);
    let mut decided = 0;
    for ms in [0, 20, 60] {
        let take = asked.get_or_decide(Instant::from_ms(ms), question(), || {
            decided += 1;
            TakeOutcome::Taken
        });
        assert_eq!(take, TakeOutcome::Taken);
    }
    assert_eq!(decided, 1);
}

/// A process that restarts numbers its questions anew.
#[test]
fn a_question_of_another_start_is_another_one() {
    let mut asked = RecentAnswers::new();
    let now = Instant::from_ms(0);
    let first =
        asked.get_or_decide(now, ("lj-a-1".into(), 1, 7), || TakeOutcome::Taken);
    let second =
        asked.get_or_decide(now, ("lj-a-1".into(), 2, 7), || TakeOutcome::ExceedsLimit);
    assert_eq!(
        (first, second),
        (TakeOutcome::Taken, TakeOutcome::ExceedsLimit)
    );
}

/// Memory is bounded, whatever is asked.
#[test]
fn old_questions_are_forgotten() {
    let mut asked = RecentAnswers::new();
    for id in 0..10_000 {
        let _ = asked.get_or_decide(Instant::ZERO, ("lj-a-1".into(), 1, id), || {
            TakeOutcome::Taken
        });
    }
    let again = asked.get_or_decide(Instant::ZERO, ("lj-a-1".into(), 1, 0), || {
        TakeOutcome::ExceedsLimit
    });
    assert_eq!(again, TakeOutcome::ExceedsLimit);
}
