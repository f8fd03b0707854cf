//! One server, and what a run gives.

use super::traffic::Request;

/// Where a resident is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waits for the store.
    Queued,
    Loading,
    Loaded,
    /// Finishes what runs before it is unloaded.
    Draining,
    Unloading,
}

#[derive(Debug, Clone)]
pub struct Resident {
    pub model: usize,
    pub stage: Stage,
    pub since_ms: u64,
    pub left_ms: f64,
}

#[derive(Debug, Clone)]
pub struct Running {
    pub request: Request,
    pub end_ms: u64,
}

/// One accelerator.
#[derive(Debug, Clone, Default)]
pub struct Server {
    pub residents: Vec<Resident>,
    pub running: Vec<Running>,
    pub target: Vec<usize>,
    pub lost_at_ms: Option<u64>,
}

/// What one run gave.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub offered: u64,
    pub attained: u64,
    pub offered_interactive: u64,
    pub attained_interactive: u64,
    pub moves: u64,
    /// Longest time a model with work went without any of it being started.
    pub longest_wait_ms: u64,
    pub accelerator_s: f64,
    /// Attained and moves in each second.
    pub seconds: Vec<(u64, u64)>,
}

impl Outcome {
    pub fn share(&self) -> f64 {
        self.attained as f64 / self.offered.max(1) as f64
    }

    pub fn per_accelerator(&self) -> f64 {
        self.attained as f64 / self.accelerator_s
    }
}
