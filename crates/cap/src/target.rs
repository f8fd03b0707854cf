//! The users' target, and what each node may spend on control.

/// Sizes to carry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// Entries.
    pub entries: f64,
    /// Servers, each with one agent.
    pub agents: f64,
    /// Accelerators.
    pub accelerators: f64,
    /// Requests a second at the peak.
    pub requests_per_s: f64,
    /// Tokens a second at the peak.
    pub tokens_per_s: f64,
    /// Models.
    pub models: f64,
    /// Regions.
    pub regions: f64,
    /// Failure domains.
    pub domains: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
    /// Within which a change has to be in force everywhere.
    pub change_s: f64,
    /// Instances that fail a day.
    pub failures_per_day: f64,
    /// Instances restarted or replaced a day.
    pub restarts_per_day: f64,
    /// Time between two tokens.
    pub between_tokens_s: f64,
    /// Interval of heartbeats.
    pub heartbeat_s: f64,
    /// Models resident on one server.
    pub residents: f64,
}

/// What one node may spend on control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    /// Processor time, in percent of a core.
    pub core_percent: f64,
    /// Memory, in bytes.
    pub memory_bytes: f64,
    /// Bytes a second, in and out together.
    pub bytes_per_s: f64,
    /// Writes a second of the platform.
    pub platform_writes_per_s: f64,
    /// Reads a second of the platform, where a waiting watch counts as one.
    pub platform_reads_per_s: f64,
}

const DAY_S: f64 = 86_400.0;

impl Target {
    /// The users' numbers.
    pub const USERS: Self = Self {
        entries: 1_300.0,
        agents: 12_000.0,
        accelerators: 48_000.0,
        requests_per_s: 41_000.0,
        tokens_per_s: 14_000_000.0,
        models: 1_600.0,
        regions: 7.0,
        domains: 14.0,
        changes_per_day: 22_000.0,
        change_s: 13.0,
        failures_per_day: 160.0,
        restarts_per_day: 2_600.0,
        between_tokens_s: 0.064,
        heartbeat_s: 0.5,
        residents: 4.0,
    };

    /// Heartbeats a second of one process.
    pub fn beats_per_s(&self) -> f64 {
        1.0 / self.heartbeat_s
    }

    /// Requests a second through one entry.
    pub fn entry_requests_per_s(&self) -> f64 {
        self.requests_per_s / self.entries
    }

    /// Parts of answers a second through one entry, one token each.
    pub fn entry_parts_per_s(&self) -> f64 {
        self.tokens_per_s / self.entries
    }

    /// Requests in flight at one entry when tokens come as slowly as they may.
    pub fn entry_in_flight(&self) -> f64 {
        self.tokens_per_s * self.between_tokens_s / self.entries
    }

    /// Requests a second at one agent.
    pub fn agent_requests_per_s(&self) -> f64 {
        self.requests_per_s / self.agents
    }

    /// Holders of one model, the mean.
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

    /// Configuration changes a second.
    pub fn changes_per_s(&self) -> f64 {
        self.changes_per_day / DAY_S
    }

    /// Starts of agents a second, over the day.
    pub fn starts_per_s(&self) -> f64 {
        (self.failures_per_day + self.restarts_per_day) / DAY_S
    }
}

impl Budget {
    /// The users' numbers.
    pub const USERS: Self = Self {
        core_percent: 1.3,
        memory_bytes: 256e6,
        bytes_per_s: 11e3,
        platform_writes_per_s: 300.0,
        platform_reads_per_s: 2_000.0,
    };
}

/// Percent of a core that calls of a duration take at a rate.
pub fn core_percent(calls_per_s: f64, each_ns: f64) -> f64 {
    calls_per_s * each_ns / 1e9 * 100.0
}
