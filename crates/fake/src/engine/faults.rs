//! Faults that can be injected into the engine, and its counters.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Active faults; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether all accelerators stop stepping, while connections stay open.
    pub frozen: bool,
    /// Factor that multiplies the step time; 0 and 1 have no effect.
    pub slow_factor: u32,
    /// Whether open connections are closed, and new ones as soon as accepted.
    pub closed: bool,
    /// Age up to which `GET /admin/state` returns an earlier report.
    pub report_lag_ms: u64,
    /// Delay of every request under `/admin/`.
    pub admin_delay_ms: u64,
    /// Number of following runs that are refused with 503 and `x-not-run: 1`.
    pub refuse_runs: u32,
    /// Number of following runs that are aborted, which closes their connection.
    pub break_runs: u32,
    /// Tokens that a run affected by [`Self::break_runs`] generates before that.
    pub break_after_tokens: u64,
    /// Number of following orders that have no effect and whose connection is closed.
    pub lose_orders: u32,
    /// Number of following orders that are accepted and never carried out.
    pub ignore_orders: u32,
    /// Number of following orders that are carried out and whose connection is closed
    /// without a response.
    pub lose_order_answers: u32,
    /// Number of following orders whose connection is closed and that take effect later.
    pub late_orders: u32,
    /// Delay of the orders affected by [`Self::late_orders`]; 0 holds them until
    /// `POST /control/deliver`.
    pub late_order_ms: u64,
    /// Number of following loads that fail.
    pub fail_loads: u32,
}

/// Counters since the start of the stand-in, over all incarnations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Runs that entered an accelerator's batch, by `x-request-id`.
    pub runs_by_request: BTreeMap<String, u64>,
    /// Runs that entered an accelerator's batch.
    pub runs: u64,
    /// Runs that generated their complete response.
    pub finished: u64,
    /// Runs whose client disconnected.
    pub cancelled: u64,
    /// Runs aborted by an unload or a fault; those aborted by a crash don't count.
    pub cut: u64,
    /// Runs refused with 503 and `x-not-run: 1`.
    pub refused: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens that were prefilled.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the prefix cache and therefore not prefilled.
    pub cached_tokens: u64,
    /// Loads after which an accelerator's memory was exceeded.
    pub overcommits: u64,
    /// Maximum memory in use on a single accelerator.
    pub used_max_mib: u64,
    /// Orders received.
    pub orders: u64,
    /// Orders refused because their fencing epoch was too low.
    pub orders_fenced: u64,
    /// Orders accepted although their fencing epoch was too low, as the engine does
    /// not check it.
    pub orders_stale: u64,
    /// Orders received again in the same incarnation.
    pub orders_repeated: u64,
    /// Completed loads.
    pub loads: u64,
    /// Completed unloads.
    pub unloads: u64,
    /// Crashes of the engine.
    pub crashes: u64,
}
