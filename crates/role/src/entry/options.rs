//! What an entry's machine is started with.

use base::prelude::*;

/// Start of an entry's machine.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Name of the process.
    pub id: EntryId,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Failure domain the process runs in.
    pub failure_domain: DomainId,
    /// `ip:port` on which other entries connect.
    pub link_address: String,
    /// `ip:port` for operators.
    pub operator_address: String,
    /// Other entries, each with the `ip:port` of its link listener; they are
    /// connected to at the start, so that an outage of the platform does not
    /// keep the process from learning the configuration.
    pub peers: Vec<(EntryId, String)>,
    /// Number of request shards, each under its own lock.
    pub shards: usize,
    /// Seed of the decisions' generator.
    pub seed: u64,
    /// Wall clock time at `Instant::ZERO`.
    pub unix_ms_at_zero: u64,
}
