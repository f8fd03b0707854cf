//! Contract tests of the stand-ins. They check each against the protocol in
//! `docs/architecture.md`, and that each fault has its one effect and no other.
//!
//! Tests of delays run on a paused clock and check only a lower bound, since socket I/O
//! may add time but never takes any away.

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
