//! A question that is sent again takes its tokens once.

use base::prelude::*;
use quota::{Asked, Take};

#[test]
fn a_question_that_comes_again_gets_the_answer_that_it_had() {
    let mut asked = Asked::new();
    let question = || ("lj-a-1".into(), 1, 7);
    let mut decided = 0;
    for ms in [0, 20, 60] {
        let take = asked.answer(Instant::from_ms(ms), question(), || {
            decided += 1;
            Take::Taken
        });
        assert_eq!(take, Take::Taken);
    }
    assert_eq!(decided, 1);
}

/// A process that restarts numbers its questions anew.
#[test]
fn a_question_of_another_start_is_another_one() {
    let mut asked = Asked::new();
    let now = Instant::from_ms(0);
    let first = asked.answer(now, ("lj-a-1".into(), 1, 7), || Take::Taken);
    let second = asked.answer(now, ("lj-a-1".into(), 2, 7), || Take::Never);
    assert_eq!((first, second), (Take::Taken, Take::Never));
}

/// Memory is bounded, whatever is asked.
#[test]
fn old_questions_are_forgotten() {
    let mut asked = Asked::new();
    for id in 0..10_000 {
        let _ = asked.answer(Instant::ZERO, ("lj-a-1".into(), 1, id), || Take::Taken);
    }
    let again = asked.answer(Instant::ZERO, ("lj-a-1".into(), 1, 0), || Take::Never);
    assert_eq!(again, Take::Never);
}
