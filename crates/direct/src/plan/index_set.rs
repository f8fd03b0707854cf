//! A bit set of small integers.

const WORD_BITS: usize = u64::BITS as usize;

/// A bit set of small integers that counts the intersection of two sets word by word.
#[derive(Debug, Clone, Default)]
pub(super) struct IndexSet(Vec<u64>);

impl IndexSet {
    pub(super) fn insert(&mut self, index: usize) {
        let word = index / WORD_BITS;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << (index % WORD_BITS);
    }

    pub(super) fn remove(&mut self, index: usize) {
        if let Some(word) = self.0.get_mut(index / WORD_BITS) {
            *word &= !(1 << (index % WORD_BITS));
        }
    }

    pub(super) fn contains(&self, index: usize) -> bool {
        let word = self.0.get(index / WORD_BITS);
        word.is_some_and(|word| word & (1 << (index % WORD_BITS)) != 0)
    }

    /// Number of elements that both sets contain.
    pub(super) fn common(a: &Self, b: &Self) -> u32 {
        let words = a.0.iter().zip(&b.0);
        words.map(|(a, b)| (a & b).count_ones()).sum()
    }
}
