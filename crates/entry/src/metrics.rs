//! Metrics of the entry process in the text format of Prometheus: those counted
//! by the driver and those read from the state machine.

use base::Revision;
use oper::ProcessUsage;
use prometheus::core::{AtomicU64, Collector, GenericCounter};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use role::entry::{DecisionCount, EntryCounters, ProfileOutcomes, RefusalCount};

use crate::response_queue::AbortReason;

/// A counter of bytes or events.
type Counter = GenericCounter<AtomicU64>;

/// Metrics that the driver counts.
#[derive(Debug)]
pub(crate) struct ProcessMetrics {
    registry: Registry,
    /// Requests rejected before the state machine received them.
    pub(crate) rejected_requests: Counter,
    /// Bytes of request bodies received from callers.
    pub(crate) received_bytes: Counter,
    /// Bytes of answers queued for callers.
    pub(crate) delivered_bytes: Counter,
    /// Bodies of requests that were not read to their end, by reason.
    pub(crate) bodies_ended: IntCounterVec,
    /// Callers' connections that gave way to new ones, by what they waited for.
    pub(crate) evicted_connections: IntCounterVec,
    /// Open connections of callers.
    pub(crate) connections: IntGauge,
    /// Links that were closed as too many had no handshake yet.
    pub(crate) refused_links: Counter,
    /// Connections that were read after a refusal, by outcome.
    pub(crate) drains: IntCounterVec,
    /// Connections of callers that were closed unread, as none gave way.
    pub(crate) refused_connections: Counter,
    /// Connections of callers accepted since the start.
    pub(crate) accepted_connections: Counter,
    /// Frames that could not be queued on a link.
    pub(crate) unsent_frames: Counter,
    /// Frames and handshakes that could not be decoded.
    pub(crate) bad_frames: Counter,
    /// Responses aborted because the caller read too slowly.
    slow_callers: Counter,
    /// Responses aborted because of an invalid part.
    invalid_parts: Counter,
}

impl ProcessMetrics {
    /// Registers all counters, at zero.
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
        let labelled = |name, help, label| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])
                .expect("the names are valid");
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
            rejected_requests: counter(
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
            bodies_ended: labelled(
                "sesame_entry_bodies_ended_total",
                "Bodies of requests that were not read to their end.",
                "reason",
            ),
            evicted_connections: labelled(
                "sesame_entry_evicted_connections_total",
                "Connections of callers that gave way to new ones.",
                "phase",
            ),
            connections,
            refused_links: counter(
                "sesame_entry_refused_links_total",
                "Links closed as too many had no handshake yet.",
            ),
            drains: labelled(
                "sesame_entry_drains_total",
                "Connections that were read after a refusal.",
                "outcome",
            ),
            refused_connections: counter(
                "sesame_entry_refused_connections_total",
                "Connections of callers that were closed unread, as none gave way.",
            ),
            accepted_connections: counter(
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
            slow_callers: counter(
                "sesame_entry_slow_callers_total",
                "Answers broken off because the caller read too slowly.",
            ),
            invalid_parts: counter(
                "sesame_entry_misfit_parts_total",
                "Answers broken off because a part did not fit.",
            ),
            registry,
        }
    }

    /// Counts a response that this process aborted.
    pub(crate) fn count_abort(&self, reason: AbortReason) {
        match reason {
            AbortReason::CallerTooSlow => self.slow_callers.inc(),
            AbortReason::InvalidPart => self.invalid_parts.inc(),
        }
    }
}

/// All metrics in the text format of Prometheus.
pub(crate) fn render(metrics: &ProcessMetrics, snapshot: &MetricsSnapshot) -> String {
    let mut families = metrics.registry.gather();
    let counters = &snapshot.counters;
    families.extend(
        COUNTERS
            .iter()
            .flat_map(|definition| counter_family(definition, snapshot)),
    );
    families.extend(
        GAUGES
            .iter()
            .flat_map(|definition| gauge_family(definition, snapshot)),
    );
    families.extend(refused_family(&counters.refused));
    families.extend(profile_families(&counters.profiles));
    families.extend(decision_family(&counters.decisions));
    // The encoder rejects all families if one has no value.
    families.retain(|family| !family.get_metric().is_empty());
    TextEncoder::new()
        .encode_to_string(&families)
        .unwrap_or_default()
}

