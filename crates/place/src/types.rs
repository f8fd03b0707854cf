//! Input and output types of the planner.

use base::prelude::*;
use conf::Config;

/// Everything that a plan depends on, apart from the planner's history.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// Time of the plan.
    pub now: Instant,
    /// Configuration in force.
    pub config: &'a Config,
    /// Agents of the cell, sorted by name.
    pub agents: &'a [AgentView],
    /// Demand for each model and adapter, sorted by name.
    pub demands: &'a [ModelDemand],
    /// Fraction (0 to 1) of the weight store's budget that this planner may use.
    pub store_share: f64,
}

/// State of one agent as reported by its heartbeats.
#[derive(Debug, Clone)]
pub struct AgentView {
    /// Name of the agent.
    pub id: AgentId,
    /// Failure domain of the agent's instance.
    pub domain: FailureDomainId,
    /// Pool of the agent's upstream.
    pub pool: PoolId,
    /// Memory of each accelerator of the instance.
    pub accelerators_mib: Vec<u32>,
    /// Models and adapters in the memory of the accelerators.
    pub residents: Vec<ResidentView>,
    /// Whether the instance is shutting down, so that its models have to be placed
    /// elsewhere.
    pub leaving: bool,
}

/// One model or adapter in the memory of one accelerator.
#[derive(Debug, Clone)]
pub struct ResidentView {
    /// Name of the model or adapter.
    pub model: ModelId,
    /// Version in memory.
    pub version: u32,
    /// Index of the accelerator on the instance.
    pub accelerator: u32,
    /// Memory that it occupies.
    pub size_mib: u32,
    /// Loading state.
    pub state: ResidentState,
    /// When it entered this state.
    pub since: Instant,
}

/// Loading state of a resident model or adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResidentState {
    /// Being loaded; it can't serve requests yet.
    Loading,
    /// Able to serve requests.
    Loaded,
    /// Being unloaded; it still occupies its memory.
    Unloading,
}

/// Demand for one model or adapter, summed over all entries.
#[derive(Debug, Clone)]
pub struct ModelDemand {
    /// Name of the model or adapter.
    pub model: ModelId,
    /// Smoothed arrival rate of requests.
    pub rate_per_s: f64,
    /// Number of requests waiting for the model.
    pub waiting: u32,
    /// Wait of the oldest waiting request.
    pub oldest_wait_ms: u64,
    /// Mean time for which one request occupies a batch slot.
    pub service_time_ms: u32,
    /// Mean value of a request that meets its latency targets, in the unit of the
    /// profiles' `value` setting.
    pub value: f64,
}

/// Models that each agent of the cell should hold.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// One target for each agent of the cell, sorted by agent name.
    pub targets: Vec<AgentTarget>,
    /// Explains why models were displaced or not placed.
    pub notes: Vec<PlanNote>,
}

/// Models that one agent should hold.
#[derive(Debug, Clone)]
pub struct AgentTarget {
    /// Name of the agent.
    pub agent: AgentId,
    /// Models and adapters wanted on the agent's accelerators.
    pub models: Vec<Assignment>,
}

/// One model or adapter wanted on one accelerator.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Name of the model or adapter.
    pub model: ModelId,
    /// Wanted version.
    pub version: u32,
    /// Index of the accelerator on the instance.
    pub accelerator: u32,
    /// Why it is wanted there.
    pub reason: PlacementReason,
}

/// Explains to operators why a model was displaced or not placed.
#[derive(Debug, Clone)]
pub struct PlanNote {
    /// Name of the model or adapter.
    pub model: ModelId,
    /// Why it was displaced or not placed.
    pub reason: PlacementReason,
}

/// Why a model is wanted on an accelerator, or is not. The discriminants appear in
/// timeline events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementReason {
    /// It is already there, and no move is worth its cost.
    Kept = 1,
    /// The value of its demand exceeds the loss of what it replaces plus the cost
    /// of the move.
    Demand = 2,
    /// Requests have waited for it for most of the configured bound.
    WaitBound = 3,
    /// A further replica in the same failure domain, because the demand exceeds the
    /// capacity of the existing replicas.
    Replica = 4,
    /// A further replica, in a failure domain that has none yet.
    Spread = 5,
    /// It replaces a replica on an instance that is shutting down.
    Leaving = 6,
    /// It has no demand but stays for its minimum residence.
    MinResidence = 7,
    /// It is the base model of a wanted adapter.
    BaseOfAdapter = 8,
    /// It replaces an older version.
    NewVersion = 9,
    /// It was removed in favor of a model of higher value.
    Displaced = 10,
    /// Its load is postponed until the weight store's budget allows it.
    StoreBudget = 11,
    /// The value of its demand does not justify a move.
    NotWorthMove = 12,
    /// No accelerator has enough memory that is free or may be freed.
    NoRoom = 13,
}

impl PlacementReason {
    /// Label value used in metrics.
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
