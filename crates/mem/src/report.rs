//! The upstream's reports of its accelerator memory.

use crate::Placement;
use base::Instant;

/// The part of an upstream's report that concerns accelerator memory.
#[derive(Debug, Clone)]
pub struct MemoryReport {
    /// Incarnation of the upstream process.
    pub incarnation: u64,
    /// When the upstream made the report.
    pub made_at: Instant,
    /// Models on the accelerators, including those being loaded or unloaded.
    pub residents: Vec<ReportedResident>,
    /// Orders that the upstream knows, with their state.
    pub orders: Vec<ReportedOrder>,
}

/// A model or adapter in accelerator memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedResident {
    /// Model, version and accelerator.
    pub placement: Placement,
    /// Memory that it takes, in MiB.
    pub size_mib: u32,
    /// The model is loaded and can serve requests.
    pub loaded: bool,
}

/// An order that the upstream knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedOrder {
    /// Order number.
    pub id: u64,
    /// State of the order.
    pub state: ReportedOrderState,
}

/// State of an order at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedOrderState {
    /// The upstream is carrying the order out.
    InProgress,
    /// The order took effect.
    Done,
    /// The order failed and left nothing in memory.
    Failed,
}
