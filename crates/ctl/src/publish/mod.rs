//! Publishing a fleet configuration.

mod drive;
mod machine;
mod proposal;

pub use drive::publish;
pub use machine::{Outcome, Publisher, Step};
pub use proposal::{Conflict, Proposal, Request, Verdict};
