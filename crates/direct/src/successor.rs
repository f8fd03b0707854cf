//! Whether another entry can lead in the place of one that is being stopped.

/// Another entry that was heard lately.
#[derive(Debug, Clone, Copy)]
pub struct PeerEntry {
    /// Start of its process, in milliseconds of the time of day.
    pub started_unix_ms: u64,
    /// Whether it is being stopped.
    pub stopping: bool,
}

/// Whether one of the other entries can take the lease of an entry that is being stopped
/// and whose process began at `start_ms`.
///
/// Where others are being stopped as well, it is the turn of all: those that were not
/// stopped yet are next, and each in turn would hold the lease for a moment and leave
/// nobody for the quiet time after it. One that has started since stays.
pub fn has_successor(start_ms: u64, others: &[PeerEntry]) -> bool {
    let all_in_turn = others.iter().any(|other| other.stopping);
    let mut able = others.iter().filter(|other| !other.stopping);
    able.any(|other| !all_in_turn || other.started_unix_ms > start_ms)
}
