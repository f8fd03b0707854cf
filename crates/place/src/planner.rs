//! The planner.

use crate::board::Board;
use crate::budget::StoreBudget;
use crate::catalog::Catalog;
use crate::choose::Choice;
use crate::memory::Memory;
use crate::types::{Plan, PlanInput};
use crate::{adapters, emit, leaving, turns, versions};

/// Plans the residency of one cell.
#[derive(Debug, Default)]
pub struct Planner {
    budget: StoreBudget,
    memory: Memory,
}

impl Planner {
    /// A planner that has made no plan yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes the next plan.
    ///
    /// Agents and demands have to be in order of name.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> Plan {
        let mut catalog = Catalog::new(input);
        let mut board = Board::new(input.agents, &catalog);
        self.memory.recall(input.now, &mut board, &mut catalog);
        let store = input.config.store();
        let loading = board.loading(input.now, store.load_time_ms);
        let mut allowance =
            self.budget
                .allow(input.now, store, input.store_share, &loading);
        let mut choice = Choice::new(input, &catalog, board, &mut allowance);
        turns::give_urgent(&mut choice);
        choice.by_worth();
        versions::renew(&mut choice);
        adapters::place(&mut choice);
        turns::give_early(&mut choice);
        leaving::empty(&mut choice);
        let (board, notes) = choice.finish();
        self.budget.book(&allowance);
        self.memory.remember(input.now, &board, &catalog);
        emit::plan(&board, &catalog, notes, input)
    }
}
