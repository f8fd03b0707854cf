//! What a process is told at its start.

use std::net::SocketAddr;

/// What a process is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this entry; a restart keeps it.
    pub entry: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Listener of callers.
    pub caller_address: SocketAddr,
    /// Listener of the balancer's question whether this entry takes callers,
    /// and of metrics.
    pub readiness_address: SocketAddr,
    /// Further listener of metrics, where they are fetched at a port that stays:
    /// that of `readiness` may be another one at each start.
    pub metrics_address: Option<SocketAddr>,
    /// Listener of other entries' datagrams.
    pub peer_address: SocketAddr,
    /// Other entries that may be there, in case the platform can't say.
    pub peer_seeds: Vec<SocketAddr>,
    /// Bounds of the deployment.
    pub deployment: DeploymentSettings,
    /// Where the platform keeps what this process reads and writes.
    pub keys: StoreKeys,
}

/// Bounds of the deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// Time from the signal to stop to the end of the process.
    pub shutdown_ms: u64,
    /// Repeats for each request, over all entries.
    pub retry_ratio: f64,
    /// Repeats beyond those, over all entries.
    pub retry_burst: f64,
    /// Window in which repeats are counted.
    pub retry_window_ms: u64,
    /// Time for which a giver of orders has to be silent before the next one.
    pub coordinator_takeover_ms: u64,
    /// Window in which loads from the weight store are counted.
    pub store_load_window_ms: u64,
    /// Most that one request may take of its workspace's quota beyond what there is,
    /// in tokens or requests.
    pub quota_overdraft: f64,
    /// Time without the platform after which what it said is not trusted to be
    /// the newest.
    pub platform_freshness_ms: u64,
}

/// Where the platform keeps what this process reads and writes.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    /// Key of the configuration.
    pub config: String,
    /// Start of the keys to watch for the configuration.
    pub config_prefix: String,
    /// Start of the upstreams' keys.
    pub upstream_prefix: String,
    /// Key of the lease on orders.
    pub lease: String,
    /// Start of the entries' keys.
    pub entry_prefix: String,
}
