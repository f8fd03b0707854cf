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

pub use counters::{CodeCount, EntryCounters};
pub use event::{Arrival, EntryAction, EntryEvent, Work};
pub use options::EntryOptions;
pub use role::EntryRole;
pub use status::{AgentStatusLine, EntryStatus, EntryStatusLine, ModelStatusLine};
pub use tally::{ProfileCount, ReasonCount};
