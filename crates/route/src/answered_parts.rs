//! Parts of prompts on which answers began recently.

use base::prelude::*;
use std::collections::BTreeMap;

use crate::part_record::ANSWERS_MAX;
use crate::suspect_parts::PromptPart;

/// Number of parts after which a new generation starts; two are kept.
const PARTS_PER_GENERATION: usize = 2_048;

/// Time after which a new generation starts. Answers are remembered for once to twice
/// this time.
const GENERATION_MS: u64 = 30_000;

/// Requests whose answers began, by part: the last few of each.
///
/// There are two generations. The older one is dropped as a whole, which needs no time
/// for each answer and no search when the memory is full.
#[derive(Debug, Default)]
pub(crate) struct AnsweredParts {
    current: BTreeMap<PromptPart, Vec<u64>>,
    previous: BTreeMap<PromptPart, Vec<u64>>,
    current_since: Instant,
}

impl AnsweredParts {
    /// Records that the answer to a request began.
    pub(crate) fn record(&mut self, now: Instant, part: &PromptPart, request: u64) {
        let age_ms = now.ms_since(self.current_since);
        if age_ms >= GENERATION_MS || self.current.len() >= PARTS_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        if let Some(requests) = self.current.get_mut(part) {
            if requests.len() < ANSWERS_MAX && !requests.contains(&request) {
                requests.push(request);
            }
        } else {
            self.current.insert(part.clone(), vec![request]);
        }
    }

    /// Returns the known requests of the last seconds whose answers began on a part, at
    /// most [`ANSWERS_MAX`].
    pub(crate) fn answers(&self, now: Instant, part: &PromptPart) -> Vec<u64> {
        let age_ms = now.ms_since(self.current_since);
        let generations = [
            (&self.current, age_ms < 2 * GENERATION_MS),
            (&self.previous, age_ms < GENERATION_MS),
        ];
        let valid = generations.into_iter().filter(|(_, valid)| *valid);
        let requests = valid.filter_map(|(parts, _)| parts.get(part)).flatten();
        let mut answers = Vec::new();
        for request in requests {
            if answers.len() < ANSWERS_MAX && !answers.contains(request) {
                answers.push(*request);
            }
        }
        answers
    }
}
