//! What an entry tells an operator about itself.

use serde::Serialize;

/// State of an entry, for `/status`.
#[derive(Debug, Clone, Serialize)]
pub struct EntryStatus {
    /// Name of the process.
    pub id: String,
    /// This run of the process.
    pub incarnation: u64,
    /// Failure domain the process runs in.
    pub failure_domain: String,
    /// Whether it takes work.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether the platform answers.
    pub platform_up: bool,
    /// Configuration in force; 0 for none.
    pub revision: u64,
    /// Agents in order of name.
    pub agents: Vec<AgentSummary>,
    /// Other entries in order of name.
    pub entries: Vec<PeerEntrySummary>,
    /// Models held or asked for, in order of name.
    pub models: Vec<ModelSummary>,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests with an attempt in flight.
    pub running: u64,
    /// Cells for which this entry plans.
    pub planned_cells: Vec<String>,
}

/// One agent as this entry sees it.
#[derive(Debug, Clone, Serialize)]
pub struct AgentSummary {
    /// Name.
    pub id: String,
    /// Pool of its upstream.
    pub pool: String,
    /// Failure domain.
    pub failure_domain: String,
    /// `up`, `suspected` or `lost`.
    pub state: &'static str,
    /// It is stopping.
    pub leaving: bool,
    /// Its upstream answers.
    pub upstream_up: bool,
    /// This entry has a connection to it.
    pub connected: bool,
    /// Requests in its batch.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
    /// Requests it runs at most.
    pub running_max: u32,
    /// Models loaded.
    pub models: Vec<String>,
    /// Time since it was last heard.
    pub silent_ms: u64,
}

/// One other entry as this entry sees it.
#[derive(Debug, Clone, Serialize)]
pub struct PeerEntrySummary {
    /// Name.
    pub id: String,
    /// It was heard lately.
    pub alive: bool,
    /// It is stopping.
    pub leaving: bool,
}

/// One model or adapter as this entry sees it.
#[derive(Debug, Clone, Serialize)]
pub struct ModelSummary {
    /// Name.
    pub model: String,
    /// Agents that can serve it.
    pub holders: Vec<String>,
    /// Requests waiting here.
    pub waiting: u32,
    /// Smoothed arrivals per second over all entries.
    pub rate_per_s: f64,
}
