//! The operators' commands.
//!
//! Operators drive the system by publishing the fleet configuration and by
//! draining instances. `sesamectl` is a thin program around this crate: it
//! reads the command line, runs one command and ends with a documented
//! [`Exit`] code.
//!
//! The one command that changes something lasting is `publish`. Its decisions
//! are the state machine [`publish::Publisher`], which does no I/O:
//!
//! - A change is accepted by the creation of its revision's object, so of two
//!   operators one wins and the other is told what the winner changed.
//! - A document is published against the revision that it was made from. What
//!   others published since is never undone unnoticed.
//! - A write without an answer is settled by reading back. What can't be
//!   settled is told as unknown, and never as refused.

pub mod changes;
pub mod commands;
mod error;
mod exit;
pub mod head;
pub mod losses;
pub mod members;
pub mod options;
pub mod publish;
mod report;
pub mod trail;

pub use error::CtlError;
pub use exit::Exit;
pub use report::Report;
