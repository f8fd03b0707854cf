//! Counts since the start of the process.

use serde::Serialize;

/// Counts since the start of the process.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct AgentCounters {
    /// Attempts handed to the upstream.
    pub started: u64,
    /// Answers that ended whole.
    pub finished: u64,
    /// Attempts that failed at the upstream.
    pub failed: u64,
    /// Attempts that the gate refused.
    pub refused: u64,
    /// Attempts stopped because their caller or entry is gone.
    pub cancelled: u64,
    /// Attempts stopped at their deadline.
    pub deadlines: u64,
    /// Revocations answered with `not_run`.
    pub revoked: u64,
    /// Claims granted.
    pub claims_granted: u64,
    /// Claims refused.
    pub claims_refused: u64,
    /// Calls answered with a stored answer.
    pub replays: u64,
    /// Crashes of the upstream with attempts in flight.
    pub crashes: u64,
    /// Orders given, with repetitions.
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
    /// Frames dropped because they make no sense here.
    pub frames_dropped: u64,
    /// Events of the upstream about attempts that are over.
    pub upstream_events_dropped: u64,
    /// Configuration changes or records that could not be read.
    pub undecodable: u64,
}
