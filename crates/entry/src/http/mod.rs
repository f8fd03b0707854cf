//! The HTTP server for callers.

mod buffered;
mod engine_request;
mod error;
mod handler;
mod rejection;
mod request_guard;
mod request_head;
mod response_body;
mod server;
mod sse;
mod write_timeout;

pub use error::error_response;
pub(crate) use server::CallerServer;
pub use write_timeout::WriteTimeout;
