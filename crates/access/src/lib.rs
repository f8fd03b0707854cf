//! Who a caller is: keys, and the workspaces that hold them.
//!
//! A configuration lists workspaces with their keys. A request carries a key in its
//! `Authorization` header; the entry has to know whose it is, before the request
//! costs anything, and the upstream must never see it. Everything here is pure.
//!
//! - [`parse_credential`] reads the header, strictly.
//! - [`KeyDigest`] is all that is kept of a key, of the configuration's and of the
//!   request's alike.
//! - [`WorkspaceDirectory`] finds the [`Workspace`] of a digest.
//!
//! Invariants:
//!
//! - A key stands nowhere behind the parser: neither `Debug` nor an error shows one,
//!   and what is looked up is a digest. Two keys are compared by their digests only,
//!   so how long a comparison takes says nothing of a key.
//! - A key belongs to one workspace. A configuration that gives one to two is
//!   refused as a whole, for it would be chance who pays.

mod credential;
mod digest;
mod directory;

pub use credential::{CREDENTIAL_MAX_BYTES, Credential, parse_credential};
pub use digest::KeyDigest;
pub use directory::{Workspace, WorkspaceDirectory, WorkspaceDirectoryError};
