//! The accelerator memory ledger of one upstream.
//!
//! Orders to an upstream get lost, arrive late, or take effect while their
//! answer is lost. The [`Ledger`] therefore counts, for each accelerator, not
//! what is there but what *may* be there: every resident that the upstream
//! shows, and every load that may still take effect. Both are counted once if
//! they concern the same version of the same model.
//!
//! Invariants:
//!
//! - [`Ledger::reserve`] is the only way in which this process adds memory, and
//!   it refuses what would bring [`Ledger::in_use_mib`] above the capacity.
//! - Memory becomes free by the upstream's word alone: its report no longer
//!   shows the resident, or shows that the load failed. An unload that was
//!   ordered frees nothing.
//! - An order of a predecessor counts like one of our own until the upstream
//!   shows its end, or it can no longer take effect.
//! - An adapter stands on a loaded base on the same accelerator, and no base is
//!   ordered away from under an adapter.

mod ledger;
mod order;
mod report;
mod settle;

pub use ledger::Ledger;
pub use order::{EndedOrder, Placement, ReserveError, TrackedOrder};
pub use report::{MemoryReport, ReportedOrder, ReportedOrderState, ReportedResident};
