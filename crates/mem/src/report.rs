//! What the upstream shows of its memory.

use crate::Placement;
use base::Instant;

/// The upstream's own report, as far as memory is concerned.
#[derive(Debug, Clone)]
pub struct MemoryReport {
    /// Identifies one run of the upstream.
    pub incarnation: u64,
    /// When the upstream made the report.
    pub made_at: Instant,
    /// What is on its accelerators, also what is being loaded or unloaded.
    pub residents: Vec<ReportedResident>,
    /// Orders and how they stand.
    pub orders: Vec<ReportedOrder>,
}

/// One resident that the upstream shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportedResident {
    /// What and where.
    pub placement: Placement,
    /// Memory it takes.
    pub size_mib: u32,
    /// It can serve.
    pub loaded: bool,
}

/// One order that the upstream shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedOrder {
    /// Number of the order.
    pub id: u64,
    /// How it stands.
    pub state: ReportedOrderState,
}

/// How an order stands at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedOrderState {
    /// It is being carried out.
    InProgress,
    /// It took effect.
    Done,
    /// It failed and left nothing behind.
    Failed,
}
