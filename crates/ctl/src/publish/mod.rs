//! Publishes a fleet configuration as the next revision.

mod proposal;
mod publisher;
mod run;

pub use proposal::{Conflict, Evaluation, Proposal, PublishRequest};
pub use publisher::{PublishOutcome, Publisher, Step};
pub use run::publish;
