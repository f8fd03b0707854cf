//! A small seeded, time-stepped queue model of one cell, for comparing
//! placement policies on the same demand.
//!
//! Each server has one accelerator that runs `places` requests at once; a
//! request occupies its place for its tokens times the step time. A load waits
//! for the store's rate, then takes the load time, stretched when more loads run
//! than the store serves at full speed. A model that is taken off finishes its
//! running requests first. A request that can no longer end by its deadline is
//! given up on.

pub mod bound;
pub mod cell;
pub mod policies;
pub mod server;
pub mod setup;
pub mod traffic;

pub use cell::{Cell, Outcome};
pub use policies::{Lru, Planned, Policy, Static};
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
            cell.follow(targets);
        }
    }
    cell.outcome()
}
