//! Accelerator memory ledger of one upstream.
//!
//! Orders to an upstream can be lost, arrive late, or take effect although
//! their response is lost. For each accelerator, the [`Ledger`] therefore
//! counts the memory that *may* be in use: that of every resident which the
//! upstream reports and of every load that may still take effect. A resident
//! and a load of the same version of the same model count once.
//!
//! Invariants:
//!
//! - [`Ledger::reserve`] is the only way in which this process adds memory, and
//!   it refuses what would raise [`Ledger::in_use_mib`] above the capacity.
//! - Memory becomes free only when a report of the upstream no longer contains
//!   the resident or says that the load failed. Ordering an unload frees
//!   nothing.
//! - An order of a predecessor counts like one of this agent until the upstream
//!   reports its end or it can no longer take effect.
//! - An adapter is loaded only onto an accelerator that has its base model, and
//!   no base model is unloaded while an adapter depends on it.

mod apply_report;
mod ledger;
mod order;
mod report;

pub use ledger::Ledger;
pub use order::{EndedOrder, Placement, ReserveError, TrackedOrder};
pub use report::{MemoryReport, ReportedOrder, ReportedOrderState, ReportedResident};
