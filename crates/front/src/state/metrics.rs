//! Counters and latency histograms.

use inbound::Eviction;
use prometheus::{
    Counter, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use super::transfer::{SentMessages, TransferKind, TransferScope};

/// Upper bounds of the latency buckets, in seconds. The deployments' target
/// latencies are between 0.1 and 8 s.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];

/// Upper bounds of the buckets of pauses in streams, in seconds. Routes allow pauses of a
/// few hundred milliseconds.
const PAUSE_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1.2, 2.0, 4.0];
/// Upper bounds of the buckets of observed / predicted time.
const RATIO_BUCKETS: [f64; 9] = [0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2.0, 4.0];

/// All metrics of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Observed / predicted time to the first event of a stream, by service.
    pub(crate) first_event_error_ratio: HistogramVec,
    /// Requests that wait for a place at an engine, by service.
    pub(crate) waiting_requests: IntGaugeVec,
    /// How long they waited, by service and outcome.
    pub(crate) wait_s: HistogramVec,
    /// Finished requests, by route and outcome.
    pub(crate) requests_ended: IntCounterVec,
    /// Time to the first part of the response, by route.
    pub(crate) first_response_s: HistogramVec,
    /// Time to the end of the response, by route.
    pub(crate) full_response_s: HistogramVec,
    /// Longest pause between two parts of a stream, by service.
    pub(crate) longest_pause_s: HistogramVec,
    /// Requests refused because of their workspace's quota, by workspace and
    /// reason.
    pub(crate) quota_refused: IntCounterVec,
    /// Requests refused because their workspace is over its share, by service.
    pub(crate) over_share_refused: IntCounterVec,
    /// Attempts, by service and outcome.
    pub(crate) attempts: IntCounterVec,
    /// Verdicts on parts of prompts, by service and verdict.
    pub(crate) part_verdicts: IntCounterVec,
    /// Requests refused for a part of their prompt, by service, by whether its crashes
    /// may have causes outside the request, and by why they did not probe it.
    pub(crate) part_refusals: IntCounterVec,
    /// Responses of upstreams of which no more was read, by the part that is too large.
    pub(crate) responses_too_large: IntCounterVec,
    /// Streams that callers take up, by how their origin is known.
    pub(crate) streams_taken_up: IntCounterVec,
    /// Requests for the rest of a stream whose origin is known, by how they ended.
    pub(crate) resumptions_ended: IntCounterVec,
    /// Orders, by action and outcome.
    pub(crate) orders: IntCounterVec,
    /// Calls to the platform, by object and outcome.
    pub(crate) platform_calls: IntCounterVec,
    /// Messages between entries, by direction and reason.
    pub(crate) peer_messages: IntCounterVec,
    /// Bytes of these messages.
    pub(crate) peer_bytes: IntCounterVec,
    /// Bytes of the parts of sent messages, by part.
    pub(crate) peer_part_bytes: IntCounterVec,
    /// Bytes sent and received, by kind and scope.
    pub(crate) transfer_bytes: IntCounterVec,
    /// Objects that can't be decoded, by kind, counted once per change.
    pub(crate) unreadable: IntCounterVec,
    /// Upstreams that began to be avoided, by reason.
    pub(crate) avoided: IntCounterVec,
    /// Time for which the process did not run.
    pub(crate) suspended_s: Counter,
    /// Responses after the termination signal, by the shutdown phase in which
    /// the request arrived and by status.
    pub(crate) shutdown_responses: IntCounterVec,
    /// New connections that were closed unread for lack of processor time.
    pub(crate) connections_refused: IntCounter,
    /// Callers' connections that were closed unread as none gave way.
    pub(crate) connections_full: IntCounter,
    /// Connections that were read after a refusal, by outcome.
    pub(crate) drains: IntCounterVec,
    /// Connections that gave way to new ones, by listener and by what they waited for.
    pub(crate) connections_evicted: IntCounterVec,
    /// Bodies of requests that were not read to their end, by reason.
    pub(crate) bodies_ended: IntCounterVec,
    /// Memory that the bodies of requests take, and may take, in bytes.
    pub(crate) body_memory_bytes: IntGauge,
    /// See `body_memory_bytes`.
    pub(crate) body_memory_max_bytes: IntGauge,
    /// Callers' connections that ended, by reason and phase of their last request.
    pub(crate) connections_ended: IntCounterVec,
    /// Requests whose connection ended before the end of their response, by route,
    /// outcome and progress.
    pub(crate) requests_unfinished: IntCounterVec,
    /// Requests in progress.
    pub(crate) in_progress: IntGauge,
    /// Dropped log lines.
    pub(crate) log_dropped: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("metric names and labels are valid literals");
            registry
                .register(Box::new(counter.clone()))
                .expect("each metric is registered once");
            counter
        };
        let requests_ended = counter(
            "sesame_front_requests_total",
            "Requests ended",
            &["route", "outcome"],
        );
        let quota_refused = counter(
            "sesame_front_quota_refused_total",
            "Requests refused for their workspace's quota",
            &["workspace", "why"],
        );
        let over_share_refused = counter(
            "sesame_front_over_share_refused_total",
            "Requests refused because their workspace is over its share of a scarce service",
            &["service"],
        );
        let attempts = counter(
            "sesame_front_tries_total",
            "Tries at upstreams",
            &["service", "outcome"],
        );
        let part_verdicts = counter(
            "sesame_front_prompt_part_verdicts_total",
            "Parts of prompts that are refused or released",
            &["service", "verdict"],
        );
        let part_refusals = counter(
            "sesame_front_prompt_part_refusals_total",
            "Requests refused for a part of their prompt, by possible causes",
            &["service", "causes", "no_probe"],
        );
        let responses_too_large = counter(
            "sesame_front_responses_too_large_total",
            "Responses of upstreams of which no more was read",
            &["part"],
        );
        let streams_taken_up = counter(
            "sesame_front_streams_taken_up_total",
            "Streams that callers take up",
            &["origin"],
        );
        let resumptions_ended = counter(
            "sesame_front_resumptions_ended_total",
            "Requests for the rest of a stream whose origin is known",
            &["outcome"],
        );
        let orders = counter(
            "sesame_front_orders_total",
            "Orders to upstreams",
            &["action", "outcome"],
        );
        let platform_calls = counter(
            "sesame_front_platform_calls_total",
            "Calls to the platform",
            &["object", "outcome"],
        );
        let peer_messages = counter(
            "sesame_front_peer_messages_total",
            "Messages between entries",
            &["direction", "reason"],
        );
        let peer_bytes = counter(
            "sesame_front_peer_bytes_total",
            "Bytes of messages between entries",
            &["direction", "reason"],
        );
        let peer_part_bytes = counter(
            "sesame_front_peer_part_bytes_total",
            "Bytes of the parts of messages sent to other entries",
            &["part"],
        );
        let transfer_bytes = counter(
            "sesame_front_transfer_bytes_total",
            "Bytes to and from other processes, by whether they are in this failure domain",
            &["kind", "scope"],
        );
        let unreadable = counter(
            "sesame_front_unread_total",
            "Objects that could not be read, once for each change",
            &["object"],
        );
        let avoided = counter(
            "sesame_front_upstream_doubts_total",
            "Upstreams that began to be avoided",
            &["why"],
        );
        let shutdown_responses = counter(
            "sesame_front_stop_answers_total",
            "Answers after the signal to stop",
            &["phase", "status"],
        );
        let connections_ended = counter(
            "sesame_front_connections_ended_total",
            "Callers' connections that ended, by reason and phase of the last request",
            &["why", "phase"],
        );
        let requests_unfinished = counter(
            "sesame_front_requests_unfinished_total",
            "Requests whose connection ended before their response did",
            &["route", "outcome", "progress"],
        );
        let suspended_s = Counter::new(
            "sesame_front_suspended_seconds_total",
            "Time for which the process did not run",
        )
        .expect("metric names are valid literals");
        registry
            .register(Box::new(suspended_s.clone()))
            .expect("each metric is registered once");
        let histogram = |name: &str, help: &str, labels: &[&str], buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = HistogramVec::new(options, labels)
                .expect("metric names and labels are valid literals");
            registry
                .register(Box::new(histogram.clone()))
                .expect("each metric is registered once");
            histogram
        };
        let first_response_s = histogram(
            "sesame_front_first_answer_seconds",
            "Time to the first part of an answer",
            &["route"],
            &LATENCY_BUCKETS_S,
        );
        let full_response_s = histogram(
            "sesame_front_whole_answer_seconds",
            "Time to the end of an answer",
            &["route"],
            &LATENCY_BUCKETS_S,
        );
        let longest_pause_s = histogram(
            "sesame_front_stream_longest_pause_seconds",
            "Longest pause between two parts of a stream",
            &["service"],
            &PAUSE_BUCKETS_S,
        );
        let first_event_error_ratio = histogram(
            "sesame_front_first_event_error_ratio",
            "Observed time to the first event of a stream, relative to the predicted one",
            &["service"],
            &RATIO_BUCKETS,
        );
        let wait_s = histogram(
            "sesame_front_wait_seconds",
            "Time for which requests waited for a place at an engine",
            &["service", "outcome"],
            &LATENCY_BUCKETS_S,
        );
        let waiting_requests = IntGaugeVec::new(
            Opts::new(
                "sesame_front_waiting_requests",
                "Requests that wait for a place at an engine",
            ),
            &["service"],
        )
        .expect("metric names and labels are valid literals");
        registry
            .register(Box::new(waiting_requests.clone()))
            .expect("each metric is registered once");
        let gauge = |name: &str, help: &str| {
            let gauge =
                IntGauge::new(name, help).expect("metric names are valid literals");
            registry
                .register(Box::new(gauge.clone()))
                .expect("each metric is registered once");
            gauge
        };
        let plain_counter = |name: &str, help: &str| {
            let counter =
                IntCounter::new(name, help).expect("metric names are valid literals");
            registry
                .register(Box::new(counter.clone()))
                .expect("each metric is registered once");
            counter
        };
        let connections_refused = plain_counter(
            "sesame_front_connections_refused_total",
            "New connections closed unread for lack of processor time",
        );
        let connections_full = plain_counter(
            "sesame_front_connections_full_total",
            "New connections closed unread as all places were taken and none gave way",
        );
        let in_progress = gauge("sesame_front_in_progress", "Requests in progress");
        let connections_evicted = counter(
            "sesame_front_connections_evicted_total",
            "Connections that gave way to new ones",
            &["listener", "phase"],
        );
        let drains = counter(
            "sesame_front_drains_total",
            "Connections that were read after a refusal",
            &["outcome"],
        );
        let bodies_ended = counter(
            "sesame_front_bodies_ended_total",
            "Bodies of requests that were not read to their end",
            &["reason"],
        );
        let body_memory_bytes = gauge(
            "sesame_front_body_memory_bytes",
            "Memory that the bodies of requests take",
        );
        let body_memory_max_bytes = gauge(
            "sesame_front_body_memory_max_bytes",
            "Memory that the bodies of requests may take",
        );
        let log_dropped = gauge("sesame_front_log_dropped", "Log lines dropped");
        Self {
            registry,
            first_event_error_ratio,
            waiting_requests,
            wait_s,
            requests_ended,
            quota_refused,
            over_share_refused,
            first_response_s,
            full_response_s,
            longest_pause_s,
            attempts,
            part_verdicts,
            part_refusals,
            responses_too_large,
            streams_taken_up,
            resumptions_ended,
            orders,
            platform_calls,
            peer_messages,
            peer_bytes,
            peer_part_bytes,
            transfer_bytes,
            unreadable,
            avoided,
            suspended_s,
            shutdown_responses,
            connections_refused,
            connections_evicted,
            connections_full,
            drains,
            bodies_ended,
            body_memory_bytes,
            body_memory_max_bytes,
            connections_ended,
            requests_unfinished,
            in_progress,
            log_dropped,
        }
    }

    /// Counts bytes to or from an upstream or the platform.
    pub(crate) fn count_transfer(
        &self,
        kind: TransferKind,
        scope: TransferScope,
        bytes: usize,
    ) {
        self.transfer_bytes
            .with_label_values(&[kind.as_str(), scope.as_str()])
            .inc_by(bytes as u64);
    }

    /// Counts messages of `bytes` bytes each that were sent to entries of this failure
    /// domain and of others. Only the sender counts them, so that the sum over all
    /// entries has each once.
    pub(crate) fn count_sent(&self, reason: &str, sent: &SentMessages, bytes: usize) {
        self.count_peer_messages("sent", reason, sent.total(), bytes);
        let kind = format!("peer_{reason}");
        let scopes = [
            (TransferScope::Domain, sent.in_domain),
            (TransferScope::Other, sent.elsewhere),
        ];
        for (scope, messages) in scopes {
            self.transfer_bytes
                .with_label_values(&[kind.as_str(), scope.as_str()])
                .inc_by(messages * bytes as u64);
        }
    }

    /// Counts messages between entries of `bytes` bytes each.
    pub(crate) fn count_peer_messages(
        &self,
        direction: &str,
        reason: &str,
        messages: u64,
        bytes: usize,
    ) {
        let labels = [direction, reason];
        self.peer_messages
            .with_label_values(&labels)
            .inc_by(messages);
        let bytes = messages * bytes as u64;
        self.peer_bytes.with_label_values(&labels).inc_by(bytes);
    }

    /// Counts a part of `bytes` bytes in each of `messages` messages sent to other
    /// entries.
    pub(crate) fn count_peer_part(&self, part: &str, messages: u64, bytes: usize) {
        self.peer_part_bytes
            .with_label_values(&[part])
            .inc_by(messages * bytes as u64);
    }

    /// Counts a connection of a listener that gave way.
    pub(crate) fn record_eviction(&self, listener: &str, eviction: Eviction) {
        let labels = [listener, eviction.phase];
        self.connections_evicted.with_label_values(&labels).inc();
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }
}
