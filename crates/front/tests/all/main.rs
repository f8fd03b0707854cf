//! Tests of the parts of the entry's process that need no network.

mod events;
mod log;
