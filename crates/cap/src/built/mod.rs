//! What each role costs at the target as it is built now: every entry connects to
//! every agent and to every other entry, and tells all it hears.

mod agent;
mod entry;
mod events;
mod platform;

use crate::measured::Measured;
use crate::target::{Budget, Target};

pub use events::events;
pub use platform::platform;

/// One line of a table of results.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Who pays.
    pub role: &'static str,
    /// What for.
    pub quantity: &'static str,
    /// How the result comes about.
    pub from: String,
    /// At the target.
    pub result: f64,
    /// Unit of result and budget.
    pub unit: &'static str,
    /// What may be spent, where the users gave it.
    pub budget: Option<f64>,
}

impl Row {
    /// Whether the result is over its budget.
    pub fn is_missed(&self) -> bool {
        self.budget.is_some_and(|budget| self.result > budget)
    }
}

pub(crate) fn row(
    role: &'static str,
    quantity: &'static str,
    from: String,
    result: f64,
    unit: &'static str,
    budget: Option<f64>,
) -> Row {
    Row {
        role,
        quantity,
        from,
        result,
        unit,
        budget,
    }
}

pub(crate) const CORE: &str = "% of a core";
pub(crate) const BYTES_S: &str = "kB/s";
pub(crate) const MEMORY: &str = "MB";

/// Every row of the system's own processes.
pub fn rows(m: &Measured, t: &Target, b: &Budget) -> Vec<Row> {
    let mut rows = entry::time(m, t, b);
    rows.extend(entry::rest(m, t, b));
    rows.extend(entry::planner(m, t, b));
    rows.extend(agent::agent(m, t, b));
    rows.extend(agent::operator(m, t));
    rows
}

/// Memory of one more agent at a real entry, less what the directory keeps of
/// it: the link with its buffers and tasks.
pub fn link_bytes(m: &Measured) -> f64 {
    let slope = m.by_agents(|rest| rest.entry_bytes as f64).slope;
    (slope - m.memory_of("agent known")).max(0.0)
}
