//! Fake peers and helpers.

pub(crate) mod agent;
pub(crate) mod caller;
pub(crate) mod harness;
pub(crate) mod platform;
