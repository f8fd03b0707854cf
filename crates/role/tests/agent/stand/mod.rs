//! Stand-ins: a platform, an engine with memory, and an agent between them.

mod engine;
mod node;
mod platform;
mod runs;

pub use engine::Engine;
pub use node::Node;
pub use platform::Platform;
pub use runs::{attempt, id, model_run, service_run};

pub const HEARTBEAT_MS: u64 = 500;
pub const ORDER_DELAY_MS: u64 = 3_000;
pub const ENTRY: &str = "entry-1";
