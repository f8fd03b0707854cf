//! Deterministic simulation of a deployment, driven by scripts.
//!
//! A script is a small text file that declares a deployment, injects faults at
//! given times and states what callers and upstreams must have observed.
//!
//! [`parse`] reads a whole script and reports every mistake with its line and
//! column. [`run`] then drives the production state machines, `EntryRole` and
//! `AgentRole`, over in-memory links with fakes of the platform, the engines and
//! the plain services. The clock is simulated and jumps from event to event, and
//! every random choice derives from the script's seed, so a script produces the
//! same sequence of events on every run.
//!
//! In addition to the expectations of the script, every run is checked against
//! the invariants listed in the `simulation::invariants` module.
//!
//! `docs/scenarios.md` describes the language.

mod outcome;
mod parse;
mod script;
mod simulation;

pub use outcome::Outcome;
pub use parse::{ScriptError, parse};
pub use script::Script;
pub use simulation::run;
