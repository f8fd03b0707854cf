//! Limits on the silence of agents and entries.

/// Missed heartbeats after which an agent is suspected and gets no new work.
const SUSPECT_AFTER_HEARTBEATS: u64 = 3;

/// Missed heartbeats after which an agent is lost even if its link is up.
const LOST_AFTER_HEARTBEATS: u64 = 10;

/// Missed heartbeats after which an entry is skipped in the ranking.
const ENTRY_DOWN_AFTER_HEARTBEATS: u64 = 4;

/// Missed heartbeats after which a lost process is removed.
const FORGET_AFTER_HEARTBEATS: u64 = 600;

/// Limits on silence, all multiples of the heartbeat interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    heartbeat_ms: u64,
}

impl SilenceLimits {
    /// Limits for a heartbeat interval in milliseconds; zero counts as one.
    pub fn new(heartbeat_ms: u32) -> Self {
        Self {
            heartbeat_ms: u64::from(heartbeat_ms).max(1),
        }
    }

    /// Interval between heartbeats, in milliseconds.
    pub const fn heartbeat_ms(self) -> u64 {
        self.heartbeat_ms
    }

    /// Silence in milliseconds after which an agent is suspected.
    pub const fn suspect_ms(self) -> u64 {
        self.heartbeat_ms * SUSPECT_AFTER_HEARTBEATS
    }

    /// Silence in milliseconds after which an agent is lost.
    pub const fn lost_ms(self) -> u64 {
        self.heartbeat_ms * LOST_AFTER_HEARTBEATS
    }

    /// Silence in milliseconds after which an entry is skipped in the ranking.
    pub const fn entry_down_ms(self) -> u64 {
        self.heartbeat_ms * ENTRY_DOWN_AFTER_HEARTBEATS
    }

    /// Silence in milliseconds after which a process is removed.
    pub const fn forget_ms(self) -> u64 {
        self.heartbeat_ms * FORGET_AFTER_HEARTBEATS
    }
}
