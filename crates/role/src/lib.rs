//! State machines of the two process roles: the entry and the agent.
//!
//! Both are written sans I/O. A state machine takes an event and the current
//! time and returns actions. It performs no I/O, spawns no task, and has no
//! clock and no randomness of its own: the driver crates `entry` and `agent`,
//! the scenario tests and the benchmarks all drive the same code, and the same
//! events give the same actions on every run.

pub mod agent;
pub mod entry;
mod peer;

pub use peer::Peer;
