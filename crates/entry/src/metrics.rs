//! Metrics of the shell, besides those of the machine.

use base::Revision;
use oper::ProcessUsage;
use prometheus::core::{AtomicU64, Collector, GenericCounter};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use role::entry::{DecisionCount, EntryCounters, ProfileOutcomes, RefusalCount};

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
pub(crate) fn text(meters: &Meters, seen: &Seen) -> String {
    let mut families = meters.registry.gather();
    let counters = &seen.counters;
    families.extend(TOTALS.iter().flat_map(|line| counter_family(line, seen)));
    families.extend(GAUGES.iter().flat_map(|line| gauge_family(line, seen)));
    families.extend(refused_family(&counters.refused));
    families.extend(profile_families(&counters.profiles));
    families.extend(decision_family(&counters.decisions));
    // The encoder refuses all of them for one family without a value.
    families.retain(|family| !family.get_metric().is_empty());
    TextEncoder::new()
        .encode_to_string(&families)
        .unwrap_or_default()
}

/// What else the metrics are read from.
#[derive(Debug)]
pub(crate) struct Seen {
    /// The machine's counters.
    pub(crate) counters: EntryCounters,
    /// Links that are up.
    pub(crate) links_up: usize,
    /// Requests in progress.
    pub(crate) in_progress: usize,
    /// Configuration in force.
    pub(crate) revision: Revision,
    /// Whether the process takes work.
    pub(crate) ready: bool,
    /// What the process uses.
    pub(crate) process: ProcessUsage,
}

/// One metric without labels.
#[derive(Debug)]
struct Line {
    name: &'static str,
    help: &'static str,
    value: fn(&Seen) -> f64,
}

/// Counts since the start of the process.
const TOTALS: &[Line] = &[
    Line {
        name: "sesame_entry_requests_total",
        help: "Requests that arrived.",
        value: |seen| seen.counters.arrived as f64,
    },
    Line {
        name: "sesame_entry_finished_total",
        help: "Requests whose whole answer was given.",
        value: |seen| seen.counters.finished as f64,
    },
    Line {
        name: "sesame_entry_cancelled_total",
        help: "Requests whose caller went away.",
        value: |seen| seen.counters.cancelled as f64,
    },
    Line {
        name: "sesame_entry_sent_total",
        help: "Runs sent to agents.",
        value: |seen| seen.counters.sent as f64,
    },
    Line {
        name: "sesame_entry_refused_by_gate_total",
        help: "Refusals by agents' gates.",
        value: |seen| seen.counters.refused_by_gate as f64,
    },
    Line {
        name: "sesame_entry_retried_total",
        help: "Attempts made again after a failure.",
        value: |seen| seen.counters.retried as f64,
    },
    Line {
        name: "sesame_entry_resumed_total",
        help: "Answers continued on another upstream.",
        value: |seen| seen.counters.resumed as f64,
    },
    Line {
        name: "sesame_entry_revoked_total",
        help: "Attempts revoked because an answer was missing.",
        value: |seen| seen.counters.revoked as f64,
    },
    Line {
        name: "sesame_entry_stray_frames_total",
        help: "Frames dropped as late, doubled or of another attempt.",
        value: |seen| seen.counters.stray_frames as f64,
    },
    Line {
        name: "sesame_entry_retries_denied_total",
        help: "Retries not made because the budget was used up.",
        value: |seen| seen.counters.retries_denied as f64,
    },
    Line {
        name: "sesame_entry_targets_total",
        help: "Targets sent to agents.",
        value: |seen| seen.counters.targets_sent as f64,
    },
    Line {
        name: "sesame_entry_plans_total",
        help: "Plans made.",
        value: |seen| seen.counters.plans as f64,
    },
    Line {
        name: "sesame_entry_config_rejected_total",
        help: "Configuration changes that could not be applied.",
        value: |seen| seen.counters.config_rejected as f64,
    },
    Line {
        name: "sesame_entry_platform_away_total",
        help: "Calls that the platform did not answer.",
        value: |seen| seen.counters.platform_away as f64,
    },
    Line {
        name: "process_cpu_seconds_total",
        help: "Processor time used.",
        value: |seen| seen.process.cpu_s,
    },
];

