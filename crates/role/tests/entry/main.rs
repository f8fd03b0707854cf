//! Tests of the entry's machine against hand-made agents and platform.

mod answers;
mod control;
mod crashes;
mod failing;
mod forecast;
mod freeze;
mod looks;
mod random;
mod retries;
mod rig;
mod suspects;
mod tally;
mod unmet;
mod waiting;
mod watchers;
