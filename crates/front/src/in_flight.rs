//! Accounting of the requests that are in flight at upstreams.

use base::prelude::*;
use direct::{
    EventSampler, SelectedUpstream, SoftwareVersion, Upstream, UpstreamIncarnation,
    Usage,
};
use route::PromptPart;
use serde_json::json;
use std::sync::Arc;

use crate::state::Node;
use crate::state::caller_request::CallerRequest;
use crate::state::connection_pool::UpstreamAddress;
use crate::state::transfer::{TransferKind, TransferScope};
use crate::{ResponseHead, response_feedback};

/// A request in flight at an upstream. Dropping it ends the accounting.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) node: Arc<Node>,
    pub(crate) upstream: Arc<str>,
    /// Incarnation of the upstream that the request was sent to.
    started_unix_ms: Option<u64>,
    /// Version of the software that this incarnation runs, if known.
    pub(crate) software: Option<SoftwareVersion>,
    /// When the attempt started, before the request was sent.
    started_at: Instant,
    /// When the connection was open on which the request is sent.
    pub(crate) connected_at: Instant,
    usage: Usage,
    response_started: bool,
    /// What was expected of the first event; `None` if the upstream is not an engine.
    expectation: Option<FirstEventExpectation>,
    /// How often complete events of a stream were received.
    event_batches: u32,
    event_sampler: EventSampler,
    /// Hash of path and body of the request.
    pub(crate) fingerprint: u64,
    /// The parts of its prompt that other requests may share.
    pub(crate) shared_parts: Arc<[PromptPart]>,
    /// Id of the request.
    request_id: String,
    /// Whether the answer was recorded as evidence about these parts.
    answer_recorded: bool,
    /// Whether the upstream is in the failure domain of this entry.
    scope: TransferScope,
}

/// When the first event of a stream was expected, counted from the start of the attempt.
#[derive(Debug)]
struct FirstEventExpectation {
    service: Arc<str>,
    priority: u32,
    /// Expected time before the learned correction.
    expected_ms: f64,
    /// Expected time after the learned correction.
    predicted_ms: f64,
}

/// Number of times that events of a stream were received, from which on the upstream
/// counts as answering. One that crashes as it begins an answer may still have sent an
/// event.
const ANSWERING_FROM_BATCHES: u32 = 2;

impl InFlight {
    /// Starts the accounting of a request that is about to be sent.
    pub(crate) fn start(
        node: &Arc<Node>,
        request: &CallerRequest,
        selected: &SelectedUpstream,
        address: &UpstreamAddress,
    ) -> Self {
        let now = node.now();
        let mut in_flight = Self {
            node: Arc::clone(node),
            upstream: Arc::clone(&selected.id),
            started_unix_ms: address.started_unix_ms,
            software: address.software,
            started_at: now,
            connected_at: now,
            usage: selected.usage,
            response_started: false,
            expectation: request.head.model.as_ref().map(|_| FirstEventExpectation {
                service: Arc::clone(&request.service),
                priority: request.priority(),
                expected_ms: selected.first_answer_ms,
                predicted_ms: selected.predicted_ms,
            }),
            event_batches: 0,
            event_sampler: EventSampler::default(),
            fingerprint: request.fingerprint,
            shared_parts: Arc::clone(&request.shared_parts),
            request_id: request.head.id.clone(),
            answer_recorded: false,
            scope: TransferScope::Other,
        };
        let mut scope = TransferScope::Other;
        in_flight.with_upstream(|upstream| {
            upstream.request_sent(now, &selected.usage);
            upstream.remember_prompt_parts(now, &request.prompt_parts);
            let own_domain = &node.options.failure_domain;
            scope = TransferScope::between(own_domain, &upstream.record.domain);
        });
        in_flight.scope = scope;
        in_flight
    }

