//! What was asked of a keeper lately.

use base::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::TakeOutcome;

/// Time for which an answer is kept. A question is sent again within a fraction of it.
const RETENTION_MS: u64 = 1_000;

/// Answers kept at most, over all entries.
const ANSWERS_MAX: usize = 4_096;

/// Who asked, the start of its process, and the number of its question.
type RequestKey = (Arc<str>, u64, u64);

/// Answers that were given lately.
///
/// A question whose answer is lost is sent again. Without this, its tokens would be
/// taken twice and used once.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    answers: HashMap<RequestKey, TakeOutcome>,
    order: VecDeque<(Instant, RequestKey)>,
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
        request: (Arc<str>, u64, u64),
        decide: impl FnOnce() -> TakeOutcome,
    ) -> TakeOutcome {
        self.remove_old(now);
        if let Some(answer) = self.answers.get(&request) {
            return *answer;
        }
        let answer = decide();
        self.order.push_back((now, request.clone()));
        self.answers.insert(request, answer);
        answer
    }

    fn remove_old(&mut self, now: Instant) {
        while let Some((at, _)) = self.order.front() {
            if now.ms_since(*at) < RETENTION_MS && self.order.len() < ANSWERS_MAX {
                return;
            }
            if let Some((_, request)) = self.order.pop_front() {
                self.answers.remove(&request);
            }
        }
    }
}
