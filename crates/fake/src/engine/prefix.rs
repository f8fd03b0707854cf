//! Bounded cache of prompt prefixes.

use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::text::BYTES_PER_TOKEN;

/// Prompt tokens per block; only complete blocks are cached.
pub(super) const BLOCK_TOKENS: u64 = 16;

/// Cache of prompt prefixes in blocks, which evicts the least recently used block.
/// A block's hash also covers all blocks before it.
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

    /// Returns the number of leading tokens of `prompt` that are cached, and caches all
    /// its blocks.
    ///
    /// `seed` identifies the model, since prefixes are not shared between models.
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