/// Values from the rest of the process at the time of a scrape.
#[derive(Debug)]
pub(crate) struct MetricsSnapshot {
    /// Counters of the state machine.
    pub(crate) counters: EntryCounters,
    /// Dialed links that are up.
    pub(crate) links_up: usize,
    /// Number of requests in progress.
    pub(crate) in_progress: usize,
    /// Revision of the configuration in force.
    pub(crate) revision: Revision,
    /// Whether the process accepts requests.
    pub(crate) ready: bool,
    /// Processor time and memory of the process.
    pub(crate) process: ProcessUsage,
}

/// A metric without labels, and how its value is read.
#[derive(Debug)]
struct MetricDefinition {
    name: &'static str,
    help: &'static str,
    value: fn(&MetricsSnapshot) -> f64,
}

/// Counts since the start of the process.
const COUNTERS: &[MetricDefinition] = &[
    MetricDefinition {
        name: "sesame_entry_requests_total",
        help: "Requests that arrived.",
        value: |snapshot| snapshot.counters.arrived as f64,
    },
    MetricDefinition {
        name: "sesame_entry_finished_total",
        help: "Requests whose whole answer was given.",
        value: |snapshot| snapshot.counters.finished as f64,
    },
    MetricDefinition {
        name: "sesame_entry_cancelled_total",
        help: "Requests whose caller went away.",
        value: |snapshot| snapshot.counters.cancelled as f64,
    },
    MetricDefinition {
        name: "sesame_entry_sent_total",
        help: "Runs sent to agents.",
        value: |snapshot| snapshot.counters.sent as f64,
    },
    MetricDefinition {
        name: "sesame_entry_refused_by_gate_total",
        help: "Refusals by agents' gates.",
        value: |snapshot| snapshot.counters.refused_by_gate as f64,
    },
    MetricDefinition {
        name: "sesame_entry_retried_total",
        help: "Attempts made again after a failure.",
        value: |snapshot| snapshot.counters.retried as f64,
    },
    MetricDefinition {
        name: "sesame_entry_resumed_total",
        help: "Answers continued on another upstream.",
        value: |snapshot| snapshot.counters.resumed as f64,
    },
    MetricDefinition {
        name: "sesame_entry_revoked_total",
        help: "Attempts revoked because an answer was missing.",
        value: |snapshot| snapshot.counters.revoked as f64,
    },
    MetricDefinition {
        name: "sesame_entry_stray_frames_total",
        help: "Frames dropped as late, doubled or of another attempt.",
        value: |snapshot| snapshot.counters.stray_frames as f64,
    },
    MetricDefinition {
        name: "sesame_entry_retries_denied_total",
        help: "Retries not made because the budget was used up.",
        value: |snapshot| snapshot.counters.retries_denied as f64,
    },
    MetricDefinition {
        name: "sesame_entry_targets_total",
        help: "Targets sent to agents.",
        value: |snapshot| snapshot.counters.targets_sent as f64,
    },
    MetricDefinition {
        name: "sesame_entry_plans_total",
        help: "Plans made.",
        value: |snapshot| snapshot.counters.plans as f64,
    },
    MetricDefinition {
        name: "sesame_entry_config_rejected_total",
        help: "Configuration changes that could not be applied.",
        value: |snapshot| snapshot.counters.config_rejected as f64,
    },
    MetricDefinition {
        name: "sesame_entry_platform_away_total",
        help: "Calls that the platform did not answer.",
        value: |snapshot| snapshot.counters.platform_away as f64,
    },
    MetricDefinition {
        name: "process_cpu_seconds_total",
        help: "Processor time used.",
        value: |snapshot| snapshot.process.cpu_s,
    },
];

