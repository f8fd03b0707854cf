//! Orders to upstreams and their outcomes.

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
    /// Unloads an adapter of a model.
    UnloadAdapter(Arc<str>, Arc<str>),
}

/// An order that may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What the order does.
    pub action: OrderAction,
    /// Start time of the upstream's incarnation on which the order was decided.
    pub started_unix_ms: Option<u64>,
    /// Order count of the upstream on which the order was decided. At any other count
    /// the upstream refuses the order.
    pub expected_count: u64,
    /// Expected duration, in milliseconds.
    pub expected_ms: u64,
}

/// Answer of an upstream to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// The upstream is in the ordered state: it already was, or the order took effect
    /// at once.
    Done,
    /// Another order is in progress or the order count differs.
    Conflict,
    /// The order is refused for another reason, or another upstream has the address.
    Refused,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The upstream answered.
    Answered(OrderAnswer),
    /// There was no answer: the order may be carried out, now or seconds later.
    Unanswered,
    /// The order certainly never left this process.
    NotSent,
}
