//! Counters of an entry.

use super::outcome_counts::{DecisionCount, ProfileOutcomes};
use base::ErrorCode;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters since the start of the process, and current gauges.
#[derive(Debug, Clone, Default)]
pub struct EntryCounters {
    /// Requests received.
    pub arrived: u64,
    /// Requests whose complete answer was delivered.
    pub finished: u64,
    /// Requests refused or failed, by code.
    pub refused: Vec<RefusalCount>,
    /// Outcomes by profile, in order of name.
    pub profiles: Vec<ProfileOutcomes>,
    /// Routing and placement decisions by reason.
    pub decisions: Vec<DecisionCount>,
    /// Requests whose caller disconnected.
    pub cancelled: u64,
    /// Attempts sent to agents.
    pub sent: u64,
    /// Attempts refused by an agent's admission control.
    pub refused_by_gate: u64,
    /// Attempts sent after a failure, before any unit was delivered.
    pub retried: u64,
    /// Attempts sent after a failure to continue a partly delivered answer.
    pub resumed: u64,
    /// Attempts that an agent did not answer, so that it was asked whether they ran
    /// and told not to start them.
    pub revoked: u64,
    /// Frames dropped because they were late, duplicated or of another attempt.
    pub stray_frames: u64,
    /// Retries not made because the retry budget was exhausted.
    pub retries_denied: u64,
    /// `Target` frames sent to agents, each of which names the models that the agent
    /// is to hold.
    pub targets_sent: u64,
    /// Plans made, one for each planning cell.
    pub plans: u64,
    /// Configuration changes rejected as invalid.
    pub config_rejected: u64,
    /// Platform calls without an answer.
    pub platform_away: u64,
    /// Requests waiting for a model or an upstream.
    pub waiting: u64,
    /// Requests with an attempt in flight.
    pub running: u64,
    /// Agents considered alive.
    pub agents_up: u64,
    /// Agents in the directory.
    pub agents_known: u64,
}

/// Requests that ended with one error code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusalCount {
    /// Error code.
    pub code: ErrorCode,
    /// Number of requests.
    pub count: u64,
}

/// The counters as atomics, so that any thread can count without a lock.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) arrived: AtomicU64,
    pub(crate) finished: AtomicU64,
    pub(crate) cancelled: AtomicU64,
    pub(crate) sent: AtomicU64,
    pub(crate) refused_by_gate: AtomicU64,
    pub(crate) retried: AtomicU64,
    pub(crate) resumed: AtomicU64,
    pub(crate) revoked: AtomicU64,
    pub(crate) stray_frames: AtomicU64,
    pub(crate) retries_denied: AtomicU64,
    pub(crate) targets_sent: AtomicU64,
    pub(crate) plans: AtomicU64,
    pub(crate) config_rejected: AtomicU64,
    pub(crate) platform_away: AtomicU64,
    refused: Vec<AtomicU64>,
}

impl Counts {
    pub(crate) fn new() -> Self {
        Self {
            arrived: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            refused_by_gate: AtomicU64::new(0),
            retried: AtomicU64::new(0),
            resumed: AtomicU64::new(0),
            revoked: AtomicU64::new(0),
            stray_frames: AtomicU64::new(0),
            retries_denied: AtomicU64::new(0),
            targets_sent: AtomicU64::new(0),
            plans: AtomicU64::new(0),
            config_rejected: AtomicU64::new(0),
            platform_away: AtomicU64::new(0),
            refused: ErrorCode::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }

    pub(crate) fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that ended with this code.
    pub(crate) fn record_refused(&self, code: ErrorCode) {
        let index = ErrorCode::ALL.iter().position(|other| *other == code);
        if let Some(counter) = index.and_then(|index| self.refused.get(index)) {
            Self::increment(counter);
        }
    }

    /// The counters; gauges are left at zero.
    pub(crate) fn snapshot(&self) -> EntryCounters {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let by_code = ErrorCode::ALL.iter().zip(&self.refused);
        EntryCounters {
            arrived: get(&self.arrived),
            finished: get(&self.finished),
            refused: by_code
                .map(|(code, counter)| RefusalCount {
                    code: *code,
                    count: get(counter),
                })
                .filter(|refusals| refusals.count > 0)
                .collect(),
            cancelled: get(&self.cancelled),
            sent: get(&self.sent),
            refused_by_gate: get(&self.refused_by_gate),
            retried: get(&self.retried),
            resumed: get(&self.resumed),
            revoked: get(&self.revoked),
            stray_frames: get(&self.stray_frames),
            retries_denied: get(&self.retries_denied),
            targets_sent: get(&self.targets_sent),
            plans: get(&self.plans),
            config_rejected: get(&self.config_rejected),
            platform_away: get(&self.platform_away),
            ..EntryCounters::default()
        }
    }
}
