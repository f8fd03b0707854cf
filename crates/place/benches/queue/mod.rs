//! Seeded, time-stepped queueing model of one cell, for comparing placement
//! policies on the same demand.
//!
//! Each server has one accelerator with `slots` batch slots. A request occupies a
//! slot for its number of tokens times the step time. A load waits for the weight
//! store's rate limit and then takes the load time, or longer when more loads run
//! than the store serves at full speed. A model is unloaded after its running
//! requests have finished. A request that can no longer meet its deadline is
//! dropped.

pub mod bound;
pub mod cell;
pub mod policies;
pub mod server;
pub mod setup;
pub mod traffic;

pub use cell::{Cell, Outcome};
pub use policies::{Lru, PlannerPolicy, Policy, Static};
pub use setup::{Deployment, Setup};
pub use traffic::Workload;

/// Runs one policy over one workload.
pub fn run(setup: &Setup, workload: Workload, policy: &mut dyn Policy) -> Outcome {
    let traffic = traffic::generate(setup, workload);
    let mut cell = Cell::new(setup, workload);
    let start = policies::static_targets(setup);
    cell.preload(&start);
    for now_ms in (0..setup.duration_ms).step_by(cell::STEP_MS as usize) {
        cell.step(now_ms, &traffic);
        if let Some(targets) = policy.targets(&cell, now_ms) {
            cell.set_targets(targets);
        }
    }
    cell.outcome()
}
