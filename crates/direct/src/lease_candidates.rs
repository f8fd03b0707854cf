//! Which entries try to acquire the lease, and when.
//!
//! If every entry read the lease while its holder is silent, and wrote it as soon as it
//! seemed free, the calls of each start and each takeover would grow with the number of
//! entries, and all writes but one would be in vain. Only the first few entries act at
//! once. The others act if none of these has succeeded.
//!
//! A message alone does not make its sender the coordinator: it may come from another
//! system, or be forged. The first few entries therefore read the lease, and rely on the
//! messages of the holder that it names. The others rely on any coordinator's messages,
//! since the first few don't.

/// Number of entries that act at once. One of them usually succeeds, even if another
/// one is cut off from the platform and not yet known to be.
const ACTIVE_CANDIDATES: usize = 3;

/// Time without a message of any coordinator after which every other entry reads the
/// lease. An active candidate takes over within ten seconds.
const RESERVE_SILENCE_MS: u64 = 12_000;

/// Time after its start from which an entry no longer waits for the platform's list of
/// entries to learn how many of them precede it.
const START_MS: u64 = 3_000;

/// What an entry knows about the other entries that could hold the lease.
#[derive(Debug, Clone, Copy)]
pub struct LeaseCandidate {
    /// Number of entries that precede it by name, of those in the platform's list that
    /// send messages, reach the platform and are not shutting down.
    pub live_before: usize,
    /// Number of entries in the platform's list that precede it by name; `None` as
    /// long as the list does not contain this entry.
    pub listed_before: Option<usize>,
    /// Time since this process started.
    pub up_ms: u64,
    /// Whether messages arrive from the holder that the lease names, as this entry read
    /// it from the platform.
    pub holder_heard: bool,
    /// Time since the last message of any entry that says that it is the coordinator;
    /// `None` if this process has received none.
    pub coordinator_silent_ms: Option<u64>,
}

impl LeaseCandidate {
    /// Whether the entry may read the lease, and acquire it if it is free.
    pub fn may_act(&self) -> bool {
        let silent_ms = self.coordinator_silent_ms.unwrap_or(self.up_ms);
        if silent_ms >= RESERVE_SILENCE_MS {
            return true;
        }
        let is_starting = self.up_ms < START_MS;
        let before = match self.listed_before {
            // The others that have just started have sent no message yet.
            Some(listed_before) if is_starting => self.live_before.max(listed_before),
            None if is_starting => return false,
            _ => self.live_before,
        };
        before < ACTIVE_CANDIDATES && !self.holder_heard
    }
}
