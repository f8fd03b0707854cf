//! Whether another entry can take the lease of a coordinator that is shutting down.

/// Another entry that was heard from recently.
#[derive(Debug, Clone, Copy)]
pub struct PeerEntry {
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Whether it is shutting down.
    pub stopping: bool,
}

/// Whether one of the other entries can take the lease of an entry that is shutting
/// down and whose process started at `started_unix_ms`.
///
/// If other entries are shutting down as well, it is a rolling restart: the entries
/// that haven't been stopped yet are next. Each of them would hold the lease only for a
/// moment, and there would be no coordinator for the quiet time that follows. Only an
/// entry that has already restarted will stay.
pub fn has_successor(started_unix_ms: u64, others: &[PeerEntry]) -> bool {
    let others_stopping = others.iter().any(|other| other.stopping);
    let mut remaining = others.iter().filter(|other| !other.stopping);
    remaining.any(|other| !others_stopping || other.started_unix_ms > started_unix_ms)
}
