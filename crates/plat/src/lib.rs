//! The client of the platform's object API, and HTTP requests to operators'
//! listeners.
//!
//! Processes use the platform through the trait [`ObjectApi`]; [`HttpPlatform`]
//! implements it with the protocol that `docs/architecture.md` describes.
//!
//! Callers rely on the result of an operation without a complete response:
//!
//! - [`PlatformResult::Unavailable`](base::PlatformResult::Unavailable) means that
//!   the operation certainly had no effect. A write or deletion has this result only
//!   if no connection could be made or the platform itself refused it.
//! - Any other write or deletion without a complete response is
//!   [`PlatformResult::Unanswered`](base::PlatformResult::Unanswered): it may have
//!   taken effect, and its caller has to read the object to find out.
//! - A read has no effect, so without a complete response it is `Unavailable`.
//! - [`PlatformResult::Written`](base::PlatformResult::Written) means that a conditional
//!   change was made to the state on which its caller decided. If the platform was
//!   restored from an older copy in between, the result is `Conflict` or `Unanswered`.

mod client;
mod generation;

pub mod http;
mod object_api;
mod request;
mod response;

pub use client::HttpPlatform;
pub use object_api::{ListedObject, ObjectApi};
