//! Whether a stream may begin at an entry that is shutting down.

/// Time after the termination signal until which a stream may begin. Callers reach the
/// entry until the load balancer has checked twice; a stream that is sent more than 3 s
/// after the signal must not be cut off by the exit.
const LATEST_START_MS: u64 = 2_700;

/// Time before the exit by which a stream must be expected to end. Its last bytes have to
/// reach the caller, and those that are handed over last end there as well.
const END_MARGIN_MS: u64 = 300;

/// Number of entries among which one must be ready for a resumable stream to be refused.
/// With fewer ready ones, load balancers also send callers to entries that aren't ready,
/// so a refused caller may meet one refusal after the other.
const RESUMABLE_ENTRIES_PER_READY: usize = 2;

/// The same for other streams. They lose all that they have got at the exit, so a caller
/// gains from a few refusals if it reaches a ready entry in the end.
const OTHER_ENTRIES_PER_READY: usize = 4;

/// Entries other than this one.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerCount {
    /// Those that may run.
    pub total: usize,
    /// Those among them that are ready for callers.
    pub ready: usize,
}

/// The other entries, by where they are.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerReadiness {
    /// Entries of this entry's failure domain.
    pub in_domain: PeerCount,
    /// Entries of other failure domains.
    pub elsewhere: PeerCount,
}

impl PeerReadiness {
    /// Whether at least one entry in `entries_per_ready` is ready, among those to which a
    /// caller of this entry comes back: those of its failure domain, and where it is alone
    /// there, all others.
    const fn are_enough_ready(&self, entries_per_ready: usize) -> bool {
        let (ready, total) = if self.in_domain.total > 0 {
            // This entry counts among those of its domain.
            (self.in_domain.ready, self.in_domain.total + 1)
        } else {
            (self.elsewhere.ready, self.elsewhere.total)
        };
        ready > 0 && ready * entries_per_ready >= total
    }
}

/// A stream that is requested from an entry that is shutting down.
#[derive(Debug, Clone, Copy)]
pub struct StreamStart {
    /// Time since the termination signal.
    pub since_signal_ms: u64,
    /// Time until the process exits.
    pub until_exit_ms: u64,
    /// Time within which the stream is expected to end, if that is known.
    pub expected_ms: Option<u64>,
    /// Whether its route allows the stream to go on at another entry.
    pub is_resumable: bool,
    /// The other entries.
    pub peers: PeerReadiness,
}

impl StreamStart {
    /// Whether the stream may begin here. If not, it is refused as not run.
    ///
    /// A stream that would still run at the exit is left to another entry. If too few of
    /// them are ready, it is served as far as it gets.
    pub const fn may_begin(&self) -> bool {
        if self.since_signal_ms > LATEST_START_MS {
            return false;
        }
        let Some(expected_ms) = self.expected_ms else {
            return true;
        };
        let entries_per_ready = if self.is_resumable {
            RESUMABLE_ENTRIES_PER_READY
        } else {
            OTHER_ENTRIES_PER_READY
        };
        expected_ms.saturating_add(END_MARGIN_MS) <= self.until_exit_ms
            || !self.peers.are_enough_ready(entries_per_ready)
    }
}
