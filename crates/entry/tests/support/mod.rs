//! Stand-ins and helpers.

pub(crate) mod agent;
pub(crate) mod caller;
pub(crate) mod platform;
pub(crate) mod rig;
