//! Metrics of the shell, besides those of the machine.

use prometheus::core::{AtomicU64, Collector, GenericCounter};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use role::entry::{CodeCount, EntryCounters};

use crate::node::Node;
use crate::process::ProcessUse;
use crate::reply::Broken;

/// A counter of bytes or events.
type Counter = GenericCounter<AtomicU64>;

/// What the shell counts.
#[derive(Debug)]
pub(crate) struct Meters {
    registry: Registry,
    /// Requests refused before the machine saw them.
    pub(crate) faults: Counter,
    /// Bytes of bodies received from callers.
    pub(crate) received_bytes: Counter,
    /// Bytes of answers delivered towards callers.
    pub(crate) delivered_bytes: Counter,
    /// Open connections of callers.
    pub(crate) connections: IntGauge,
    /// Connections of callers since the start.
    pub(crate) accepted: Counter,
    /// Frames that could not be queued on a link.
    pub(crate) unsent_frames: Counter,
    /// Frames and greetings that could not be read.
    pub(crate) bad_frames: Counter,
    too_slow: Counter,
    misfits: Counter,
}

impl Meters {
    /// Counters at zero.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name, help| {
            let counter: IntCounter =
                IntCounter::new(name, help).expect("the names are valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name is registered once");
            counter
        };
        let connections =
            IntGauge::new("sesame_entry_connections", "Open connections of callers.")
                .expect("the name is valid");
        registry
            .register(Box::new(connections.clone()))
            .expect("each name is registered once");
        Self {
            faults: counter(
                "sesame_entry_faults_total",
                "Requests refused before the machine saw them.",
            ),
            received_bytes: counter(
                "sesame_entry_received_bytes_total",
                "Bytes of bodies received from callers.",
            ),
            delivered_bytes: counter(
                "sesame_entry_delivered_bytes_total",
                "Bytes of answers delivered towards callers.",
            ),
            connections,
            accepted: counter(
                "sesame_entry_accepted_connections_total",
                "Connections of callers.",
            ),
            unsent_frames: counter(
                "sesame_entry_unsent_frames_total",
                "Frames that could not be queued on a link.",
            ),
            bad_frames: counter(
                "sesame_entry_bad_frames_total",
                "Frames and greetings that could not be read.",
            ),
            too_slow: counter(
                "sesame_entry_slow_callers_total",
                "Answers broken off because the caller read too slowly.",
            ),
            misfits: counter(
                "sesame_entry_misfit_parts_total",
                "Answers broken off because a part did not fit.",
            ),
            registry,
        }
    }

    /// Counts an answer that was broken off here.
    pub(crate) fn broken(&self, broken: Broken) {
        match broken {
            Broken::CallerTooSlow => self.too_slow.inc(),
            Broken::PartDoesNotFit => self.misfits.inc(),
        }
    }
}

/// All metrics in the text format of Prometheus.
pub(crate) fn text(node: &Node) -> String {
    let mut families = node.meters().registry.gather();
    let counters = node.role().counters();
    for (name, help, value) in totals(&counters) {
        families.extend(counter_family(name, help, value));
    }
    for (name, help, value) in gauges(node, &counters) {
        families.extend(gauge_family(name, help, value));
    }
    families.extend(refused_family(&counters.refused));
    // The encoder refuses all of them for one family without a value.
    families.retain(|family| !family.get_metric().is_empty());
    TextEncoder::new()
        .encode_to_string(&families)
        .unwrap_or_default()
}

type Line = (&'static str, &'static str, f64);

fn totals(counters: &EntryCounters) -> Vec<Line> {
    let line = |name, help, value: u64| (name, help, value as f64);
    vec![
        line(
            "sesame_entry_requests_total",
            "Requests that arrived.",
            counters.arrived,
        ),
        line(
            "sesame_entry_finished_total",
            "Requests whose whole answer was given.",
            counters.finished,
        ),
        line(
            "sesame_entry_cancelled_total",
            "Requests whose caller went away.",
            counters.cancelled,
        ),
        line(
            "sesame_entry_sent_total",
            "Runs sent to agents.",
            counters.sent,
        ),
        line(
            "sesame_entry_refused_by_gate_total",
            "Refusals by agents' gates.",
            counters.refused_by_gate,
        ),
        line(
            "sesame_entry_retried_total",
            "Attempts made again after a failure.",
            counters.retried,
        ),
        line(
            "sesame_entry_resumed_total",
            "Answers continued on another upstream.",
            counters.resumed,
        ),
        line(
            "sesame_entry_revoked_total",
            "Attempts revoked because an answer was missing.",
            counters.revoked,
        ),
        line(
            "sesame_entry_stray_frames_total",
            "Frames dropped as late, doubled or of another attempt.",
            counters.stray_frames,
        ),
        line(
            "sesame_entry_retries_denied_total",
            "Retries not made because the budget was used up.",
            counters.retries_denied,
        ),
        line(
            "sesame_entry_targets_total",
            "Targets sent to agents.",
            counters.targets_sent,
        ),
        line("sesame_entry_plans_total", "Plans made.", counters.plans),
        line(
            "sesame_entry_config_rejected_total",
            "Configuration changes that could not be applied.",
            counters.config_rejected,
        ),
        line(
            "sesame_entry_platform_away_total",
            "Calls that the platform did not answer.",
            counters.platform_away,
        ),
        (
            "process_cpu_seconds_total",
            "Processor time used.",
            ProcessUse::read().cpu_s,
        ),
    ]
}

fn gauges(node: &Node, counters: &EntryCounters) -> Vec<Line> {
    let line = |name, help, value: u64| (name, help, value as f64);
    vec![
        line(
            "sesame_entry_waiting",
            "Requests that wait for a model or an upstream.",
            counters.waiting,
        ),
        line(
            "sesame_entry_running",
            "Requests with an attempt in flight.",
            counters.running,
        ),
        line(
            "sesame_entry_agents_up",
            "Agents that may be sent work.",
            counters.agents_up,
        ),
        line(
            "sesame_entry_agents_known",
            "Agents known.",
            counters.agents_known,
        ),
        line(
            "sesame_entry_links_up",
            "Links that are up.",
            node.links().up() as u64,
        ),
        line(
            "sesame_entry_in_progress",
            "Requests in progress.",
            node.calls().len() as u64,
        ),
        line(
            "sesame_entry_revision",
            "Configuration revision in force.",
            node.role().revision().0,
        ),
        line(
            "sesame_entry_ready",
            "1 if the process takes work.",
            u64::from(node.is_ready()),
        ),
        line(
            "process_resident_memory_bytes",
            "Resident memory.",
            ProcessUse::read().resident_bytes,
        ),
    ]
}

fn counter_family(name: &str, help: &str, value: f64) -> Vec<MetricFamily> {
    let counter = prometheus::Counter::new(name, help).expect("the name is valid");
    counter.inc_by(value);
    counter.collect()
}

fn gauge_family(name: &str, help: &str, value: f64) -> Vec<MetricFamily> {
    let gauge = prometheus::Gauge::new(name, help).expect("the name is valid");
    gauge.set(value);
    gauge.collect()
}

fn refused_family(refused: &[CodeCount]) -> Vec<MetricFamily> {
    let opts = Opts::new(
        "sesame_entry_refused_total",
        "Requests refused or failed, by code.",
    );
    let family = IntCounterVec::new(opts, &["code"]).expect("the name is valid");
    for held in refused {
        family
            .with_label_values(&[held.code.name()])
            .inc_by(held.count);
    }
    family.collect()
}
