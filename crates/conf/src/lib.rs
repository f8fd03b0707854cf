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
pub mod merge_patch;
mod rules;

pub use check::{
    check_agent_settings, check_entry_settings, check_fleet, check_fleet_value,
};
pub use config::{
    CallerSpec, Config, ModelSpec, PoolSpec, ProfileKind, ProfileSpec, ServiceSpec,
    sha256_hex,
};
pub use document::{
    DEPTH_MAX, DIAGNOSTICS_MAX, DOCUMENT_MAX_BYTES, Diagnostic, NAME_MAX_BYTES,
    VALUES_MAX,
};
pub use log::{ApplyError, ConfigLog, REVISION_KEY_PREFIX, SNAPSHOT_KEY, revision_key};
