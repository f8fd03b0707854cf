//! Status of an entry as reported to operators.

use serde::Serialize;

/// State of an entry, for `/status`.
#[derive(Debug, Clone, Serialize)]
pub struct EntryStatus {
    /// Name of the process.
    pub id: String,
    /// Incarnation: differs at each start of the process.
    pub incarnation: u64,
    /// Failure domain the process runs in.
    pub failure_domain: String,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it is draining.
    pub leaving: bool,
    /// Whether the platform answers.
    pub platform_up: bool,
    /// Revision of the configuration in force; 0 if there is none.
    pub revision: u64,
    /// Known agents in order of name.
    pub agents: Vec<AgentSummary>,
    /// Other entries in order of name.
    pub entries: Vec<PeerEntrySummary>,
    /// Models that are loaded or requested, in order of name.
    pub models: Vec<ModelSummary>,
    /// Requests waiting for a model or an upstream.
    pub waiting: u64,
    /// Requests with an attempt in flight.
    pub running: u64,
    /// Planning cells for which this entry is the planner.
    pub planned_cells: Vec<String>,
}

/// An agent as seen by this entry.
#[derive(Debug, Clone, Serialize)]
pub struct AgentSummary {
    /// Name.
    pub id: String,
    /// Pool that its upstream belongs to.
    pub pool: String,
    /// Failure domain.
    pub failure_domain: String,
    /// `up`, `suspected` or `lost`.
    pub state: &'static str,
    /// Whether it is draining.
    pub leaving: bool,
    /// Whether its upstream is up.
    pub upstream_up: bool,
    /// Whether this entry has a link to it.
    pub connected: bool,
    /// Requests that its upstream is running.
    pub running: u32,
    /// Requests waiting at the agent or its upstream.
    pub waiting: u32,
    /// Limit of requests that its upstream runs at once.
    pub running_max: u32,
    /// Models loaded.
    pub models: Vec<String>,
    /// Time since its last heartbeat.
    pub silent_ms: u64,
}

/// Another entry as seen by this entry.
#[derive(Debug, Clone, Serialize)]
pub struct PeerEntrySummary {
    /// Name.
    pub id: String,
    /// Whether a message from it was received recently.
    pub alive: bool,
    /// Whether it is draining.
    pub leaving: bool,
}

/// A model or adapter as seen by this entry.
#[derive(Debug, Clone, Serialize)]
pub struct ModelSummary {
    /// Name.
    pub model: String,
    /// Agents that have it loaded.
    pub holders: Vec<String>,
    /// Requests waiting for it at this entry.
    pub waiting: u32,
    /// Smoothed arrivals per second over all entries.
    pub rate_per_s: f64,
}
