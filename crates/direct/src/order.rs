//! Orders to upstreams and what comes of them.

use std::sync::Arc;

/// What an order does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderAction {
    /// Loads a model.
    Load(Arc<str>),
    /// Unloads a model and its adapters.
    Unload(Arc<str>),
    /// Loads an adapter of a model that is held.
    LoadAdapter(Arc<str>, Arc<str>),
    /// Unloads an adapter.
    UnloadAdapter(Arc<str>, Arc<str>),
}

/// An order that may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What it does.
    pub action: OrderAction,
    /// Start of the upstream on which it was decided.
    pub started_unix_ms: Option<u64>,
    /// Order count of the upstream on which it was decided; at another one the
    /// upstream refuses it.
    pub expected_count: u64,
    /// Time that it is expected to take.
    pub expected_ms: u64,
}

/// What an upstream answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It held already.
    Done,
    /// Another order is in progress or the order count differs.
    Conflict,
    /// It is refused for another reason, or another upstream has the address.
    Refused,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// An answer came.
    Answered(OrderAnswer),
    /// No answer came: it may be carried out, now or seconds later.
    Unanswered,
    /// It provably never left this process.
    NotSent,
}
