//! The far end of a link.

use base::{AgentId, EntryId};
use std::fmt;

/// The far end of a link.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// An entry.
    Entry(EntryId),
    /// The agent beside one upstream.
    Agent(AgentId),
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(id) => id.fmt(f),
            Self::Agent(id) => id.fmt(f),
        }
    }
}
