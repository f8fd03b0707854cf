//! What came of a run.

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Statements of the script that did not hold, and promises broken.
    pub failures: Vec<String>,
    /// Everything that happened, a line an event, for reading and for showing
    /// that two runs are the same.
    pub log: Vec<String>,
}

impl Outcome {
    /// Whether everything held.
    pub const fn passed(&self) -> bool {
        self.failures.is_empty()
    }
}
