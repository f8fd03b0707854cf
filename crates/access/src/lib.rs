//! Authentication of callers: keys, and the workspaces to which they belong.
//!
//! A configuration lists workspaces with their keys. A request carries a key in its
//! `Authorization` header. The entry identifies the workspace before the request causes
//! any cost, and the upstream must never see the key. Everything in this crate is
//! deterministic and does no I/O.
//!
//! - [`parse_credential`] parses the header strictly.
//! - [`KeyDigest`] is all that is kept of a key, both of configured keys and of those
//!   in requests.
//! - [`WorkspaceDirectory`] finds the [`Workspace`] of a digest.
//!
//! Invariants:
//!
//! - No key is stored after parsing: neither `Debug` output nor errors contain keys,
//!   and lookups use digests. Keys are compared by their digests only, so the time of a
//!   comparison reveals nothing about a key.
//! - A key belongs to one workspace. A configuration that gives a key to two workspaces
//!   is rejected as a whole, because it would be arbitrary which of them is charged.

mod credential;
mod digest;
mod directory;

pub use credential::{CREDENTIAL_MAX_BYTES, Credential, parse_credential};
pub use digest::KeyDigest;
pub use directory::{Workspace, WorkspaceDirectory, WorkspaceDirectoryError};
