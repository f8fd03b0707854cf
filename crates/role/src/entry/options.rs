//! Options of the entry's state machine.

use base::prelude::*;

/// Options of the entry's state machine.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the process.
    pub id: EntryId,
    /// Incarnation: differs at each start of the process.
    pub incarnation: Incarnation,
    /// Failure domain the process runs in.
    pub failure_domain: FailureDomainId,
    /// `ip:port` on which other entries connect to this one.
    pub link_address: String,
    /// `ip:port` of the operators' HTTP endpoint.
    pub operator_address: String,
    /// Other entries, each with the `ip:port` of its link listener. The process
    /// connects to them at startup, so that it can get the configuration during an
    /// outage of the platform.
    pub peers: Vec<(EntryId, String)>,
    /// Number of request shards, each under its own lock.
    pub shards: usize,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Wall clock time at `Instant::ZERO`, in milliseconds since the Unix epoch.
    pub unix_ms_at_zero: u64,
}
