//! Plans which accelerators hold which models.
//!
//! A [`Planner`] runs in the entry that plans for a cell (the engine agents of one
//! pool and region) about twice a second. From the agents' heartbeats and the
//! demand that all entries report, it computes the models that each agent should
//! hold. Plans are advisory: each agent checks every order against its own memory
//! ledger, so a planner with stale input, or a second planner for the same cell,
//! causes unnecessary loads and unloads but never exceeds an accelerator's memory.
//!
//! A base model and its adapters form a *group*. A *replica* is one group on one
//! accelerator. Each plan starts from the replicas that exist and changes them in
//! this order:
//!
//! 1. Groups whose requests have waited for most of the configured bound
//!    (`wait_max_ms`) are placed first, the longest wait first.
//! 2. Replicas are added in decreasing order of expected gain, either in free
//!    memory or in place of the replicas whose loss costs least, as long as the
//!    gain justifies the move.
//! 3. Adapters are added next to their base models by the same rule.
//!
//! Invariants:
//!
//! - The models wanted on an accelerator fit its memory together with those that
//!   are still being unloaded when the plan is made.
//! - The loads that a plan starts stay within the weight store's budget.
//! - An adapter is wanted only where its base model is wanted.
//! - Plans are deterministic, and constant input leads to a constant plan.

mod adapters;
mod budget;
mod candidates;
mod catalog;
mod cell;
mod costs;
mod history;
mod leaving;
mod output;
mod plan_builder;
mod planner;
mod types;
mod versions;
mod wait_bound;

pub use planner::Planner;
pub use types::{
    AgentTarget, AgentView, Assignment, ModelDemand, PlacementReason, Plan, PlanInput,
    PlanNote, ResidentState, ResidentView,
};
