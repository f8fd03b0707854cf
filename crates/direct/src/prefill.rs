//! Prompts that wait to be read at an engine.

/// Ranks of requests that are told apart, 0 the most urgent. Lower ones count as the
/// last: three kinds of prompts are more than most services have.
pub const PRIORITY_LEVELS: usize = 3;

/// Prompt tokens that an engine reads in a millisecond. Engines do not tell; paces
/// of models are factors on it, so only what is expected before any answer came
/// rests on it.
const PROMPT_TOKENS_PER_MS: f64 = 20.0;

/// Part of the less urgent prompts that delays a more urgent one. Engines read the
/// most urgent first, and finish the piece of a prompt that they are at: of 190
/// requests that would have waited for 400 ms and more behind all, half began within
/// 270 ms.
const LESS_URGENT_SHARE: f64 = 0.25;

/// Prompt tokens to be read of requests that have no first answer yet, by rank, as
/// many as take the same time at the common pace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillQueue {
    tokens: [u64; PRIORITY_LEVELS],
}

impl PrefillQueue {
    /// Nothing waits.
    pub const EMPTY: Self = Self {
        tokens: [0; PRIORITY_LEVELS],
    };

    /// One request's prompt.
    pub const fn single(rank: u32, tokens: u64) -> Self {
        let mut queue = Self::EMPTY;
        queue.tokens[index(rank)] = tokens;
        queue
    }

    /// A queue by rank; what is missing is none.
    pub fn from_priorities(tokens: &[u64]) -> Self {
        let mut queue = Self::EMPTY;
        for (own, tokens) in queue.tokens.iter_mut().zip(tokens) {
            *own = *tokens;
        }
        queue
    }

    /// Tokens by rank.
    pub const fn by_priority(&self) -> &[u64; PRIORITY_LEVELS] {
        &self.tokens
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        *self == Self::EMPTY
    }

    /// Adds what waits besides.
    pub fn add(&mut self, other: &Self) {
        for (own, other) in self.tokens.iter_mut().zip(other.tokens) {
            *own = own.saturating_add(other);
        }
    }

    /// Takes away what waits no more.
    pub fn remove(&mut self, other: &Self) {
        for (own, other) in self.tokens.iter_mut().zip(other.tokens) {
            *own = own.saturating_sub(other);
        }
    }

    /// Time that reading all of it takes.
    pub fn prefill_ms(&self) -> f64 {
        ms(self.tokens.iter().sum())
    }

    /// Time for which a request of a rank waits behind it.
    pub fn wait_ms(&self, rank: u32) -> f64 {
        let (ahead, behind) = self.tokens.split_at(index(rank) + 1);
        ms(ahead.iter().sum()) + ms(behind.iter().sum()) * LESS_URGENT_SHARE
    }
}

const fn index(rank: u32) -> usize {
    let rank = rank as usize;
    if rank < PRIORITY_LEVELS {
        rank
    } else {
        PRIORITY_LEVELS - 1
    }
}

fn ms(tokens: u64) -> f64 {
    tokens as f64 / PROMPT_TOKENS_PER_MS
}
