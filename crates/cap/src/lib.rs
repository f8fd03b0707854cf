//! What the system will cost at a size that no single machine can run.
//!
//! Each quantity is measured at four sizes or more over a factor of 64 or more,
//! a curve is fitted ([`fit`]), and the curve is carried on to the users' target
//! ([`target`]). Decisions are driven as machines, without their shells; links
//! are measured between real processes on loopback. `docs/CAPACITY.md` has the
//! results and what has to change.
//!
//! Invariants:
//!
//! - A figure beyond the largest size measured is never shown without the
//!   exponent by which it was carried there.
//! - Processes are ended by their own ids, whatever goes wrong.

pub mod ahead;
pub mod built;
pub mod fit;
pub mod measure;
pub mod measured;
pub mod target;
pub mod text;
