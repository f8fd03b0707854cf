//! The required size of the system, and the resources that each process may use
//! for control.

/// Required sizes and rates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityTarget {
    /// Number of entries.
    pub entries: f64,
    /// Number of servers, each with one agent.
    pub agents: f64,
    /// Number of accelerators.
    pub accelerators: f64,
    /// Requests per second at the peak.
    pub requests_per_s: f64,
    /// Tokens per second at the peak.
    pub tokens_per_s: f64,
    /// Number of models.
    pub models: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of failure domains.
    pub domains: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Seconds within which a configuration change has to be in force
    /// everywhere.
    pub change_deadline_s: f64,
    /// Instances that fail per day.
    pub failures_per_day: f64,
    /// Instances that are restarted or replaced per day.
    pub restarts_per_day: f64,
    /// Longest time between two tokens of an answer, in seconds.
    pub between_tokens_s: f64,
    /// Interval of heartbeats, in seconds.
    pub heartbeat_s: f64,
    /// Models resident on one server.
    pub residents: f64,
}

/// Resources that one process, or the platform, may use for control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeBudget {
    /// CPU time, in percent of a core.
    pub core_percent: f64,
    /// Memory, in bytes.
    pub memory_bytes: f64,
    /// Bytes per second, sent and received together.
    pub bytes_per_s: f64,
    /// Writes per second at the platform.
    pub platform_writes_per_s: f64,
    /// Reads per second at the platform; a waiting watch counts as one.
    pub platform_reads_per_s: f64,
}

const DAY_S: f64 = 86_400.0;

impl CapacityTarget {
    /// The sizes that the users require.
    pub const REQUIRED: Self = Self {
        entries: 1_300.0,
        agents: 12_000.0,
        accelerators: 48_000.0,
        requests_per_s: 41_000.0,
        tokens_per_s: 14_000_000.0,
        models: 1_600.0,
        regions: 7.0,
        domains: 14.0,
        changes_per_day: 22_000.0,
        change_deadline_s: 13.0,
        failures_per_day: 160.0,
        restarts_per_day: 2_600.0,
        between_tokens_s: 0.064,
        heartbeat_s: 0.5,
        residents: 4.0,
    };

    /// Heartbeats per second of one process.
    pub fn heartbeats_per_s(&self) -> f64 {
        1.0 / self.heartbeat_s
    }

    /// Requests per second through one entry.
    pub fn entry_requests_per_s(&self) -> f64 {
        self.requests_per_s / self.entries
    }

    /// Answer parts per second through one entry, with one token each.
    pub fn entry_parts_per_s(&self) -> f64 {
        self.tokens_per_s / self.entries
    }

    /// Requests in flight at one entry if tokens arrive as slowly as allowed.
    pub fn entry_in_flight(&self) -> f64 {
        self.tokens_per_s * self.between_tokens_s / self.entries
    }

    /// Requests per second at one agent.
    pub fn agent_requests_per_s(&self) -> f64 {
        self.requests_per_s / self.agents
    }

    /// Mean number of holders of a model.
    pub fn holders(&self) -> f64 {
        self.accelerators / self.models
    }

    /// Agents of one failure domain.
    pub fn domain_agents(&self) -> f64 {
        self.agents / self.domains
    }

    /// Entries of one failure domain.
    pub fn domain_entries(&self) -> f64 {
        self.entries / self.domains
    }

    /// Configuration changes per second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / DAY_S
    }

    /// Starts of agents per second, as a mean over the day.
    pub fn agent_starts_per_s(&self) -> f64 {
        (self.failures_per_day + self.restarts_per_day) / DAY_S
    }
}

impl NodeBudget {
    /// The limits that the users set.
    pub const REQUIRED: Self = Self {
        core_percent: 1.3,
        memory_bytes: 256e6,
        bytes_per_s: 11e3,
        platform_writes_per_s: 300.0,
        platform_reads_per_s: 2_000.0,
    };
}

/// CPU time in percent of a core, from the rate and the duration of calls.
pub fn core_percent(calls_per_s: f64, call_ns: f64) -> f64 {
    calls_per_s * call_ns / 1e9 * 100.0
}
