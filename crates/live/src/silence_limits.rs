//! How long silence has to last before it means something.

/// Heartbeats missed before an agent is suspected and gets no new work.
const SUSPECT_AFTER_HEARTBEATS: u64 = 3;

/// Heartbeats missed before an agent is lost whatever its link says.
const LOST_AFTER_HEARTBEATS: u64 = 10;

/// Heartbeats missed before an entry is passed over in the ranking.
const ENTRY_DOWN_AFTER_HEARTBEATS: u64 = 4;

/// Heartbeats after which a lost process is forgotten.
const FORGET_AFTER_HEARTBEATS: u64 = 600;

/// Bounds on silence, all multiples of the heartbeat interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    heartbeat_ms: u64,
}

impl SilenceLimits {
    /// Bounds for an interval; zero counts as one millisecond.
    pub fn new(heartbeat_ms: u32) -> Self {
        Self {
            heartbeat_ms: u64::from(heartbeat_ms).max(1),
        }
    }

    /// Interval between heartbeats.
    pub const fn heartbeat_ms(self) -> u64 {
        self.heartbeat_ms
    }

    /// Silence after which an agent is suspected.
    pub const fn suspect_ms(self) -> u64 {
        self.heartbeat_ms * SUSPECT_AFTER_HEARTBEATS
    }

    /// Silence after which an agent is lost.
    pub const fn lost_ms(self) -> u64 {
        self.heartbeat_ms * LOST_AFTER_HEARTBEATS
    }

    /// Silence after which an entry does not plan any more.
    pub const fn entry_ms(self) -> u64 {
        self.heartbeat_ms * ENTRY_DOWN_AFTER_HEARTBEATS
    }

    /// Silence after which a process is forgotten.
    pub const fn forget_ms(self) -> u64 {
        self.heartbeat_ms * FORGET_AFTER_HEARTBEATS
    }
}
