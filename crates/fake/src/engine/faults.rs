//! Faults of the engine that can be switched on, and what it counts.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Faults in force; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// No accelerator steps; connections stay open.
    pub frozen: bool,
    /// Factor on the step time; 0 and 1 change nothing.
    pub slow_factor: u32,
    /// Open connections are closed, and new ones at once.
    pub closed: bool,
    /// `GET /admin/state` serves a report until it is this old.
    pub report_lag_ms: u64,
    /// Time before any call under `/admin/` is looked at.
    pub admin_delay_ms: u64,
    /// Next runs that are refused with 503 and `x-not-run: 1`.
    pub refuse_runs: u32,
    /// Next runs whose connection is closed in the middle.
    pub break_runs: u32,
    /// Tokens that a run of [`Self::break_runs`] gives first.
    pub break_after_tokens: u64,
    /// Next orders whose connection is closed without effect.
    pub lose_orders: u32,
    /// Next orders that are accepted and never carried out.
    pub ignore_orders: u32,
    /// Next orders that are carried out and whose connection is closed.
    pub lose_order_answers: u32,
    /// Next orders whose connection is closed and that arrive later.
    pub late_orders: u32,
    /// How much later they arrive; with 0 they are held until
    /// `POST /control/deliver`.
    pub late_order_ms: u64,
    /// Next loads that fail.
    pub fail_loads: u32,
}

/// What the engine did since the start, over all incarnations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Runs that reached an accelerator's batch, by `x-request-id`.
    pub runs_by_request: BTreeMap<String, u64>,
    /// Runs that reached an accelerator's batch.
    pub runs: u64,
    /// Runs that gave their whole answer.
    pub finished: u64,
    /// Runs whose caller went away.
    pub cancelled: u64,
    /// Runs cut off by an unload or a fault, not by a crash.
    pub cut: u64,
    /// Runs refused with `x-not-run: 1`.
    pub refused: u64,
    /// Tokens given.
    pub tokens: u64,
    /// Prompt tokens that were prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens that the prefix cache spared.
    pub cached_tokens: u64,
    /// Loads that took an accelerator beyond its memory.
    pub overcommits: u64,
    /// Most memory in use on any one accelerator.
    pub used_max_mib: u64,
    /// Orders that arrived.
    pub orders: u64,
    /// Orders refused for an old fencing number.
    pub orders_fenced: u64,
    /// Orders with an old fencing number that were carried out.
    pub orders_stale: u64,
    /// Orders that came a second time in one incarnation.
    pub orders_repeated: u64,
    /// Loads done.
    pub loads: u64,
    /// Unloads done.
    pub unloads: u64,
    /// Crashes.
    pub crashes: u64,
}
