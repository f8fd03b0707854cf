//! Contract tests of the stand-ins: each holds one to the protocol in
//! `docs/architecture.md`, or shows that a fault does one thing and nothing else.
//!
//! Tests that measure a delay run on the paused clock and only ask that at least
//! that time has passed: sockets may take longer, never shorter.

#[path = "all/client.rs"]
mod client;
#[path = "all/engine.rs"]
mod engine;
#[path = "all/engine_faults.rs"]
mod engine_faults;
#[path = "all/load.rs"]
mod load;
#[path = "all/orders.rs"]
mod orders;
#[path = "all/platform.rs"]
mod platform;
#[path = "all/program.rs"]
mod program;
#[path = "all/service.rs"]
mod service;
#[path = "all/store.rs"]
mod store;
