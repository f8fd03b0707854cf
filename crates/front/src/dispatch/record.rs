//! Records the attempts and the end of a request in its log line and in metrics.

use base::prelude::*;
use direct::SelectedUpstream;
use serde_json::json;

use super::Dispatch;
use crate::attempt::AttemptResult;
use crate::upstream_address::software_version_of;

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No upstream has it.
    Waiting,
    /// An upstream has it, and nothing of the response was forwarded.
    Sent,
    /// A part of the response was forwarded.
    Answering,
}

impl Progress {
    /// Returns the name used in metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

impl Dispatch {
    /// Records an attempt in metrics and for the request's log line. One without
    /// a result was withdrawn.
    pub(super) fn record_attempt(
        &mut self,
        selected: &SelectedUpstream,
        started_at: Instant,
        result: Option<&AttemptResult>,
    ) {
        if let Some(result) = result {
            self.learn_time_factor(selected, started_at, result);
        }
        let outcome = match result {
            Some(AttemptResult::Stream(_)) => "begun",
            Some(AttemptResult::Response(_)) => "whole",
            Some(AttemptResult::Failed(outcome, _)) => outcome.as_str(),
            None => "withdrawn",
        };
        let labels = [&*self.request.service, outcome];
        self.node.metrics.attempts.with_label_values(&labels).inc();
        let mut attempt = json!({ "upstream": &*selected.id, "outcome": outcome,
            "software": software_version_of(&self.node, &selected.id),
            "expected_ms": selected.first_answer_ms as u64,
            "ms": self.node.now().ms_since(started_at) });
        if self.request.head.model.is_some() {
            attempt["pace_percent"] = json!((selected.pace_factor * 100.0) as u64);
            attempt["predicted_ms"] = json!(selected.predicted_ms as u64);
        }
        self.attempts.push(attempt);
    }

    /// Updates the model's time factor from the time to the start of a stream
    /// whose prompt waited behind no other.
    fn learn_time_factor(
        &self,
        selected: &SelectedUpstream,
        started_at: Instant,
        result: &AttemptResult,
    ) {
        let model = self.request.head.model.as_ref();
        if let (AttemptResult::Stream(_), Some(prefill_ms), Some((model, _))) =
            (result, selected.unqueued_prefill_ms, model)
        {
            let took_ms = self.node.now().since(started_at).as_secs_f64() * 1_000.0;
            let mut time_factors = self.node.time_factors.lock();
            time_factors.observe(&self.request.service, model, prefill_ms, took_ms);
        }
    }

    /// Records that the first part of the response is sent to the caller now.
    pub(crate) fn record_first_response(&mut self) {
        let ms = self.node.now().ms_since(self.request.arrived_at);
        if self.first_response_ms.is_none() {
            self.first_response_ms = Some(ms);
            let histogram = &self.node.metrics.first_response_s;
            let route = [&*self.request.route.name];
            histogram
                .with_label_values(&route)
                .observe(ms as f64 / 1_000.0);
        }
    }

    /// Returns when the first part of the response was sent to the caller, from the
    /// request's arrival.
    pub(crate) const fn first_response_ms(&self) -> Option<u64> {
        self.first_response_ms
    }

    /// Records that complete events of a stream are forwarded to the caller now.
    pub(crate) fn record_events_forwarded(&mut self) {
        self.pauses.record(self.node.now());
        self.record_first_response();
    }

    /// Logs and counts a request whose connection ended before its response, unless
    /// its end was recorded.
    pub(super) fn record_unfinished(&mut self) {
        if self.end_recorded {
            return;
        }
        let progress = self.progress();
        if let Some(upstream) = self.attempt_at.take() {
            self.attempts
                .push(json!({ "upstream": &*upstream, "outcome": "unfinished" }));
        }
        self.may_have_run |= progress != Progress::Waiting;
        let outcome = self.node.unfinished_outcome();
        let labels = [&*self.request.route.name, outcome, progress.as_str()];
        let unfinished = &self.node.metrics.requests_unfinished;
        unfinished.with_label_values(&labels).inc();
        self.record_end(outcome, self.response_status.unwrap_or(0));
    }

    /// Returns why no upstream was selected last, if that is how the attempts ended.
    pub(super) fn unselected_reason(&self) -> Option<&str> {
        self.attempts.last()?["unpicked"].as_str()
    }

    /// Returns how far the request has come.
    const fn progress(&self) -> Progress {
        if self.first_response_ms.is_some() {
            Progress::Answering
        } else if self.attempt_at.is_some() || self.stream_started {
            Progress::Sent
        } else {
            Progress::Waiting
        }
    }

    /// Logs and counts the end of the request. Only the first call has an
    /// effect.
    pub(crate) fn record_end(&mut self, outcome: &str, status: u16) {
        if std::mem::replace(&mut self.end_recorded, true) {
            return;
        }
        let node = &self.node;
        let ms = node.now().ms_since(self.request.arrived_at);
        let last_wait_ms = self.wait_began_at.map_or(0, |at| node.now().ms_since(at));
        let route = &*self.request.route.name;
        node.metrics
            .requests_ended
            .with_label_values(&[route, outcome])
            .inc();
        if self.request.origin.is_some() {
            let outcome = self.unselected_reason().unwrap_or(outcome);
            let ended = &node.metrics.resumptions_ended;
            ended.with_label_values(&[outcome]).inc();
        }
        let histogram = node.metrics.full_response_s.with_label_values(&[route]);
        histogram.observe(ms as f64 / 1_000.0);
        let longest_pause_ms = self.pauses.longest_ms();
        if let Some(pause_ms) = longest_pause_ms {
            let histogram = &node.metrics.longest_pause_s;
            histogram
                .with_label_values(&[&*self.request.service])
                .observe(pause_ms as f64 / 1_000.0);
        }
        let fleet_age_ms = node.fleet_watermark.lock().age_ms(node.now());
        let model = self.request.head.model.as_ref();
        let model = model.map(|(model, adapter)| match adapter {
            Some(adapter) => format!("{model}/{adapter}"),
            None => model.to_string(),
        });
        let workspace = self.request.workspace.as_ref();
        let workspace = workspace.map(|workspace| &*workspace.name);
        let mut line = json!({ "id": self.request.head.id, "route": route,
            "workspace": workspace, "service": &*self.request.service, "model": model,
            "outcome": outcome, "status": status, "ms": ms,
            "first_ms": self.first_response_ms,
            "waited_ms": self.waited_ms + last_wait_ms,
            "rate_spent": self.rate_limited_count, "tries": self.attempts,
            "ran": self.may_have_run, "last_event": self.last_event_id,
            "resumes": self.request.head.began_as,
            "resumes_after": self.request.head.last_event_id,
            "setup": self.request.config_version, "fleet_age_ms": fleet_age_ms });
        // Left out at their default values: longer lines mean that fewer are kept in a
        // burst.
        if let Some(pause_ms) = longest_pause_ms {
            line["longest_pause_ms"] = json!(pause_ms);
        }
        if self.over_share {
            line["over_share"] = json!(true);
        }
        let config = node.config().map(|config| config.version);
        if let Some(version) = config.filter(|now| *now != self.request.config_version)
        {
            line["setup_at_end"] = json!(version);
        }
        node.log.line("request", line);
    }
}
