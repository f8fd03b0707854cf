//! The measurements, one module for each measured part, and the harnesses that
//! they use.

pub mod agent;
pub mod agent_harness;
pub mod bytes;
pub mod choose_holder;
pub mod claims;
pub mod config;
pub mod entry;
pub mod entry_harness;
pub mod idle;
pub mod memory;
pub mod messages;
pub mod outage;
pub mod plan;
pub mod processes;
pub mod sampling;
pub mod timeline;
