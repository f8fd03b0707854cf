//! Placement: which models are held by which accelerators.
//!
//! A [`Planner`] is called about twice a second with what the heartbeats and
//! the entries' demand show, and answers with the residency wanted of every
//! agent of its cell. A plan is an opinion: the agent's memory ledger decides
//! what may be ordered, so a planner that is behind, or a second one, costs
//! extra moves and never memory.
//!
//! A base model and its adapters form a *group*; a *unit* is one group on one
//! accelerator. A plan starts from the units that are there and changes them in
//! this order:
//!
//! 1. Groups whose waiting work is close to its bound get a turn, the oldest
//!    first.
//! 2. Units are added in the order of what they are expected to attain, each in
//!    free room or in place of the unit whose loss costs least, as long as the
//!    difference is worth the move.
//! 3. Adapters are added beside their bases in the same way.
//!
//! Invariants:
//!
//! - What is wanted on an accelerator fits its memory, together with what is
//!   still being unloaded there when the choice is made.
//! - Loads that a plan starts stay within the weight store's budget.
//! - An adapter is only wanted where its base model is wanted.
//! - The same inputs in the same order give the same plans, and inputs that do
//!   not change end in plans that do not change.

mod adapters;
mod board;
mod budget;
mod catalog;
mod choose;
mod emit;
mod leaving;
mod memory;
mod planner;
mod spot;
mod turns;
mod types;
mod versions;
mod worth;

pub use planner::Planner;
pub use types::{
    AgentTarget, AgentView, Assignment, ModelDemand, PlacementReason, Plan, PlanInput,
    PlanNote, ResidentState, ResidentView,
};
