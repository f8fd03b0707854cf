//! The remote process of a link.

use base::{AgentId, EntryId};
use std::fmt;

/// The process at the remote end of a link.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Peer {
    /// An entry process.
    Entry(EntryId),
    /// The agent process of one upstream.
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
