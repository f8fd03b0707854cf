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

mod check;
mod config;
mod defaults;
mod document;
mod log;
pub mod merge;
mod rules;

pub use check::{
    check_agent_settings, check_document, check_entry_settings, check_fleet,
};
pub use config::{
    CallerSpec, Config, ModelSpec, PoolSpec, ProfileKind, ProfileSpec, ServiceSpec,
    key_hash,
};
pub use document::{
    DEPTH_MAX, DOCUMENT_MAX_BYTES, FAULTS_MAX, Fault, NAME_MAX_BYTES, VALUES_MAX,
};
pub use log::{ConfigLog, LogError, REVISION_PREFIX, SNAPSHOT_KEY, revision_key};