/// Measures of the present.
const GAUGES: &[Line] = &[
    Line {
        name: "sesame_entry_waiting",
        help: "Requests that wait for a model or an upstream.",
        value: |seen| seen.counters.waiting as f64,
    },
    Line {
        name: "sesame_entry_running",
        help: "Requests with an attempt in flight.",
        value: |seen| seen.counters.running as f64,
    },
    Line {
        name: "sesame_entry_agents_up",
        help: "Agents that may be sent work.",
        value: |seen| seen.counters.agents_up as f64,
    },
    Line {
        name: "sesame_entry_agents_known",
        help: "Agents known.",
        value: |seen| seen.counters.agents_known as f64,
    },
    Line {
        name: "sesame_entry_links_up",
        help: "Links that are up.",
        value: |seen| seen.links_up as f64,
    },
    Line {
        name: "sesame_entry_in_progress",
        help: "Requests in progress.",
        value: |seen| seen.in_progress as f64,
    },
    Line {
        name: "sesame_entry_revision",
        help: "Configuration revision in force.",
        value: |seen| seen.revision.0 as f64,
    },
    Line {
        name: "sesame_entry_ready",
        help: "1 if the process takes work.",
        value: |seen| f64::from(u8::from(seen.ready)),
    },
    Line {
        name: "process_resident_memory_bytes",
        help: "Resident memory.",
        value: |seen| seen.process.resident_bytes as f64,
    },
];

fn counter_family(line: &Line, seen: &Seen) -> Vec<MetricFamily> {
    let counter = prometheus::Counter::new(line.name, line.help);
    let counter = counter.expect("the names are valid");
    counter.inc_by((line.value)(seen));
    counter.collect()
}

fn gauge_family(line: &Line, seen: &Seen) -> Vec<MetricFamily> {
    let gauge = prometheus::Gauge::new(line.name, line.help);
    let gauge = gauge.expect("the names are valid");
    gauge.set((line.value)(seen));
    gauge.collect()
}

fn refused_family(refused: &[RefusalCount]) -> Vec<MetricFamily> {
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

/// One count of the work of a profile.
type OfProfile = fn(&ProfileOutcomes) -> u64;

/// Counts of the work of each profile.
const PROFILE_TOTALS: &[(&str, &str, OfProfile)] = &[
    (
        "sesame_entry_profile_finished_total",
        "Whole answers, by profile.",
        |held| held.finished,
    ),
    (
        "sesame_entry_profile_attained_total",
        "Whole answers that met their profile's expectation, by profile.",
        |held| held.attained,
    ),
    (
        "sesame_entry_profile_first_unit_late_total",
        "Whole answers whose first unit came late, by profile.",
        |held| held.first_unit_late,
    ),
    (
        "sesame_entry_profile_between_units_late_total",
        "Whole answers whose units came too far apart, by profile.",
        |held| held.between_units_late,
    ),
    (
        "sesame_entry_profile_refused_total",
        "Requests that got no whole answer, by profile.",
        |held| held.refused,
    ),
];

fn profile_families(profiles: &[ProfileOutcomes]) -> Vec<MetricFamily> {
    let mut families = Vec::new();
    for (name, help, value) in PROFILE_TOTALS {
        let opts = Opts::new(*name, *help);
        let family = IntCounterVec::new(opts, &["profile"]).expect("the name is valid");
        for held in profiles {
            family
                .with_label_values(&[held.profile.as_str()])
                .inc_by(value(held));
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
    for held in decisions {
        family
            .with_label_values(&[held.decision, held.reason])
            .inc_by(held.count);
    }
    family.collect()
}
