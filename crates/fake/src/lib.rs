//! Test doubles ("stand-ins") for the external systems that Sesameshore talks to:
//! the platform's object API, the model engine, the weight store and the plain
//! service. The crate also holds the load generator ([`load`]), the demo
//! ([`demo`]) and the overhead benchmark ([`overhead`]).
//!
//! Each stand-in runs as a program (`fake-platform`, …) or inside the process of a
//! test ([`platform::start`], …). The protocols are specified in
//! `docs/architecture.md`; the tests of this crate check the stand-ins against them.
//!
//! Every stand-in has a second listener, `control`, which sets faults
//! (`PUT /control/faults` replaces the whole set) and returns counters
//! (`GET /control/counts`). Tests of failures rely on two invariants:
//!
//! - A fault has exactly one effect. A write whose response is lost has been
//!   applied, a lost write has not, and nothing else about the request changes.
//! - Violations by the system are counted where they become visible: service
//!   requests by idempotency key, engine runs by request id, and loads that exceed
//!   an accelerator's memory. A stand-in carries out a request even if that is a
//!   violation, and counts it.
//!
//! The tokens of a response are a function of model, version, prompt and token index
//! ([`text`]). A caller can therefore check that a response is complete and its own,
//! and that a resumed response equals one that was not interrupted.

mod base64;
pub mod demo;
pub mod engine;
mod fault_count;
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
