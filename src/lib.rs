//! Sesameshore serves many models and adapters on fewer accelerators.
//!
//! The implementation is in the crates under `crates/`, which
//! `docs/architecture.md` describes. This package contains the tests of the whole
//! system, under `tests/`.
