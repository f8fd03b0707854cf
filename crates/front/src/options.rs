//! Options that a process is started with.

use inbound::ConfiguredMachine;
use std::net::SocketAddr;

/// Options that a process is started with.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of this entry. It stays the same across restarts.
    pub entry: String,
    /// Failure domain of this entry.
    pub failure_domain: String,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Address of the listener for the load balancer's readiness check and for
    /// metrics.
    pub readiness_address: SocketAddr,
    /// Address of an additional metrics listener at a fixed port. The port of
    /// `readiness_address` may differ at each start.
    pub metrics_address: Option<SocketAddr>,
    /// Address of the UDP socket for messages between entries.
    pub peer_address: SocketAddr,
    /// Bandwidth of this machine's link, in megabits per second.
    pub link_mbps: f64,
    /// What the settings say of this machine's memory and descriptors.
    pub machine: ConfiguredMachine,
    /// Whether the whole system starts for the first time, so that no other process of
    /// it has run before.
    pub is_first_start: bool,
    /// Addresses at which other entries may run, for when the platform's list
    /// of entries is not available.
    pub peer_seeds: Vec<SocketAddr>,
    /// Settings that are the same for all entries of the deployment.
    pub deployment: DeploymentSettings,
    /// Keys of the platform objects that this process reads and writes.
    pub keys: StoreKeys,
}

/// Settings that are the same for all entries of the deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// Time from the termination signal until the process is killed.
    pub shutdown_ms: u64,
    /// Retries allowed per request, counted over all entries.
    pub retry_ratio: f64,
    /// Retries allowed in addition to the ratio, over all entries.
    pub retry_burst: f64,
    /// Window over which requests and retries are counted.
    pub retry_window_ms: u64,
    /// Time for which a coordinator must be silent before another entry may
    /// take its place.
    pub coordinator_takeover_ms: u64,
    /// Window over which loads from the weight store are counted.
    pub store_load_window_ms: u64,
    /// Amount by which a single request may exceed the remaining quota of its
    /// workspace, in tokens or requests.
    pub quota_overdraft: f64,
    /// Time without contact to the platform after which its last known state no
    /// longer counts as current.
    pub platform_freshness_ms: u64,
    /// Writes a second that the platform accepts from all entries together.
    pub platform_writes_per_s: f64,
}

/// Keys of the platform objects that this process reads and writes.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    /// Key of the configuration.
    pub config: String,
    /// Key prefix to watch for changes of the configuration.
    pub config_prefix: String,
    /// Key prefix of the upstreams' records.
    pub upstream_prefix: String,
    /// Key of the lease that entitles its holder to send orders.
    pub lease: String,
    /// Key prefix of the entries' records.
    pub entry_prefix: String,
    /// Key prefix of the refused parts of prompts.
    pub refused_part_prefix: String,
    /// Key prefix of the records of where streams began.
    pub stream_origin_prefix: String,
}
