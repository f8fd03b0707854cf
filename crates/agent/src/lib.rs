//! The agent's process: what stands beside one upstream.
//!
//! [`AgentRole`](role::agent::AgentRole) decides; this crate carries out. It
//! listens for entries, hands attempts and orders to the upstream, asks for its
//! state, calls the platform, and tells the machine what came of all that.
//!
//! Invariants:
//!
//! - The machine is called under one lock, and the frames it asks for are
//!   queued under the same lock: each entry sees them in the order in which
//!   they were decided. A part that overtook its end would break an answer.
//! - Nothing waits under that lock. A part's room in the link's queue is waited
//!   for before the machine hears of the part, so a slow entry holds back its
//!   own answers at the upstream and nothing else.
//! - An attempt is told as not run only if no byte of it was written to the
//!   upstream's connection, or the upstream itself said so.
//! - Payloads never enter the machine, but for the answers it is to keep.

mod attempts;
mod driver;
mod link_listener;
mod links;
mod metrics;
mod operator_api;
mod predecessor;
mod start;
mod upstream;

pub use start::{AgentHandle, run, start, start_with_platform};
