//! Start-up options of an agent.

use base::prelude::*;

/// Start-up options of an agent.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Name of the instance whose upstream the agent manages.
    pub id: AgentId,
    /// Incarnation of this process; each restart has a greater one.
    pub incarnation: Incarnation,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomainId,
    /// Pool that the upstream belongs to.
    pub pool: PoolId,
    /// `ip:port` on which entries connect; the driver binds it before it
    /// creates the state machine.
    pub link_address: String,
    /// `ip:port` of the operators' listener.
    pub operator_address: String,
    /// Seed of the random generator that spreads retries.
    pub seed: u64,
    /// Unix time at the origin of [`Instant`], in milliseconds.
    pub unix_ms_at_zero: u64,
}
