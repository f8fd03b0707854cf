//! What an agent is started with.

use base::prelude::*;

/// What an agent is started with.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name of the instance the agent stands beside.
    pub id: AgentId,
    /// This run of the process; a later run has a greater one.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub failure_domain: DomainId,
    /// Pool that the upstream belongs to.
    pub pool: PoolId,
    /// `ip:port` on which entries connect; bound before the machine is made.
    pub link_address: String,
    /// `ip:port` of the operators' listener.
    pub operator_address: String,
    /// Seed of the generator that spreads retries.
    pub seed: u64,
    /// Wall clock at the origin of [`Instant`], in milliseconds.
    pub unix_ms_at_zero: u64,
}
