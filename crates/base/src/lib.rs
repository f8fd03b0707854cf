//! Common types of every crate: names, identifiers, time and result codes.
//!
//! The crate has no I/O and no clock. Decisions take an [`Instant`] that the
//! caller read from the runtime's clock, so tests pause and advance it, and the
//! same input gives the same output on every run.
//!
//! Two types carry promises of the whole system:
//!
//! - [`Ran`] is what the system says about a request that got no whole answer.
//!   `NotRun` is only used where the request provably was not run.
//! - [`Code`] is the numbered result code; `docs/errors.md` lists every one.

mod code;
mod id;
mod name;
mod platform;
mod time;
mod timers;

pub use code::{Code, Ran, Refusal};
pub use id::{AttemptId, Epoch, Incarnation, RequestId, Revision};
pub use name::{
    AgentId, CallerId, DomainId, EntryId, ModelId, PoolId, ProfileId, ServiceId,
};
pub use platform::{
    Expect, PlatformAnswer, PlatformCall, PlatformOp, PlatformResult, Version,
};
pub use time::Instant;
pub use timers::Timers;

/// The types that most modules need.
pub mod prelude {
    pub use crate::{
        AgentId, AttemptId, CallerId, Code, DomainId, EntryId, Epoch, Incarnation,
        Instant, ModelId, PoolId, ProfileId, Ran, Refusal, RequestId, Revision,
        ServiceId,
    };
    pub use std::time::Duration;
}
