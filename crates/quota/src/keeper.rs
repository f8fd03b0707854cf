//! Which entry keeps a workspace's tokens.

use xxhash_rust::xxh3::xxh3_64;

/// The entry of these that keeps a workspace's tokens; `None` without entries.
///
/// By rendezvous hash: entries that know the same others name the same keeper without
/// a word, and one that goes or comes moves only the workspaces that it kept or will
/// keep. Where they differ in whom they know, each of their keepers has what it is fed.
pub fn select_keeper<'a>(
    workspace: &str,
    entries: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let key = xxh3_64(workspace.as_bytes());
    let entries = entries.into_iter();
    entries.max_by_key(|entry| (route::rendezvous_weight(key, entry), *entry))
}
