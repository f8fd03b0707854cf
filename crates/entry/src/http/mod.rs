//! HTTP towards callers.

mod ask;
mod body;
mod error;
mod fault;
mod guard;
mod head;
mod serve;
mod server;
mod sse;
mod stall;
mod whole;

pub use error::error_answer;
pub(crate) use server::CallerServer;
pub use stall::StallTimeout;
