//! What the process believes, each belief in a part of its own with its own lock.
//!
//! Nothing here runs by itself: the tasks and the ways of requests, in the modules
//! beside this one, use these parts, and no part uses them.

pub(crate) mod book;
pub(crate) mod call;
pub(crate) mod giver;
mod meters;
mod node;
pub(crate) mod peers;
pub(crate) mod pool;
pub(crate) mod quota;
pub(crate) mod relay;
pub(crate) mod stop;
pub(crate) mod unread;
pub(crate) mod wants;

pub(crate) use node::Node;