    /// Returns the incarnation of the upstream that the request was sent to.
    pub(crate) fn incarnation(&self) -> UpstreamIncarnation<'_> {
        UpstreamIncarnation {
            id: &self.upstream,
            started_unix_ms: self.started_unix_ms,
        }
    }

    /// Records the head of the upstream's response.
    pub(crate) fn record_head(&self, head: &ResponseHead) {
        response_feedback::record(
            &self.node,
            self.incarnation(),
            head,
            self.started_at,
        );
    }

    /// Updates the upstream's state, unless the upstream has restarted since.
    fn with_upstream(&self, change: impl FnOnce(&mut Upstream)) {
        if let Some(upstream) =
            self.node.fleet.lock().incarnation_mut(self.incarnation())
        {
            change(upstream);
        }
    }

    /// Returns whether the upstream has restarted, which ended the request
    /// along with the earlier incarnation.
    ///
    /// The connection need not show it: its end may have been lost in the
    /// network, or it may lead to a process that hangs. The request would then
    /// wait until its deadline.
    pub(crate) fn is_superseded(&self) -> bool {
        self.node.fleet.lock().is_superseded(self.incarnation())
    }

    /// Counts bytes to or from the upstream.
    pub(crate) fn count_transfer(&self, kind: TransferKind, bytes: usize) {
        self.node.metrics.count_transfer(kind, self.scope, bytes);
    }

    /// Records that a part of the response was received.
    pub(crate) fn record_bytes(&mut self) {
        let now = self.node.now();
        self.with_upstream(|upstream| {
            upstream.bytes_received(now);
            if !self.response_started {
                upstream.first_answer_received(&self.usage.prefill);
            }
        });
        if !std::mem::replace(&mut self.response_started, true) {
            self.node.entry_queues.wake(now, &self.upstream);
        }
    }

    /// Records that `events` complete events of a stream were received at once.
    pub(crate) fn record_events(&mut self, events: u32) {
        let now = self.node.now();
        if let Some(event_ms) = self.event_sampler.record(now, events) {
            let mut fleet = self.node.fleet.lock();
            fleet.record_event(now, self.incarnation(), event_ms);
        }
        self.event_batches = self.event_batches.saturating_add(1);
        self.learn_from_first_event();
        if self.is_answering() {
            self.record_answer();
        }
    }

    /// Compares the time to the first event with what was expected.
    fn learn_from_first_event(&mut self) {
        let Some(expectation) = self.expectation.take() else {
            return;
        };
        let took = self.node.now().since(self.started_at);
        let observed_ms = took.as_secs_f64() * 1_000.0;
        let service = &expectation.service;
        self.node.estimate_corrections.lock().observe(
            service,
            expectation.priority,
            expectation.expected_ms,
            observed_ms,
        );
        if expectation.predicted_ms > 0.0 {
            let ratio = observed_ms / expectation.predicted_ms;
            let histogram = &self.node.metrics.first_event_error_ratio;
            histogram.with_label_values(&[&**service]).observe(ratio);
        }
    }

    /// Records that the upstream has begun the answer, or sent all of it, and survived
    /// that.
    pub(crate) fn record_answer(&mut self) {
        if !std::mem::replace(&mut self.answer_recorded, true) {
            self.node
                .record_part_answer(&self.shared_parts, &self.request_id);
        }
    }

    /// Returns whether complete events of a stream were received.
    pub(crate) const fn has_events(&self) -> bool {
        self.event_batches > 0
    }

    /// Returns whether the upstream has begun the answer and survived that.
    pub(crate) const fn is_answering(&self) -> bool {
        self.event_batches >= ANSWERING_FROM_BATCHES
    }

    /// Returns whether the upstream has fallen silent for all requests of this
    /// entry.
    ///
    /// Other reasons to avoid an upstream, such as a failed connection or a
    /// record that is gone from the platform, say nothing about a response that
    /// is already on its way. Giving up for those cut off responses of
    /// upstreams that were healthy.
    pub(crate) fn is_silent(&self) -> bool {
        let now = self.node.now();
        let fleet = self.node.fleet.lock();
        let upstream = fleet.get(&self.upstream);
        upstream.is_none_or(|upstream| upstream.is_silent(now))
    }

    /// Records that the upstream doesn't hold the model or adapter of the
    /// request.
    pub(crate) fn record_not_held(&self, request: &CallerRequest) {
        let now = self.node.now();
        let Some((model, adapter)) = &request.head.model else {
            return;
        };
        self.with_upstream(|upstream| {
            upstream.note_not_held(now, model, adapter.as_ref());
        });
    }

    /// Records that the upstream refused the model of the request without
    /// running it.
    pub(crate) fn record_refusal(&self, request: &CallerRequest) {
        let now = self.node.now();
        let Some((model, _)) = &request.head.model else {
            return;
        };
        self.with_upstream(|upstream| upstream.request_refused(now, model));
    }

    /// Records that the upstream accepted the model of the request.
    pub(crate) fn record_acceptance(&self, request: &CallerRequest) {
        if let Some((model, _)) = &request.head.model {
            self.with_upstream(|upstream| upstream.request_accepted(model));
        }
    }

    /// Records whether the response was good, for the upstream's share of
    /// failed ones.
    pub(crate) fn record_result(&self, ok: bool) {
        self.with_upstream(|upstream| upstream.record_answer(ok));
    }

    /// Logs and counts a response of which no more is read, as it is too large. `part`
    /// tells what of it is.
    pub(crate) fn record_too_large(&self, part: &str) {
        let responses = &self.node.metrics.responses_too_large;
        responses.with_label_values(&[part]).inc();
        self.node.log.line(
            "response_too_large",
            json!({ "id": self.request_id, "upstream": &*self.upstream, "part": part }),
        );
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.with_upstream(|upstream| {
            if !self.response_started {
                upstream.first_answer_received(&self.usage.prefill);
            }
            upstream.requests_ended(self.usage.running, self.usage.kv_tokens);
        });
        self.node.capacity_freed.notify_waiters();
        let now = self.node.now();
        self.node.entry_queues.wake(now, &self.upstream);
    }
}
