//! The platform's object API, and small HTTP calls to operators' listeners.
//!
//! [`ObjectApi`] is the border: the shells hold it as a trait object, and
//! [`HttpPlatform`] speaks the protocol of `docs/architecture.md`.
//!
//! The invariant that everything else rests on is how a missing answer is told:
//!
//! - [`PlatformResult::Unavailable`](base::PlatformResult::Unavailable) says that a call
//!   provably had no effect. A write is `Unavailable` only if no connection could be
//!   made or the platform itself refused it.
//! - Any other write without a whole answer is
//!   [`PlatformResult::Unanswered`](base::PlatformResult::Unanswered): it may
//!   have taken effect, and its caller reads back what became of it.
//! - A read has no effect, so one without an answer is `Unavailable`.

mod answer;
mod client;
pub mod http;
mod object_api;
mod request;

pub use client::HttpPlatform;
pub use object_api::ObjectApi;
