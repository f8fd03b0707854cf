//! Recent answers of a keeper to requests for tokens.

use base::prelude::*;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::TakeOutcome;

/// Time for which an answer is kept. An unanswered request is resent within a fraction
/// of it.
const RETENTION_MS: u64 = 1_000;

/// Most answers kept, over all requesting entries.
const ANSWERS_MAX: usize = 4_096;

/// Requesting entry, incarnation of its process, and number of the request.
type RequestKey = (Arc<str>, u64, u64);

/// Recent answers of a keeper, by request.
///
/// A request whose answer is lost is resent. Without the stored answer, its tokens
/// would be taken twice and used once.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    answers: HashMap<RequestKey, TakeOutcome>,
    order: VecDeque<(Instant, RequestKey)>,
}

impl RecentAnswers {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the answer that was given to a request, or decides on a new one and
    /// stores it.
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
