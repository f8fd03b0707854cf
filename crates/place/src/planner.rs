//! The planner and the steps of a plan.

use crate::budget::StoreBudget;
use crate::catalog::Catalog;
use crate::cell::CellState;
use crate::history::PlanHistory;
use crate::plan_builder::PlanBuilder;
use crate::types::{Plan, PlanInput};
use crate::{adapters, leaving, output, versions, wait_bound};

/// Plans which models the agents of one cell should hold.
#[derive(Debug, Default)]
pub struct Planner {
    budget: StoreBudget,
    history: PlanHistory,
}

impl Planner {
    /// Creates a planner without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the next plan. Agents and demands must be sorted by name.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> Plan {
        let mut catalog = Catalog::new(input);
        let mut cell = CellState::new(input.agents, &catalog);
        self.history.apply_to(input.now, &mut cell, &mut catalog);
        let store = input.config.store();
        let loads = cell.loads_in_progress(input.now, store.load_time_ms);
        let mut allowance =
            self.budget
                .refill(input.now, store, input.store_share, &loads);
        let mut builder = PlanBuilder::new(input, &catalog, cell, &mut allowance);
        wait_bound::place_urgent(&mut builder);
        builder.add_by_gain();
        versions::replace_outdated(&mut builder);
        adapters::place_worthwhile(&mut builder);
        wait_bound::place_early(&mut builder);
        leaving::evacuate(&mut builder);
        let (cell, notes) = builder.finish();
        self.budget.commit(&allowance);
        self.history.record(input.now, &cell, &catalog);
        output::to_plan(&cell, &catalog, notes, input)
    }
}
