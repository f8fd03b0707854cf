//! Rendezvous hashing (highest random weight).
//!
//! All processes that know the same names compute the same winner without
//! exchanging messages. Adding or removing a name moves only the keys that it wins.

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::suspect_parts::PromptPart;

/// Weight of `name` for `key`; the highest weight wins.
pub fn rendezvous_weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Returns the entry that starts exclusive runs of suspect requests for `model`, or
/// `None` without entries.
///
/// The key is the model rather than the fingerprint. The owner can then limit
/// itself to one suspect request in flight per model without coordination.
pub fn exclusive_run_owner<'a>(
    model: &ModelId,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    winner(
        xxh3_64_with_seed(model.as_str().as_bytes(), EXCLUSIVE_RUN_SEED),
        entries,
    )
}

/// Returns the entry that probes a failing upstream for the fleet, or `None`
/// without entries.
pub fn probing_entry<'a>(
    agent: &AgentId,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    winner(
        xxh3_64_with_seed(agent.as_str().as_bytes(), PROBE_SEED),
        entries,
    )
}

/// Number of entries that probe a refused part of prompts before all others do. Each may
/// crash an upstream, and only requests that reach one of them can release the part.
pub(crate) const PART_PROBING_ENTRIES: usize = 4;

/// Whether `entry` is one of those that probe a part of prompts before all others do.
pub fn is_part_probing_entry<'a>(
    part: &PromptPart,
    entry: &EntryId,
    others: impl IntoIterator<Item = &'a EntryId>,
) -> bool {
    part_probing_rank(part, entry, others) < PART_PROBING_ENTRIES
}

/// Returns the number of entries that probe a part of prompts before `entry` does.
pub fn part_probing_rank<'a>(
    part: &PromptPart,
    entry: &EntryId,
    others: impl IntoIterator<Item = &'a EntryId>,
) -> usize {
    let service = xxh3_64_with_seed(part.service.as_bytes(), PROBE_SEED);
    let key = xxh3_64_with_seed(&part.part.to_le_bytes(), service);
    let rank = |entry: &'a EntryId| (rendezvous_weight(key, entry.as_str()), entry);
    let own = (rendezvous_weight(key, entry.as_str()), entry);
    let before = others.into_iter().map(rank).filter(|other| *other > own);
    before.count()
}

/// Different seeds keep the uses independent if a model and an agent have the same
/// name.
const EXCLUSIVE_RUN_SEED: u64 = 0x0061_6c6f_6e65;
const PROBE_SEED: u64 = 0x0070_726f_6265;

/// Returns the entry with the highest weight for `key`.
fn winner<'a>(
    key: u64,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    // The name breaks ties, so that the winner does not depend on the order.
    entries
        .into_iter()
        .max_by_key(|entry| (rendezvous_weight(key, entry.as_str()), *entry))
}
