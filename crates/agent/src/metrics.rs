//! Metrics of the agent process.

use oper::ProcessUsage;
use prometheus::core::Collector;
use prometheus::proto::MetricFamily;
use prometheus::{Counter, Gauge, IntCounter, Registry, TextEncoder};
use role::agent::{AgentCounters, AgentStatus};

/// Counters that are kept outside the state machine.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    registry: Registry,
    /// Frames that could not be enqueued on a link.
    pub(crate) unsent_frames: IntCounter,
    /// Frames and handshakes that were invalid.
    pub(crate) bad_frames: IntCounter,
    /// Connections closed because too many were open.
    pub(crate) refused_links: IntCounter,
}

impl ProcessMetrics {
    /// Creates the counters with a value of zero.
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

/// Values at the time at which the metrics are read.
#[derive(Debug)]
pub(crate) struct MetricsSnapshot {
    /// Counters of the state machine.
    pub(crate) counters: AgentCounters,
    /// Status of the state machine.
    pub(crate) status: AgentStatus,
    /// Number of connected entries.
    pub(crate) links_up: usize,
    /// Number of attempts that are running at the upstream.
    pub(crate) attempts: usize,
    /// Whether the process accepts work.
    pub(crate) ready: bool,
}

/// Renders all metrics in the Prometheus text format.
pub(crate) fn render(metrics: &ProcessMetrics, snapshot: &MetricsSnapshot) -> String {
    let mut families = metrics.registry.gather();
    families.extend(state_machine_counters(&snapshot.counters));
    for (name, help, value) in gauges(snapshot) {
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

/// Returns the state machine's counters, each named after its field.
fn state_machine_counters(counters: &AgentCounters) -> Vec<MetricFamily> {
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

fn gauges(snapshot: &MetricsSnapshot) -> [(&'static str, &'static str, f64); 6] {
    let status = &snapshot.status;
    [
        (
            "sesame_agent_links_up",
            "Entries that are connected.",
            snapshot.links_up as f64,
        ),
        (
            "sesame_agent_attempts_at_upstream",
            "Attempts that the upstream runs.",
            snapshot.attempts as f64,
        ),
        (
            "sesame_agent_revision",
            "Configuration revision in force.",
            status.revision as f64,
        ),
        (
            "sesame_agent_ready",
            "1 if the process takes work.",
            f64::from(u8::from(snapshot.ready)),
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
