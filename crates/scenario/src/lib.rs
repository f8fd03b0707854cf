//! Scripted scenarios: small text files that declare a deployment, say what
//! fails and when, and state what callers and upstreams must have seen.
//!
//! A script is parsed whole ([`parse`]); an unknown word is an error with line
//! and column. [`run`] then drives the very machines that ship, `EntryRole` and
//! `AgentRole`, over in-memory links with small fakes of the platform, the
//! engines and the plain services. Time is a number that jumps from event to
//! event and every random choice comes from the script's seed, so a file gives
//! the same sequence of events on every run.
//!
//! Besides what a script states, the world checks after every run what must
//! hold in all of them: see the `check` module.
//!
//! `docs/scenarios.md` describes the language.

mod outcome;
mod parse;
mod script;
mod world;

pub use outcome::Outcome;
pub use parse::{ScriptError, parse};
pub use script::Script;
pub use world::run;
