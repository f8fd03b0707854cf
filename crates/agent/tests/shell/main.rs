//! The agent's shell against an engine, a plain service and an entry on
//! loopback.

mod engine;
mod orders;
mod questions;
mod service;
mod support;
