//! Prompts that wait for prefill at an engine.

/// Number of priorities that are told apart; 0 is the most urgent. Lower priorities
/// count as the last one. Most services have fewer than three kinds of prompts.
pub const PRIORITY_LEVELS: usize = 3;

/// Prompt tokens that an engine prefills per millisecond at a time factor of 1. Engines
/// don't report this. The time factors of models are relative to it, so only estimates
/// made before the first answer of a service depend on it.
const PROMPT_TOKENS_PER_MS: f64 = 20.0;

/// Share of the less urgent prompts that delays a more urgent one. Engines prefill the
/// most urgent prompt first but finish the current chunk of another one: of 190
/// requests that would have waited for 400 ms or more behind all others, half started
/// within 270 ms.
const LESS_URGENT_SHARE: f64 = 0.25;

/// Longest delay of a more urgent prompt by less urgent ones where few of those are at
/// the engine: the rest of the chunk that it prefills, of up to 2,048 tokens at 25.8 per
/// ms. With a share of all less urgent prompts, urgent requests were refused behind
/// backlogs of seconds that engines let them pass.
const CHUNK_MS: f64 = 80.0;

/// Prompt tokens of requests without a first answer, by priority. Tokens are scaled to
/// the number that takes the same time at a time factor of 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillQueue {
    tokens: [u64; PRIORITY_LEVELS],
}

impl PrefillQueue {
    /// The empty queue.
    pub const EMPTY: Self = Self {
        tokens: [0; PRIORITY_LEVELS],
    };

    /// The queue of a single request's prompt.
    pub const fn single(priority: u32, tokens: u64) -> Self {
        let mut queue = Self::EMPTY;
        queue.tokens[index(priority)] = tokens;
        queue
    }

    /// Creates a queue from tokens by priority. Missing priorities are empty, further
    /// ones are ignored.
    pub fn from_priorities(tokens: &[u64]) -> Self {
        let mut queue = Self::EMPTY;
        for (own, tokens) in queue.tokens.iter_mut().zip(tokens) {
            *own = *tokens;
        }
        queue
    }

    /// Tokens by priority.
    pub const fn by_priority(&self) -> &[u64; PRIORITY_LEVELS] {
        &self.tokens
    }

    /// Whether no prompt is waiting.
    pub fn is_empty(&self) -> bool {
        *self == Self::EMPTY
    }

    /// Adds the prompts of another queue.
    pub fn add(&mut self, other: &Self) {
        for (own, other) in self.tokens.iter_mut().zip(other.tokens) {
            *own = own.saturating_add(other);
        }
    }

    /// Removes the prompts of another queue.
    pub fn remove(&mut self, other: &Self) {
        for (own, other) in self.tokens.iter_mut().zip(other.tokens) {
            *own = own.saturating_sub(other);
        }
    }

    /// Tokens of all priorities.
    pub fn total_tokens(&self) -> u64 {
        self.tokens
            .iter()
            .fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    /// Time to prefill all prompts.
    pub fn prefill_ms(&self) -> f64 {
        ms(self.tokens.iter().sum())
    }

    /// Time for which a request of this priority waits behind the queue.
    pub fn wait_ms(&self, priority: u32) -> f64 {
        let (ahead_ms, less_urgent_ms) = self.split_ms(priority);
        ahead_ms + less_urgent_ms * LESS_URGENT_SHARE
    }

    /// The same where less urgent prompts delay a request by one chunk at most.
    pub fn wait_behind_chunk_ms(&self, priority: u32) -> f64 {
        let (ahead_ms, less_urgent_ms) = self.split_ms(priority);
        ahead_ms + (less_urgent_ms * LESS_URGENT_SHARE).min(CHUNK_MS)
    }

    /// Time to prefill the prompts that a request of this priority must not delay: all but
    /// those of the least urgent priority, and those too for a request of that.
    pub fn unread_ms(&self, priority: u32) -> f64 {
        let least_urgent = PRIORITY_LEVELS as u32 - 1;
        self.split_ms(priority.max(least_urgent - 1)).0
    }

    /// Time to prefill the prompts of this priority and above, and that for the others.
    fn split_ms(&self, priority: u32) -> (f64, f64) {
        let (ahead, less_urgent) = self.tokens.split_at(index(priority) + 1);
        (ms(ahead.iter().sum()), ms(less_urgent.iter().sum()))
    }
}

const fn index(priority: u32) -> usize {
    let priority = priority as usize;
    if priority < PRIORITY_LEVELS {
        priority
    } else {
        PRIORITY_LEVELS - 1
    }
}

fn ms(tokens: u64) -> f64 {
    tokens as f64 / PROMPT_TOKENS_PER_MS
}
