//! Counters since the start of the process.

use serde::Serialize;

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct AgentCounters {
    /// Attempts given to the driver to hand to the upstream.
    pub started: u64,
    /// Answers completed by the upstream.
    pub finished: u64,
    /// Attempts that failed at the upstream.
    pub failed: u64,
    /// Attempts refused by admission control.
    pub refused: u64,
    /// Attempts cancelled because their caller disconnected or their entry's
    /// connection ended.
    pub cancelled: u64,
    /// Deadlines that passed while their attempt ran.
    pub deadlines: u64,
    /// Revocations answered with `not_run`.
    pub revoked: u64,
    /// Claims granted.
    pub claims_granted: u64,
    /// Claims refused.
    pub claims_refused: u64,
    /// Attempts answered with the stored answer of an earlier request with the
    /// same idempotency key.
    pub replays: u64,
    /// Crashes of the upstream with attempts in flight.
    pub crashes: u64,
    /// Orders sent, including resends.
    pub orders: u64,
    /// Orders that got no answer.
    pub orders_unanswered: u64,
    /// Orders that the upstream refused.
    pub orders_refused: u64,
    /// Loads that took effect.
    pub loads: u64,
    /// Unloads that took effect.
    pub unloads: u64,
    /// Times this process was found to have been frozen.
    pub freezes: u64,
    /// Heartbeats sent.
    pub heartbeats: u64,
    /// Frames dropped because they are invalid, duplicate or not meant for an
    /// agent.
    pub frames_dropped: u64,
    /// Upstream events dropped because their attempt has ended.
    pub upstream_events_dropped: u64,
    /// Configuration changes and records that could not be decoded.
    pub undecodable: u64,
}
