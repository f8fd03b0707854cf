//! Estimates the cost of the system at a size that no single machine can run.
//!
//! Each cost is measured at four or more sizes that span a factor of 64 or
//! more. A curve is fitted ([`fit`]) and extrapolated to the required size
//! ([`target`]). The state machines of entry and agent are called directly,
//! without their I/O; costs of connections are measured between real processes
//! on loopback. `docs/CAPACITY.md` has the results and the changes that they
//! call for.
//!
//! Invariants:
//!
//! - A cost beyond the largest measured size is always printed with the
//!   exponent that was used for the extrapolation.
//! - Child processes are stopped by their own ids, also after errors.

pub mod current;
pub mod fit;
pub mod measure;
pub mod measurements;
pub mod proposed;
pub mod tables;
pub mod target;
