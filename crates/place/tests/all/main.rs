//! Tests of the planner.

mod feasible;
mod leaving;
mod moves;
mod simulation;
mod store;
mod versions;
mod wait_bound;
