//! The roles: one state machine for the entry and one for the agent.
//!
//! A machine takes an event and the present, and gives actions. It does no I/O,
//! starts no task, and has no clock and no randomness of its own: the thin
//! shells in `entry` and `agent`, the scenarios and the benchmarks all drive
//! the same code, and the same events give the same actions on every run.

pub mod agent;
pub mod entry;
mod peer;

pub use peer::Peer;
