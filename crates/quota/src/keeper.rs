//! Choice of the entry that keeps a workspace's tokens.

use xxhash_rust::xxh3::xxh3_64;

/// Selects the keeper of a workspace's tokens from `entries`; `None` without entries.
///
/// Uses rendezvous hashing: entries that know the same set of entries choose the same
/// keeper without any messages, and an entry that joins or leaves moves only the
/// workspaces that it keeps. Entries that know different sets may choose different
/// keepers; each keeper then has the tokens that it was fed.
pub fn select_keeper<'a>(
    workspace: &str,
    entries: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let key = xxh3_64(workspace.as_bytes());
    let entries = entries.into_iter();
    entries.max_by_key(|entry| (route::rendezvous_weight(key, entry), *entry))
}
