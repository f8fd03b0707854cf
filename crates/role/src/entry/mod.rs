//! The entry's machine: admission, routing, answers, directory and planning.

mod accept;
mod book;
mod control;
mod counters;
mod event;
mod follow;
mod health;
mod options;
mod report;
mod requests;
mod role;
mod shared;
mod status;
mod suspicion;
mod tally;
mod trace;
mod waiting;
mod wanted;

pub use counters::{EntryCounters, RefusalCount};
pub use event::{EntryAction, EntryEvent, IncomingRequest, RequestedResource};
pub use options::EntryOptions;
pub use role::EntryRole;
pub use status::{AgentSummary, EntryStatus, ModelSummary, PeerEntrySummary};
pub use tally::{DecisionCount, ProfileOutcomes};
