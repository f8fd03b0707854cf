//! The agent process against an engine, a plain service and an entry on loopback.

mod engine;
mod health_refused;
mod orders;
mod service;
mod state_poll;
mod support;
