//! The entry's process: callers' HTTP on one side, links on the other.
//!
//! Every decision is taken by [`role::entry::EntryRole`]. The shell turns what
//! it hears into the machine's events, and carries out the machine's actions.
//! The bytes of a request and its answer never enter the machine: the shell
//! holds them, and the machine says which go where.
//!
//! Invariants:
//!
//! - An answer ends cleanly only if the machine said that it is whole and every
//!   unit of it was queued for the caller in order. All else ends with an error.
//! - A caller that is gone is told to the machine at once, by a guard that the
//!   HTTP library drops with the connection.
//! - The reader of a link never waits for a caller: between them is a bounded
//!   queue, and over its bound that one request is broken off.
//! - No lock is held across an await, nor while the machine is called.

mod backoff;
mod calls;
mod http;
mod links;
mod metrics;
mod node;
mod operated;
pub mod reply;
mod start;

pub use http::{StallTimeout, error_answer};
pub use start::{EntryHandle, run, start, start_with};
