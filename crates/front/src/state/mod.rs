//! The shared state of the process, in parts that each have their own lock.
//!
//! Nothing here runs by itself. The tasks and request handlers in the modules
//! next to this one use these parts; the parts don't use them.

pub(crate) mod caller_request;
pub(crate) mod connection_pool;
pub(crate) mod coordinator;
pub(crate) mod entry_queues;
pub(crate) mod fair_shares;
pub(crate) mod lease_relay;
pub(crate) mod managed_upstream;
pub(crate) mod metered_platform;
mod metrics;
mod node;
pub(crate) mod peers;
pub(crate) mod quota;
pub(crate) mod shutdown;
pub(crate) mod stream_origins;
pub(crate) mod transfer;
pub(crate) mod unreadable;
pub(crate) mod wanted_adapters;

pub(crate) use node::Node;
