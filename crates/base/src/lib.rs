//! Common types of every crate: names, identifiers, time and result codes.
//!
//! The crate has no I/O and no clock. Decisions take an [`Instant`] that the
//! caller read from the runtime's clock, so tests pause and advance it, and the
//! same input gives the same output on every run.
//!
//! Two types carry promises of the whole system:
//!
//! - [`RunStatus`] is what the system says about a request that got no whole answer.
//!   `NotRun` is only used where the request provably was not run.
//! - [`ErrorCode`] is the numbered result code; `docs/errors.md` lists every one.

mod code;
mod id;
mod name;
mod platform;
mod time;
mod timers;

pub use code::{ErrorCode, RequestError, RunStatus};
pub use id::{AttemptId, FencingEpoch, Incarnation, RequestId, Revision};
pub use name::{
    AgentId, CallerId, EntryId, FailureDomainId, ModelId, PoolId, ProfileId, ServiceId,
};
pub use platform::{
    ObjectVersion, PlatformCall, PlatformOp, PlatformResponse, PlatformResult,
    Precondition,
};
pub use time::Instant;
pub use timers::TimerQueue;

/// The types that most modules need.
pub mod prelude {
    pub use crate::{
        AgentId, AttemptId, CallerId, EntryId, ErrorCode, FailureDomainId,
        FencingEpoch, Incarnation, Instant, ModelId, PoolId, ProfileId, RequestError,
        RequestId, Revision, RunStatus, ServiceId,
    };
    pub use std::time::Duration;
}
