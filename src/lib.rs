//! Sesameshore serves many models and adapters from fewer accelerators.
//!
//! The work is done by the crates under `crates/`; `docs/architecture.md` tells
//! what each is for. This package holds the tests of the whole, under
//! `tests/`.
