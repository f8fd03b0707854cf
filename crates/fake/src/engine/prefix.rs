//! Limited cache of prompt starts.

use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::text::BYTES_PER_TOKEN;

/// Prompt tokens in one block; only whole blocks are cached.
pub(super) const BLOCK_TOKENS: u64 = 16;

/// Blocks of prompt starts, the least recently used of which goes first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    blocks_max: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    by_age: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(blocks_max: usize) -> Self {
        Self {
            blocks_max,
            clock: 0,
            used: HashMap::new(),
            by_age: BTreeMap::new(),
        }
    }

    /// Tokens of `prompt` that are cached; the whole of it is cached after.
    ///
    /// `seed` keeps models apart.
    pub(super) fn admit(&mut self, seed: u64, prompt: &str) -> u64 {
        let block_bytes = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
        let mut hash = seed;
        let mut hits = 0;
        let mut missed = false;
        for block in prompt.as_bytes().chunks_exact(block_bytes) {
            hash = xxh3_64_with_seed(block, hash);
            missed |= !self.used.contains_key(&hash);
            hits += u64::from(!missed);
            self.touch(hash);
        }
        hits * BLOCK_TOKENS
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.by_age.remove(&before);
        }
        self.by_age.insert(self.clock, block);
        while self.used.len() > self.blocks_max {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                return;
            };
            self.used.remove(&oldest);
        }
    }
}
