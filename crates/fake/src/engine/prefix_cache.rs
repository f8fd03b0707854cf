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
    use_counter: u64,
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(blocks_max: usize) -> Self {
        Self {
            blocks_max,
            use_counter: 0,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns the number of leading tokens of `prompt` that are cached, and caches all
    /// its blocks.
    ///
    /// `seed` identifies the model, since prefixes are not shared between models.
    pub(super) fn lookup_and_insert(&mut self, seed: u64, prompt: &str) -> u64 {
        let block_bytes = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
        let mut hash = seed;
        let mut cached_blocks = 0;
        let mut missed = false;
        for block in prompt.as_bytes().chunks_exact(block_bytes) {
            hash = xxh3_64_with_seed(block, hash);
            missed |= !self.last_use.contains_key(&hash);
            cached_blocks += u64::from(!missed);
            self.touch(hash);
        }
        cached_blocks * BLOCK_TOKENS
    }

    fn touch(&mut self, block: u64) {
        self.use_counter += 1;
        if let Some(previous_use) = self.last_use.insert(block, self.use_counter) {
            self.by_last_use.remove(&previous_use);
        }
        self.by_last_use.insert(self.use_counter, block);
        while self.last_use.len() > self.blocks_max {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use.remove(&oldest);
        }
    }
}
