//! Bounds on what callers make a process hold.
//!
//! Callers decide how many connections they open, how large their requests are, and when
//! to stop in the middle. Limits on single requests therefore bound nothing: the product
//! of the limit and the number of connections has to fit into the machine. This crate
//! derives a [`Budget`] from the machine and holds callers to it:
//!
//! - [`BodyMemory`] counts the bytes of request bodies while they are held, not while
//!   they are announced. When it runs short, bodies that make no progress give way, and
//!   the last part is kept for small bodies.
//! - [`read_body`] reads a body into that memory, in one piece, and ends one that makes no
//!   progress or whose time is over.
//! - [`ConnectionTable`] bounds the number of connections. When it is full, the one that
//!   has rested longest gives way to a new one.
//! - [`drain`] reads what a refused caller still sends, so that it gets the response.
//!
//! Invariants:
//!
//! - A whole request is never given up for memory: only bodies of which a part is missing
//!   are, and their requests have certainly not run.
//! - All memory is released by guards: that of a body when its last reference is dropped,
//!   wherever that is.

mod activity;
mod body_ledger;
mod body_memory;
mod budget;
mod connection_table;
mod drain;
mod listener;
mod machine;
mod read_body;

pub use activity::{Activity, BusyGuard, IdleGuard};
pub use body_ledger::{BodyId, BodyLedger, LedgerFull, NO_PROGRESS_MS};
pub use body_memory::{BodyMemory, BodyReservation, MemoryPressure};
pub use budget::Budget;
pub use connection_table::{
    ConnectionPermit, ConnectionTable, Eviction, TableFull, TableUse,
};
pub use drain::{discard, drain};
pub use listener::bind;
pub use machine::{ConfiguredMachine, Machine};
pub use read_body::{BodyError, BodyLimits, hold, read_body};
