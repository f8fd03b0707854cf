//! Counters and latency histograms.

use prometheus::{
    Counter, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of latency buckets, in seconds: the aims of the deployments lie
/// between 0.1 and 8 s.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];

/// All metrics of the process.
#[derive(Debug)]
pub(crate) struct Meters {
    registry: Registry,
    /// Ends of requests, by route and outcome.
    pub(crate) ended: IntCounterVec,
    /// Time to the first answer, by route.
    pub(crate) first_answer_s: HistogramVec,
    /// Time to the end, by route.
    pub(crate) whole_answer_s: HistogramVec,
    /// Requests refused for their workspace's quota, by workspace and why.
    pub(crate) quota_refused: IntCounterVec,
    /// Tries, by service and outcome.
    pub(crate) tries: IntCounterVec,
    /// Orders, by action and outcome.
    pub(crate) orders: IntCounterVec,
    /// Calls to the platform, by object and outcome.
    pub(crate) store_calls: IntCounterVec,
    /// Objects that could not be read, by kind; once for each change.
    pub(crate) unread: IntCounterVec,
    /// Doubts about upstreams that arose, by why.
    pub(crate) doubts: IntCounterVec,
    /// Time for which the process did not run.
    pub(crate) suspended_s: Counter,
    /// Answers given after the signal to stop, by the phase in which the request
    /// came and by status.
    pub(crate) stop_answers: IntCounterVec,
    /// Requests in progress.
    pub(crate) in_progress: IntGauge,
    /// Lines of the log that were dropped.
    pub(crate) log_dropped: IntGauge,
}

impl Meters {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("names and labels are literals that fit");
            registry
                .register(Box::new(counter.clone()))
                .expect("each name stands once");
            counter
        };
        let ended = counter(
            "sesame_front_requests_total",
            "Requests ended",
            &["route", "outcome"],
        );
        let quota_refused = counter(
            "sesame_front_quota_refused_total",
            "Requests refused for their workspace's quota",
            &["workspace", "why"],
        );
        let tries = counter(
            "sesame_front_tries_total",
            "Tries at upstreams",
            &["service", "outcome"],
        );
        let orders = counter(
            "sesame_front_orders_total",
            "Orders to upstreams",
            &["action", "outcome"],
        );
        let store_calls = counter(
            "sesame_front_platform_calls_total",
            "Calls to the platform",
            &["object", "outcome"],
        );
        let unread = counter(
            "sesame_front_unread_total",
            "Objects that could not be read, once for each change",
            &["object"],
        );
        let doubts = counter(
            "sesame_front_upstream_doubts_total",
            "Upstreams that began to be avoided",
            &["why"],
        );
        let stop_answers = counter(
            "sesame_front_stop_answers_total",
            "Answers after the signal to stop",
            &["phase", "status"],
        );
        let suspended_s = Counter::new(
            "sesame_front_suspended_seconds_total",
            "Time for which the process did not run",
        )
        .expect("names are literals that fit");
        registry
            .register(Box::new(suspended_s.clone()))
            .expect("each name stands once");
        let histogram = |name: &str, help: &str| {
            let options =
                HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            let histogram = HistogramVec::new(options, &["route"])
                .expect("names and labels are literals that fit");
            registry
                .register(Box::new(histogram.clone()))
                .expect("each name stands once");
            histogram
        };
        let first_answer_s = histogram(
            "sesame_front_first_answer_seconds",
            "Time to the first part of an answer",
        );
        let whole_answer_s = histogram(
            "sesame_front_whole_answer_seconds",
            "Time to the end of an answer",
        );
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("names are literals that fit");
            registry
                .register(Box::new(gauge.clone()))
                .expect("each name stands once");
            gauge
        };
        let in_progress = gauge("sesame_front_in_progress", "Requests in progress");
        let log_dropped = gauge("sesame_front_log_dropped", "Log lines dropped");
        Self {
            registry,
            ended,
            quota_refused,
            first_answer_s,
            whole_answer_s,
            tries,
            orders,
            store_calls,
            unread,
            doubts,
            suspended_s,
            stop_answers,
            in_progress,
            log_dropped,
        }
    }

    /// All metrics as text.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|fault| format!("# {fault}\n"))
    }
}
