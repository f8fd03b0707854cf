//! What the planner is told and what it answers.

use base::prelude::*;
use conf::Config;

/// All that one plan depends on.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// The present.
    pub now: Instant,
    /// Configuration in force.
    pub config: &'a Config,
    /// Agents of the cell, in order of name.
    pub agents: &'a [AgentView],
    /// Demand for each model and adapter, in order of name.
    pub demands: &'a [ModelDemand],
    /// Share of the weight store's budget this planner may use, 0 to 1.
    pub store_share: f64,
}

/// One agent as its heartbeats show it.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// Name.
    pub id: AgentId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Pool of the upstream.
    pub pool: PoolId,
    /// Memory of each accelerator.
    pub accelerators_mib: Vec<u32>,
    /// What is on the accelerators.
    pub residents: Vec<ResidentView>,
    /// The instance is stopping and has to be emptied.
    pub leaving: bool,
}

/// One model or adapter on one accelerator.
#[derive(Debug, Clone)]
pub struct ResidentView {
    /// Model or adapter.
    pub model: ModelId,
    /// Version loaded.
    pub version: u32,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Memory it takes.
    pub size_mib: u32,
    /// Where it is in its life.
    pub state: ResidentState,
    /// When the state was entered.
    pub since: Instant,
}

/// Where a resident is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResidentState {
    /// Being loaded; not yet able to serve.
    Loading,
    /// Able to serve.
    Loaded,
    /// Being unloaded; its memory is still taken.
    Unloading,
}

/// Demand for one model or adapter over all entries.
#[derive(Debug, Clone)]
pub struct ModelDemand {
    /// Model or adapter.
    pub model: ModelId,
    /// Smoothed arrivals.
    pub rate_per_s: f64,
    /// Requests waiting for the model.
    pub waiting: u32,
    /// Wait of the oldest of them.
    pub oldest_wait_ms: u64,
    /// Mean time one request occupies a place in a batch.
    pub service_time_ms: u32,
    /// Mean worth of one request that meets its expectation.
    pub value: f64,
}

/// The residency wanted of each agent.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// One target for each agent of the cell, in order of name.
    pub targets: Vec<AgentTarget>,
    /// Why models are not where their demand would have them.
    pub notes: Vec<PlanNote>,
}

/// The residency wanted of one agent.
#[derive(Debug, Clone)]
pub struct AgentTarget {
    /// Agent.
    pub agent: AgentId,
    /// What its accelerators should hold.
    pub models: Vec<Assignment>,
}

/// One model or adapter wanted on one accelerator.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Model or adapter.
    pub model: ModelId,
    /// Version to hold.
    pub version: u32,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Why it is wanted there.
    pub reason: PlacementReason,
}

/// Something an operator may ask about a model.
#[derive(Debug, Clone)]
pub struct PlanNote {
    /// Model or adapter.
    pub model: ModelId,
    /// Why.
    pub reason: PlacementReason,
}

/// Why a model is where it is, or is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementReason {
    /// It was there and nothing is worth moving it.
    Kept = 1,
    /// Its demand is worth more than what it replaces and the move.
    Demand = 2,
    /// Work waited for it, and it got its turn.
    WaitBound = 3,
    /// A further replica, for more demand than one holder serves.
    Replica = 4,
    /// A replica in another failure domain.
    Spread = 5,
    /// It replaces a holder that is leaving.
    Leaving = 6,
    /// It stays for its minimum residence.
    MinResidence = 7,
    /// It is the base model of a wanted adapter.
    BaseOfAdapter = 8,
    /// A newer version is to be held.
    NewVersion = 9,
    /// It was taken off for a model worth more.
    Displaced = 10,
    /// It waits until the weight store's budget allows its load.
    StoreBudget = 11,
    /// Its demand is not worth a move.
    NotWorthMove = 12,
    /// No accelerator has room.
    NoRoom = 13,
}

impl PlacementReason {
    /// The word used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Demand => "demand",
            Self::WaitBound => "wait_bound",
            Self::Replica => "replica",
            Self::Spread => "spread",
            Self::Leaving => "leaving",
            Self::MinResidence => "min_residence",
            Self::BaseOfAdapter => "base_of_adapter",
            Self::NewVersion => "new_version",
            Self::Displaced => "displaced",
            Self::StoreBudget => "store_budget",
            Self::NotWorthMove => "not_worth_move",
            Self::NoRoom => "no_room",
        }
    }
}
