//! Configuration: what operators write, how it is checked and how it is kept.
//!
//! There are two kinds of document. Each process reads its own *settings* from
//! a file at start. The *fleet configuration* is one document per deployment,
//! held by the platform as a log of changes ([`ConfigLog`]) and resolved for
//! the decisions ([`Config`]).
//!
//! Invariants:
//!
//! - A document is checked whole; all its faults are reported in one go, each
//!   with a number, a line and a column.
//! - A revision, once accepted, is never replaced, and no process goes back to
//!   an older one.

mod config;
mod defaults;
mod log;
pub mod merge;

pub use config::{
    CallerSpec, Config, ModelSpec, PoolSpec, ProfileKind, ProfileSpec, ServiceSpec,
    key_hash,
};
pub use log::{ConfigLog, LogError, REVISION_PREFIX, SNAPSHOT_KEY, revision_key};
