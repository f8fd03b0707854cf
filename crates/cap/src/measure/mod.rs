//! One module for each thing measured.

pub mod agent;
pub mod agent_rig;
pub mod bytes;
pub mod choose;
pub mod claims;
pub mod clock;
pub mod config;
pub mod entry;
pub mod entry_rig;
pub mod links;
pub mod memory;
pub mod messages;
pub mod outage;
pub mod plan;
pub mod processes;
pub mod timeline;
