//! State of one server, and the result of a run.

use super::traffic::Request;

/// Loading state of a resident model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waits for the weight store.
    Queued,
    Loading,
    Loaded,
    /// Finishes its running requests before it is unloaded.
    Draining,
    Unloading,
}

#[derive(Debug, Clone)]
pub struct Resident {
    pub model: usize,
    pub stage: Stage,
    /// When it entered this stage.
    pub since_ms: u64,
    /// Time left of the load at full speed, or of the unload.
    pub remaining_ms: f64,
}

#[derive(Debug, Clone)]
pub struct Running {
    pub request: Request,
    pub end_ms: u64,
}

/// A server with one accelerator.
#[derive(Debug, Clone, Default)]
pub struct Server {
    pub residents: Vec<Resident>,
    pub running: Vec<Running>,
    pub target: Vec<usize>,
    pub failed_at_ms: Option<u64>,
}

/// Result of one run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests completed by their deadline.
    pub attained: u64,
    pub offered_interactive: u64,
    pub attained_interactive: u64,
    /// Loads started and unloads.
    pub moves: u64,
    /// Longest time during which a model had requests and none of them started.
    pub longest_wait_ms: u64,
    /// Sum of the accelerators' time in service.
    pub accelerator_s: f64,
    /// Attained requests and moves in each second.
    pub seconds: Vec<(u64, u64)>,
}

impl Outcome {
    /// Fraction of the requests that were attained.
    pub fn share(&self) -> f64 {
        self.attained as f64 / self.offered.max(1) as f64
    }

    /// Requests attained per accelerator and second.
    pub fn per_accelerator(&self) -> f64 {
        self.attained as f64 / self.accelerator_s
    }
}
