//! Validation and storage format of the configuration that operators write.
//!
//! There are two kinds of document. Each process reads its own *settings* from
//! a file at startup. The *fleet configuration* is one document per deployment.
//! The platform stores it as a log of changes ([`ConfigLog`]), and each process
//! resolves it into a [`Config`] for lookups.
//!
//! Invariants:
//!
//! - A document is always checked as a whole. All its errors are reported
//!   together, each with an error code, a line and a column.
//! - An accepted revision is never replaced, and no process goes back to an
//!   older one.

mod check;
mod config;
mod config_log;
mod defaults;
mod document;
pub mod merge_patch;
mod rules;

pub use check::{
    check_agent_settings, check_entry_settings, check_fleet, check_fleet_value,
};
pub use config::{
    CallerSpec, Config, ModelSpec, PoolSpec, ProfileKind, ProfileSpec, ServiceSpec,
    sha256_hex,
};
pub use config_log::{
    ApplyError, ConfigLog, REVISION_KEY_PREFIX, SNAPSHOT_KEY, revision_key,
};
pub use document::{
    DEPTH_MAX, DIAGNOSTICS_MAX, DOCUMENT_MAX_BYTES, Diagnostic, NAME_MAX_BYTES,
    VALUES_MAX,
};
