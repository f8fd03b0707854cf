//! Placement: which models are held by which accelerators.

mod types;

pub use types::{
    AgentTarget, AgentView, Assignment, ModelDemand, PlaceReason, Plan, PlanInput,
    PlanNote, ResidentState, ResidentView,
};

/// Plans the residency of one cell.
#[derive(Debug, Default)]
pub struct Planner {}

impl Planner {
    /// A planner that has made no plan yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the next plan.
    pub fn plan(&mut self, _input: &PlanInput<'_>) -> Plan {
        Plan::default()
    }
}
