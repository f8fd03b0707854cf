//! Claims against a platform that is away, loses answers, and serves another
//! agent meanwhile.

mod agents;
mod shards;
mod stand;
mod writes;
