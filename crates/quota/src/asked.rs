//! What was asked of a keeper lately.

use base::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::TakeOutcome;

/// Time for which an answer is kept. A question is sent again within a fraction of it.
const KEPT_MS: u64 = 1_000;

/// Answers kept at most, over all entries.
const KEPT_MAX: usize = 4_096;

/// Who asked, the start of its process, and the number of its question.
type Question = (Arc<str>, u64, u64);

/// Answers that were given lately.
///
/// A question whose answer is lost is sent again. Without this, its tokens would be
/// taken twice and used once.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    answers: HashMap<Question, TakeOutcome>,
    order: VecDeque<(Instant, Question)>,
}

impl RecentAnswers {
    /// Nothing was asked.
    pub fn new() -> Self {
        Self::default()
    }

    /// The answer to a question: the one that was given, or a new one.
    pub fn get_or_decide(
        &mut self,
        now: Instant,
        question: (Arc<str>, u64, u64),
        decide: impl FnOnce() -> TakeOutcome,
    ) -> TakeOutcome {
        self.forget(now);
        if let Some(answer) = self.answers.get(&question) {
            return *answer;
        }
        let answer = decide();
        self.order.push_back((now, question.clone()));
        self.answers.insert(question, answer);
        answer
    }

    fn forget(&mut self, now: Instant) {
        while let Some((at, _)) = self.order.front() {
            if now.ms_since(*at) < KEPT_MS && self.order.len() < KEPT_MAX {
                return;
            }
            if let Some((_, question)) = self.order.pop_front() {
                self.answers.remove(&question);
            }
        }
    }
}
