//! The operators' command line, `sesamectl`, as a library.
//!
//! Operators publish the fleet configuration, drain instances and inspect
//! processes and their logs. The binary `sesamectl` parses the command line,
//! runs one command of this crate and exits with the code of an [`ExitStatus`].
//!
//! Only `publish` changes stored data. Its decisions are made by the state
//! machine [`publish::Publisher`], which does no I/O:
//!
//! - A change is accepted when the object of its revision is created. If two
//!   operators publish at once, one creation succeeds, and the other operator
//!   gets a conflict that lists what the first one changed.
//! - A document is published against the revision that it was made from, so it
//!   can't silently revert a change that someone else published since.
//! - When a write gets no answer, the object is read back to find out whether
//!   the write took effect. If that can't be found out, the outcome is reported
//!   as unknown, never as refused.

pub mod changes;
pub mod commands;
mod error;
mod exit;
pub mod head;
pub mod history;
pub mod losses;
pub mod members;
pub mod options;
pub mod publish;
mod report;

pub use error::CtlError;
pub use exit::ExitStatus;
pub use report::Report;
