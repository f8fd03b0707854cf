//! Tests of the entry's state machine with simulated agents and platform.

mod answers;
mod control;
mod crashes;
mod early_refusals;
mod failing;
mod forecast;
mod freeze;
mod keyed_runs;
mod missed_changes;
mod outcome_counts;
mod random;
mod retries;
mod rig;
mod suspects;
mod waiting;
mod watchers;
