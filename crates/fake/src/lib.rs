//! Small stand-ins for the systems that Sesameshore meets only through their
//! protocols: the platform's object API, the engine, the weight store and the
//! plain service.
//!
//! Each runs as a program (`fake-platform`, …) or inside a test's process
//! ([`platform::start`], …). The protocols are those of `docs/architecture.md`;
//! the tests of this crate hold the stand-ins to them.
//!
//! Every stand-in has a second listener, `control`, on which faults are switched
//! (`PUT /control/faults`, the whole set at once) and counts are read
//! (`GET /control/counts`). Two invariants make them fit for tests of failures:
//!
//! - A fault does one thing. A lost answer has taken effect; a lost write has
//!   not; nothing else about the call changes.
//! - What the system must never do is counted where it would show: calls by
//!   idempotency key, runs by request id, accelerator memory overcommitted. A
//!   stand-in does what it is told also when that breaks a promise, and counts
//!   it.
//!
//! An answer's tokens are a function of model, version, prompt and place
//! ([`text`]), so a caller can tell a whole answer from any other, and a resumed
//! one must equal an unbroken one.

mod base64;
pub mod demo;
pub mod engine;
mod faults;
mod handle;
mod http;
pub mod load;
pub mod overhead;
pub mod platform;
pub mod program;
pub mod service;
pub mod store;
pub mod text;

pub use handle::{ANY_PORT, Handle};
