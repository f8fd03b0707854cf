//! Tests of the planner.

mod feasible;
mod leaving;
mod moves;
mod store;
mod turns;
mod versions;
mod world;
