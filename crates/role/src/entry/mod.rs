//! The entry process's state machine.
//!
//! It authenticates and admits callers' requests, routes each to an agent, passes
//! the answers on, tracks which processes are alive and plans which models are
//! loaded where.

mod accept;
mod circuit_breakers;
mod control;
mod counters;
mod event;
mod follow_up;
mod keyed_runs;
mod options;
mod outcome_counts;
mod report;
mod requests;
mod resolve;
mod role;
mod shared;
mod status;
mod suspect_events;
mod timeline;
mod wait_queue;
mod workload;

pub use counters::{EntryCounters, RefusalCount};
pub use event::{EntryAction, EntryEvent, IncomingRequest, RequestedResource};
pub use options::EntryOptions;
pub use outcome_counts::{DecisionCount, ProfileOutcomes};
pub use role::EntryRole;
pub use status::{AgentSummary, EntryStatus, ModelSummary, PeerEntrySummary};
