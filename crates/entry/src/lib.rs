//! The entry process: it serves callers over HTTP and talks to agents and other
//! entries over links (framed TCP connections).
//!
//! Every decision is made by the state machine [`role::entry::EntryRole`], which
//! does no I/O. The driver in this crate turns what it receives into events of
//! the state machine, and runs the actions that the state machine returns. The
//! bytes of a request and its answer never enter the state machine: the driver
//! holds them, and the actions say where they go.
//!
//! Invariants:
//!
//! - A response ends cleanly only if the state machine reported it complete and
//!   every unit of it was queued for the caller in order. Otherwise it ends with
//!   an error.
//! - The state machine learns at once that a caller has disconnected, from a
//!   guard that the HTTP library drops with the connection.
//! - The task that reads a link never waits for a caller: between them is a
//!   bounded queue, and a request whose queue overflows is aborted.
//! - No lock is held across an await, nor while the state machine is called.

mod active_requests;
mod backoff;
mod driver;
mod http;
mod links;
mod metrics;
mod operator_api;
pub mod response_queue;
mod start;

pub use http::{WriteTimeout, error_response};
pub use start::{EntryHandle, run, start, start_with_platform};
