//! Metrics of the agent.

use oper::ProcessUsage;
use prometheus::core::Collector;
use prometheus::proto::MetricFamily;
use prometheus::{Counter, Gauge, IntCounter, Registry, TextEncoder};
use role::agent::{AgentCounters, AgentStatus};

/// What the shell counts.
#[derive(Debug)]
pub(crate) struct Meters {
    registry: Registry,
    /// Frames that could not be queued on a link.
    pub(crate) unsent_frames: IntCounter,
    /// Frames and greetings that could not be read.
    pub(crate) bad_frames: IntCounter,
    /// Connections closed because too many were open.
    pub(crate) refused_links: IntCounter,
}

impl Meters {
    /// Counters at zero.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("the names are valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name is registered once");
            counter
        };
        Self {
            unsent_frames: counter(
                "sesame_agent_unsent_frames_total",
                "Frames that could not be queued on a link.",
            ),
            bad_frames: counter(
                "sesame_agent_bad_frames_total",
                "Frames and greetings that could not be read.",
            ),
            refused_links: counter(
                "sesame_agent_refused_links_total",
                "Connections closed because too many were open.",
            ),
            registry,
        }
    }
}

/// What else the metrics are read from.
#[derive(Debug)]
pub(crate) struct Seen {
    /// The machine's counters.
    pub(crate) counters: AgentCounters,
    /// The machine's state.
    pub(crate) status: AgentStatus,
    /// Entries that are connected.
    pub(crate) links_up: usize,
    /// Attempts that the upstream runs.
    pub(crate) attempts: usize,
    /// Whether the process takes work.
    pub(crate) ready: bool,
}

/// All metrics in the text format of Prometheus.
pub(crate) fn text(meters: &Meters, seen: &Seen) -> String {
    let mut families = meters.registry.gather();
    families.extend(machine(&seen.counters));
    for (name, help, value) in gauges(seen) {
        let gauge = Gauge::new(name, help).expect("the names are valid");
        gauge.set(value);
        families.extend(gauge.collect());
    }
    let cpu = Counter::new("process_cpu_seconds_total", "Processor time used.")
        .expect("the name is valid");
    cpu.inc_by(ProcessUsage::read().cpu_s);
    families.extend(cpu.collect());
    TextEncoder::new()
        .encode_to_string(&families)
        .unwrap_or_default()
}

/// The machine's counters, each under the name of its field.
fn machine(counters: &AgentCounters) -> Vec<MetricFamily> {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(counters) else {
        return Vec::new();
    };
    let mut families = Vec::with_capacity(fields.len());
    for (field, value) in fields {
        let name = format!("sesame_agent_{field}_total");
        let help = format!("Count of `{field}` since the start, see `AgentCounters`.");
        if let Ok(counter) = Counter::new(name, help) {
            counter.inc_by(value.as_f64().unwrap_or_default());
            families.extend(counter.collect());
        }
    }
    families
}

fn gauges(seen: &Seen) -> [(&'static str, &'static str, f64); 6] {
    let status = &seen.status;
    [
        (
            "sesame_agent_links_up",
            "Entries that are connected.",
            seen.links_up as f64,
        ),
        (
            "sesame_agent_attempts_at_upstream",
            "Attempts that the upstream runs.",
            seen.attempts as f64,
        ),
        (
            "sesame_agent_revision",
            "Configuration revision in force.",
            status.revision as f64,
        ),
        (
            "sesame_agent_ready",
            "1 if the process takes work.",
            f64::from(u8::from(seen.ready)),
        ),
        (
            "sesame_agent_upstream_up",
            "1 if the upstream answers.",
            f64::from(u8::from(status.upstream_up)),
        ),
        (
            "process_resident_memory_bytes",
            "Resident memory.",
            ProcessUsage::read().resident_bytes as f64,
        ),
    ]
}
