//! Changes of platform objects that are passed on in several messages, because they are
//! larger than a datagram.

use schema::peer::Watched;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Largest part of packed changes. A datagram holds 60 kB, and the first part comes with
/// the sender's state.
pub(crate) const PART_MAX_BYTES: usize = 48 << 10;

/// Most parts that are accepted of the same changes. It bounds what is kept of a sender's
/// messages, and leaves room for senders that pass on more.
const PARTS_MAX: u32 = 16;

/// Divides what a watch observed into parts that each fit into a message.
pub fn split_watched(watched: Watched) -> Vec<Watched> {
    if watched.packed.len() <= PART_MAX_BYTES {
        return vec![watched];
    }
    let packed_hash = xxh3_64(&watched.packed);
    let chunks = watched.packed.chunks(PART_MAX_BYTES);
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let parts = (0..).zip(chunks).map(|(number, bytes)| Watched {
        age_ms: watched.age_ms,
        packed: bytes.to_vec(),
        number,
        count,
        packed_hash,
        ..Watched::default()
    });
    parts.collect()
}

/// The parts that were received of the latest changes of one collection.
#[derive(Debug, Default)]
pub struct WatchedParts {
    packed_hash: u64,
    count: u32,
    parts: BTreeMap<u32, Vec<u8>>,
}

impl WatchedParts {
    /// Adds a part. Returns the whole when all parts have arrived.
    ///
    /// A part of other changes replaces those that were received before: the sender
    /// repeats what was incomplete.
    pub fn add(&mut self, part: &Watched) -> Option<Watched> {
        if part.count == 0 {
            return Some(part.clone());
        }
        let is_valid = part.count <= PARTS_MAX && part.number < part.count;
        if !is_valid || part.packed.len() > PART_MAX_BYTES {
            return None;
        }
        if (self.packed_hash, self.count) != (part.packed_hash, part.count) {
            *self = Self {
                packed_hash: part.packed_hash,
                count: part.count,
                parts: BTreeMap::new(),
            };
        }
        self.parts.insert(part.number, part.packed.clone());
        if self.parts.len() < self.count as usize {
            return None;
        }
        let parts = std::mem::take(&mut self.parts).into_values();
        let packed: Vec<u8> = parts.flatten().collect();
        (xxh3_64(&packed) == part.packed_hash).then_some(Watched {
            age_ms: part.age_ms,
            packed,
            ..Watched::default()
        })
    }
}