/// Current values.
const GAUGES: &[MetricDefinition] = &[
    MetricDefinition {
        name: "sesame_entry_waiting",
        help: "Requests that wait for a model or an upstream.",
        value: |snapshot| snapshot.counters.waiting as f64,
    },
    MetricDefinition {
        name: "sesame_entry_running",
        help: "Requests with an attempt in flight.",
        value: |snapshot| snapshot.counters.running as f64,
    },
    MetricDefinition {
        name: "sesame_entry_agents_up",
        help: "Agents that may be sent work.",
        value: |snapshot| snapshot.counters.agents_up as f64,
    },
    MetricDefinition {
        name: "sesame_entry_agents_known",
        help: "Agents known.",
        value: |snapshot| snapshot.counters.agents_known as f64,
    },
    MetricDefinition {
        name: "sesame_entry_links_up",
        help: "Links that are up.",
        value: |snapshot| snapshot.links_up as f64,
    },
    MetricDefinition {
        name: "sesame_entry_in_progress",
        help: "Requests in progress.",
        value: |snapshot| snapshot.in_progress as f64,
    },
    MetricDefinition {
        name: "sesame_entry_revision",
        help: "Configuration revision in force.",
        value: |snapshot| snapshot.revision.0 as f64,
    },
    MetricDefinition {
        name: "sesame_entry_ready",
        help: "1 if the process takes work.",
        value: |snapshot| f64::from(u8::from(snapshot.ready)),
    },
    MetricDefinition {
        name: "process_resident_memory_bytes",
        help: "Resident memory.",
        value: |snapshot| snapshot.process.resident_bytes as f64,
    },
];

fn counter_family(
    definition: &MetricDefinition,
    snapshot: &MetricsSnapshot,
) -> Vec<MetricFamily> {
    let counter = prometheus::Counter::new(definition.name, definition.help);
    let counter = counter.expect("the names are valid");
    counter.inc_by((definition.value)(snapshot));
    counter.collect()
}

fn gauge_family(
    definition: &MetricDefinition,
    snapshot: &MetricsSnapshot,
) -> Vec<MetricFamily> {
    let gauge = prometheus::Gauge::new(definition.name, definition.help);
    let gauge = gauge.expect("the names are valid");
    gauge.set((definition.value)(snapshot));
    gauge.collect()
}

fn refused_family(refused: &[RefusalCount]) -> Vec<MetricFamily> {
    let opts = Opts::new(
        "sesame_entry_refused_total",
        "Requests refused or failed, by code.",
    );
    let family = IntCounterVec::new(opts, &["code"]).expect("the name is valid");
    for refusal in refused {
        family
            .with_label_values(&[refusal.code.name()])
            .inc_by(refusal.count);
    }
    family.collect()
}

/// Reads one count from the outcomes of a profile.
type ProfileCount = fn(&ProfileOutcomes) -> u64;

/// Counters with the label `profile`: name, help text and value.
const PROFILE_COUNTERS: &[(&str, &str, ProfileCount)] = &[
    (
        "sesame_entry_profile_finished_total",
        "Whole answers, by profile.",
        |outcomes| outcomes.finished,
    ),
    (
        "sesame_entry_profile_attained_total",
        "Whole answers that met their profile's expectation, by profile.",
        |outcomes| outcomes.attained,
    ),
    (
        "sesame_entry_profile_first_unit_late_total",
        "Whole answers whose first unit came late, by profile.",
        |outcomes| outcomes.first_unit_late,
    ),
    (
        "sesame_entry_profile_between_units_late_total",
        "Whole answers whose units came too far apart, by profile.",
        |outcomes| outcomes.between_units_late,
    ),
    (
        "sesame_entry_profile_refused_total",
        "Requests that got no whole answer, by profile.",
        |outcomes| outcomes.refused,
    ),
];

fn profile_families(profiles: &[ProfileOutcomes]) -> Vec<MetricFamily> {
    let mut families = Vec::new();
    for (name, help, value) in PROFILE_COUNTERS {
        let opts = Opts::new(*name, *help);
        let family = IntCounterVec::new(opts, &["profile"]).expect("the name is valid");
        for outcomes in profiles {
            family
                .with_label_values(&[outcomes.profile.as_str()])
                .inc_by(value(outcomes));
        }
        families.extend(family.collect());
    }
    families
}

fn decision_family(decisions: &[DecisionCount]) -> Vec<MetricFamily> {
    let opts = Opts::new(
        "sesame_entry_decisions_total",
        "Choices of an upstream and changes of plans, by reason.",
    );
    let family =
        IntCounterVec::new(opts, &["decision", "reason"]).expect("the name is valid");
    for decision in decisions {
        family
            .with_label_values(&[decision.decision, decision.reason])
            .inc_by(decision.count);
    }
    family.collect()
}
