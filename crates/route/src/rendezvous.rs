//! Rendezvous hashing (highest random weight).
//!
//! Every process that knows the same names computes the same winner without a
//! message, and a name that comes or goes moves only the keys it wins or won.

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `name` for `key`; the highest weight wins.
pub fn rendezvous_weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// The entry that runs suspects of `model` alone; `None` without entries.
///
/// The key is the model and not the fingerprint, because "one suspect in flight
/// for each model" then needs no agreement: the owner counts its own.
pub fn exclusive_run_owner<'a>(
    model: &ModelId,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    winner(
        xxh3_64_with_seed(model.as_str().as_bytes(), ALONE_SEED),
        entries,
    )
}

/// The entry that probes a failing upstream for the fleet; `None` without
/// entries.
pub fn probing_entry<'a>(
    agent: &AgentId,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    winner(
        xxh3_64_with_seed(agent.as_str().as_bytes(), PROBE_SEED),
        entries,
    )
}

/// Keeps the two uses of rendezvous apart where a model and an agent share a
/// name.
const ALONE_SEED: u64 = 0x0061_6c6f_6e65;
const PROBE_SEED: u64 = 0x0070_726f_6265;

fn winner<'a>(
    key: u64,
    entries: impl IntoIterator<Item = &'a EntryId>,
) -> Option<&'a EntryId> {
    // The name breaks a tie, so the winner does not depend on the order.
    entries
        .into_iter()
        .max_by_key(|entry| (rendezvous_weight(key, entry.as_str()), *entry))
}
