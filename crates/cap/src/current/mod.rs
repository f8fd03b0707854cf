//! Costs at the required size with the current design: every entry connects to
//! every agent and to every other entry, and forwards everything it receives.

mod agent;
mod entry;
mod events;
mod platform;

use crate::measurements::Measurements;
use crate::target::{CapacityTarget, NodeBudget};

pub use events::events;
pub use platform::platform;

/// One row of a table of estimated costs.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Process that bears the cost.
    pub role: &'static str,
    /// What the cost is for.
    pub quantity: &'static str,
    /// How the result was calculated.
    pub formula: String,
    /// Cost at the required size.
    pub result: f64,
    /// Unit of result and budget.
    pub unit: &'static str,
    /// Budget, if the users set one.
    pub budget: Option<f64>,
}

impl Row {
    /// Whether the result exceeds its budget.
    pub fn exceeds_budget(&self) -> bool {
        self.budget.is_some_and(|budget| self.result > budget)
    }
}

pub(crate) fn row(
    role: &'static str,
    quantity: &'static str,
    formula: String,
    result: f64,
    unit: &'static str,
    budget: Option<f64>,
) -> Row {
    Row {
        role,
        quantity,
        formula,
        result,
        unit,
        budget,
    }
}

pub(crate) const UNIT_CORE: &str = "% of a core";
pub(crate) const UNIT_RATE: &str = "kB/s";
pub(crate) const UNIT_MEMORY: &str = "MB";

/// All rows of the system's own processes.
pub fn process_rows(
    measurements: &Measurements,
    target: &CapacityTarget,
    budget: &NodeBudget,
) -> Vec<Row> {
    let mut rows = entry::cpu_time(measurements, target, budget);
    rows.extend(entry::traffic_and_memory(measurements, target, budget));
    rows.extend(entry::planner(measurements, target, budget));
    rows.extend(agent::agent(measurements, target, budget));
    rows.extend(agent::operator_tool(measurements, target));
    rows
}

/// Memory that the link to one agent takes at an entry, with its buffers and
/// tasks: the measured growth per agent without the agent's record in the
/// directory.
pub fn link_memory_bytes(measurements: &Measurements) -> f64 {
    let slope = measurements
        .fit_by_agents(|idle| idle.entry_bytes as f64)
        .slope;
    (slope - measurements.memory_per_item("agent known")).max(0.0)
}
