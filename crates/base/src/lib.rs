//! Types shared by all crates: names, identifiers, time and error codes.
//!
//! The crate does no I/O and reads no clock. State machines take an [`Instant`]
//! that their driver read from the runtime's clock, so tests can pause and advance
//! time, and the same input gives the same output on every run.
//!
//! Two types are part of the system's contract with its callers:
//!
//! - [`RunStatus`] says whether a request without a complete answer has run. It is
//!   `NotRun` only if the request certainly did not run.
//! - [`ErrorCode`] is the numbered error code; `docs/errors.md` lists all of them.

mod code;
mod id;
mod name;
mod platform;
mod time;
mod timer_queue;

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
pub use timer_queue::TimerQueue;

/// Types that most modules need.
pub mod prelude {
    pub use crate::{
        AgentId, AttemptId, CallerId, EntryId, ErrorCode, FailureDomainId,
        FencingEpoch, Incarnation, Instant, ModelId, PoolId, ProfileId, RequestError,
        RequestId, Revision, RunStatus, ServiceId,
    };
    pub use std::time::Duration;
}
