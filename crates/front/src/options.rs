//! What a process is told at its start.

use std::net::SocketAddr;

/// What a process is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this entry; a restart keeps it.
    pub entry: String,
    /// Failure domain.
    pub domain: String,
    /// Listener of callers.
    pub callers: SocketAddr,
    /// Listener of the balancer's question whether this entry takes callers,
    /// and of metrics.
    pub readiness: SocketAddr,
    /// Further listener of metrics, where they are fetched at a port that stays:
    /// that of `readiness` may be another one at each start.
    pub metrics: Option<SocketAddr>,
    /// Listener of other entries' datagrams.
    pub peers: SocketAddr,
    /// Other entries that may be there, in case the platform can't say.
    pub peer_seeds: Vec<SocketAddr>,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// Where the platform keeps what this process reads and writes.
    pub keys: StoreKeys,
}

/// Bounds of the deployment.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Time from the signal to stop to the end of the process.
    pub stop_ms: u64,
    /// Repeats for each request, over all entries.
    pub repeat_ratio: f64,
    /// Repeats beyond those, over all entries.
    pub repeat_burst: f64,
    /// Window in which repeats are counted.
    pub repeat_window_ms: u64,
    /// Time for which a giver of orders has to be silent before the next one.
    pub order_quiet_ms: u64,
    /// Window in which loads from the weight store are counted.
    pub store_load_window_ms: u64,
    /// Most that one request may take of its workspace's quota beyond what there is,
    /// in tokens or requests.
    pub quota_overdraft: f64,
    /// Time without the platform after which what it said is not trusted to be
    /// the newest.
    pub contact_ms: u64,
}

/// Where the platform keeps what this process reads and writes.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    /// Key of the configuration.
    pub setup: String,
    /// Start of the keys to watch for the configuration.
    pub setup_prefix: String,
    /// Start of the upstreams' keys.
    pub upstream_prefix: String,
    /// Key of the lease on orders.
    pub lease: String,
    /// Start of the entries' keys.
    pub entry_prefix: String,
}
