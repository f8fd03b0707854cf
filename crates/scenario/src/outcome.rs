//! Result of a run.

/// Result of running a script.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Expectations of the script that were not met, and violated invariants.
    pub failures: Vec<String>,
    /// One line for each logged event. Identical logs show that two runs of a
    /// script were identical.
    pub log: Vec<String>,
}

impl Outcome {
    /// Whether every expectation was met and no invariant was violated.
    pub const fn passed(&self) -> bool {
        self.failures.is_empty()
    }
}
