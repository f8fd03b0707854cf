//! Dispatches a request: attempts it at one upstream after another until one
//! responds or no further attempt is allowed.

mod attempted;
mod record;

use base::prelude::*;
use direct::{
    Arrival, AttemptHistory, AttemptOutcome, RetryDecision, SelectedUpstream,
    StreamOrigin, decide_retry,
};
use hyper::Response;
use parking_lot::Mutex;
use route::RefusedPart;
use serde_json::{Value, json};
use std::sync::Arc;

use crate::attempt::{AttemptResult, UpstreamStream};
use crate::pauses::StreamPauses;
use crate::response::{
    BufferedResponse, ResponseBody, error_response, error_response_for_part,
};
use crate::state::Node;
use crate::state::caller_request::CallerRequest;
use crate::state::quota::Charge;
use crate::suspect_parts::PartProbe;
use crate::takeover::attempt_with_takeover;
use crate::upstream_address::software_version_of;
use crate::upstream_rate;
use attempted::AttemptedUpstreams;

/// Time after which a refused caller should come back, if nothing better is
/// known.
pub(crate) const DEFAULT_RETRY_AFTER_MS: u64 = 250;

/// Reasons, as logged for the last attempt, for which more copies of the model would
/// have served a refused request.
const CAPACITY_REFUSALS: [&str; 5] =
    ["too_late", "full", "queue_full", "no_model", OVER_SHARE];

/// Reason, as logged, for refusing a request of a workspace over its share.
pub(crate) const OVER_SHARE: &str = "over_share";

/// How the dispatch of a request ended.
pub(crate) enum DispatchResult {
    /// An upstream has started a stream.
    Stream(Box<UpstreamStream>),
    /// A complete response of an upstream.
    Response(BufferedResponse),
    /// No upstream's response can be forwarded; the error tells whether the
    /// request may have run.
    Failed(RequestError),
}

/// The dispatch of one request.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) node: Arc<Node>,
    pub(crate) request: CallerRequest,
    /// Upstreams that were attempted. Locked, since an attempt in progress looks
    /// at it while another one ends.
    pub(crate) attempted: Mutex<AttemptedUpstreams>,
    /// Whether any attempt so far may have run the request.
    may_have_run: bool,
    /// What the next attempt takes from its upstream's advertised rate.
    pub(crate) rate_charge: Option<Charge>,
    /// Upstream of the attempt in progress.
    attempt_at: Option<Arc<str>>,
    /// Whether an upstream has started a stream.
    stream_started: bool,
    /// Status of the response whose head was handed to the HTTP library.
    pub(crate) response_status: Option<u16>,
    /// The last error response that an upstream itself sent.
    upstream_failure: Option<BufferedResponse>,
    /// Where the stream began. Set before its first event is forwarded, it determines
    /// which upstreams may run the rest.
    pub(crate) origin: Option<StreamOrigin>,
    /// Id of the last stream event that the caller has: the one that it named, then the
    /// last one that was forwarded.
    pub(crate) last_event_id: Option<u64>,
    /// The attempts so far, for the log.
    pub(crate) attempts: Vec<Value>,
    /// Total time for which the request waited for an upstream.
    pub(crate) waited_ms: u64,
    /// When the wait in progress began, which isn't part of that time.
    pub(crate) wait_began_at: Option<Instant>,
    /// How often an upstream was passed over because its rate was used up.
    pub(crate) rate_limited_count: u32,
    /// Reservation of the parts of the prompt that the request probes.
    pub(crate) probe: Option<PartProbe>,
    /// Whether an upstream has begun the answer and survived that, so that no part of the
    /// prompt crashes upstreams.
    pub(crate) is_sound: bool,
    /// Part of the prompt for which the request was refused.
    pub(crate) refused_for: Option<RefusedPart>,
    /// Whether its workspace was over its share when an upstream was selected.
    pub(crate) over_share: bool,
    first_response_ms: Option<u64>,
    /// Pauses between the parts of a stream that were forwarded.
    pauses: StreamPauses,
    end_recorded: bool,
}

/// Why no upstream is attempted, and when the caller should come back.
#[derive(Debug)]
pub(crate) struct Rejection {
    pub(crate) code: ErrorCode,
    pub(crate) retry_after_ms: u64,
}

/// Returns a request as input to the demand measurement.
fn arrival_of(node: &Node, request: &CallerRequest) -> Arrival {
    let output_tokens = request.head.output_tokens_hint;
    Arrival {
        prompt_tokens: request.head.prompt_tokens,
        answer_tokens: output_tokens.unwrap_or(request.head.output_tokens_max / 2),
        time_factor: node.time_factor_of(request),
        latency_target_ms: request.route.latency_target_ms,
    }
}

impl Dispatch {
    /// Starts the dispatch and counts the request as demand.
    pub(crate) fn start(node: Arc<Node>, request: CallerRequest) -> Self {
        let now = node.now();
        node.metrics.in_progress.inc();
        node.retry_budget
            .lock()
            .record_request(now, &request.service);
        if let Some((model, _)) = &request.head.model {
            let arrival = arrival_of(&node, &request);
            node.update_demand(&request.service, |demand| {
                demand.record_arrival(model, &arrival);
            });
        }
        let last_event_id = request.head.last_event_id.as_deref();
        let last_event_id = last_event_id.and_then(|id| id.parse().ok());
        Self {
            node,
            origin: request.origin.clone(),
            request,
            attempted: Mutex::default(),
            may_have_run: false,
            rate_charge: None,
            attempt_at: None,
            stream_started: false,
            response_status: None,
            upstream_failure: None,
            last_event_id,
            attempts: Vec::new(),
            waited_ms: 0,
            wait_began_at: None,
            rate_limited_count: 0,
            probe: None,
            is_sound: false,
            refused_for: None,
            over_share: false,
            first_response_ms: None,
            pauses: StreamPauses::default(),
            end_recorded: false,
        }
    }

    /// Attempts upstreams until one responds, no further attempt is allowed, or
    /// the process must exit before the caller got any part of a response.
    pub(crate) async fn run_until_response(&mut self) -> DispatchResult {
        if self.must_end_for_shutdown() {
            return self.end_for_shutdown();
        }
        let respond_now = self.node.shutdown.respond_now.clone();
        let response_started = self.has_response();
        tokio::select! {
            biased;
            end = self.run_attempts() => end,
            () = respond_now.cancelled(), if !response_started => self.end_for_shutdown(),
        }
    }

    /// Attempts upstreams until one responds or no further attempt is allowed.
    async fn run_attempts(&mut self) -> DispatchResult {
        loop {
            if self.node.is_convicted(&self.request) {
                return self.end_without_response(ErrorCode::RequestCrashedUpstreams);
            }
            if let Some(refused) = self.admit_parts() {
                return self.end_refused(refused);
            }
            let selected = match self.next_upstream().await {
                Ok(selected) => selected,
                Err(rejection) => return self.end_rejected(&rejection),
            };
            // The selection may have waited for seconds.
            if let Some(refused) = self.refused_part() {
                self.rate_charge = None;
                return self.end_refused(refused);
            }
            let (selected, result) = self.attempt_at(selected).await;
            match result {
                AttemptResult::Stream(stream) => return DispatchResult::Stream(stream),
                AttemptResult::Response(response) => {
                    return DispatchResult::Response(response);
                }
                AttemptResult::Failed(outcome, upstream_response) => {
                    if let Some(end) =
                        self.after_failed_attempt(&selected, outcome, upstream_response)
                    {
                        return end;
                    }
                }
            }
        }
    }

    /// Attempts the request at one upstream, and at others if it falls silent.
    /// Returns the upstream and the result of the attempt that ended last.
    async fn attempt_at(
        &mut self,
        selected: SelectedUpstream,
    ) -> (SelectedUpstream, AttemptResult) {
        self.attempt_at = Some(Arc::clone(&selected.id));
        self.request.set_charge_used(true);
        let charge = self.rate_charge.take();
        let (ended, last) = attempt_with_takeover(self, selected, charge).await;
        self.attempt_at = None;
        self.stream_started |= matches!(last.result, AttemptResult::Stream(_));
        for attempt in ended {
            self.record_attempt(
                &attempt.selected,
                attempt.started_at,
                attempt.result.as_ref(),
            );
            if let Some(AttemptResult::Failed(outcome, upstream_response)) =
                attempt.result
            {
                self.record_failure(outcome, upstream_response);
            }
        }
        self.record_attempt(&last.selected, last.started_at, Some(&last.result));
        (last.selected, last.result)
    }

    /// Returns whether any attempt so far may have run the request.
    pub(crate) const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records an attempt without a response that can be forwarded.
    fn record_failure(
        &mut self,
        outcome: AttemptOutcome,
        upstream_response: Option<BufferedResponse>,
    ) {
        if upstream_response.is_some() {
            self.upstream_failure = upstream_response;
        }
        self.may_have_run |= outcome.may_have_run();
    }

    /// Attempts the rest of a stream at an upstream other than the one that
    /// runs it, which is kept meanwhile. Returns the upstream, or `None` if
    /// there is none that may be used now.
    ///
    /// The future may be dropped if the stream goes on; call
    /// [`Self::withdraw_attempt`] then.
    pub(crate) async fn attempt_elsewhere(
        &mut self,
        running_at: &Arc<str>,
    ) -> Option<(SelectedUpstream, AttemptResult)> {
        let selected = self.alternative_to(running_at).ok()?;
        let node = Arc::clone(&self.node);
        self.rate_charge = upstream_rate::acquire(&node, &selected.id).await.ok()?;
        Some(self.attempt_at(selected).await)
    }

    /// Records that an attempt was dropped before it ended.
    pub(crate) fn withdraw_attempt(&mut self) {
        self.attempt_at = None;
        self.rate_charge = None;
        self.attempts.push(json!({ "outcome": "withdrawn" }));
    }

    /// Records that another upstream has taken over the stream that ran at
    /// `upstream`.
    pub(crate) fn record_takeover(&mut self, upstream: &Arc<str>) {
        self.record_stream_break(upstream);
        self.may_have_run = true;
    }

    /// Handles a stream that broke at an upstream. Returns the result if the
    /// stream can't be resumed.
    pub(crate) fn after_stream_break(
        &mut self,
        upstream: &Arc<str>,
    ) -> Option<DispatchResult> {
        let selected = SelectedUpstream {
            id: Arc::clone(upstream),
            usage: direct::Usage::default(),
            unqueued_prefill_ms: None,
            first_answer_ms: 0.0,
            predicted_ms: 0.0,
            own_prefill_ms: 0.0,
            prefill_tokens: 0,
            pace_factor: 1.0,
            equal_pace_ms: 0.0,
            equal_pace_queue_ms: 0.0,
            unread_ms: 0.0,
        };
        self.record_stream_break(upstream);
        self.after_failed_attempt(&selected, AttemptOutcome::Unknown, None)
    }

    fn record_stream_break(&mut self, upstream: &Arc<str>) {
        self.attempts
            .push(json!({ "upstream": &**upstream, "outcome": "broke_off",
                "software": software_version_of(&self.node, upstream),
                "after_event": self.last_event_id }));
    }

    /// Records that an attempt at an upstream ended, so that it is not
    /// attempted again.
    pub(crate) fn record_sent_to(&self, upstream: &Arc<str>, outcome: AttemptOutcome) {
        let mut attempted = self.attempted.lock();
        let upstreams = if outcome == AttemptOutcome::NotSent {
            &mut attempted.unreachable
        } else {
            &mut attempted.sent_to
        };
        if !upstreams.contains(upstream) {
            upstreams.push(Arc::clone(upstream));
        }
    }

    /// Handles an attempt without a response that can be forwarded. Returns the
    /// result of the dispatch if no further attempt is allowed.
    pub(crate) fn after_failed_attempt(
        &mut self,
        selected: &SelectedUpstream,
        outcome: AttemptOutcome,
        upstream_response: Option<BufferedResponse>,
    ) -> Option<DispatchResult> {
        self.record_sent_to(&selected.id, outcome);
        let sent_to = self.attempted.lock().sent_to.len();
        let attempted = AttemptHistory {
            upstreams: u32::try_from(sent_to).unwrap_or(u32::MAX),
            upstreams_max: self.request.route.upstreams_max,
            may_have_run: self.may_have_run,
        };
        let next = decide_retry(self.request.route.kind, attempted, outcome);
        self.record_failure(outcome, upstream_response);
        self.request.set_charge_used(self.may_have_run);
        let now = self.node.now();
        match next {
            _ if self.request.is_expired(self.node.clock) => {
                Some(self.end_without_response(ErrorCode::DeadlineBeforeRun))
            }
            RetryDecision::Resend => None,
            RetryDecision::Retry => {
                let granted = self.take_retry(now);
                (!granted).then(|| self.end_without_response(ErrorCode::Overloaded))
            }
            RetryDecision::FailNotRun => {
                Some(self.end_without_response(ErrorCode::Overloaded))
            }
            RetryDecision::FailMayHaveRun => {
                Some(self.end_without_response(ErrorCode::OutcomeUnknown))
            }
        }
    }

    /// Takes one retry from the budget; returns false if it is used up.
    pub(crate) fn take_retry(&self, now: Instant) -> bool {
        let mut retry_budget = self.node.retry_budget.lock();
        retry_budget.try_take(now, &self.request.service)
    }

    /// Ends a request for which no upstream is attempted, with the rejection's
    /// time to come back.
    fn end_rejected(&mut self, rejection: &Rejection) -> DispatchResult {
        self.count_refused_demand();
        match self.end_without_response(rejection.code) {
            DispatchResult::Failed(error) if error.retry_after_ms.is_some() => {
                DispatchResult::Failed(error.retry_after_ms(rejection.retry_after_ms))
            }
            end => end,
        }
    }

    /// Counts a request that is refused for lack of capacity, for the placement of its
    /// model.
    fn count_refused_demand(&self) {
        let for_capacity = self
            .unselected_reason()
            .is_some_and(|reason| CAPACITY_REFUSALS.contains(&reason));
        if let Some((model, _)) = &self.request.head.model
            && for_capacity
        {
            let arrival = arrival_of(&self.node, &self.request);
            self.node.update_demand(&self.request.service, |demand| {
                demand.record_refused(model, &arrival);
            });
        }
    }

    /// Ends a request that has no response when the process exits. If only its
    /// connection were closed, the caller would get no reply and would not know
    /// whether it may send the request again.
    fn end_for_shutdown(&mut self) -> DispatchResult {
        self.may_have_run |= self.attempt_at.is_some();
        self.end_without_response(ErrorCode::Leaving)
    }

    /// Returns whether a part of the response was forwarded.
    pub(crate) const fn has_response(&self) -> bool {
        self.first_response_ms.is_some()
    }

    /// Returns whether the process is about to exit and no part of the response
    /// was forwarded.
    pub(crate) fn must_end_for_shutdown(&self) -> bool {
        !self.has_response() && self.node.shutdown.respond_now.is_cancelled()
    }

    /// Ends a request whose stream was running when its deadline passed or the
    /// process had to exit.
    pub(crate) fn end_running_stream(&mut self) -> DispatchResult {
        self.may_have_run = true;
        self.end_without_response(ErrorCode::DeadlineWhileRunning)
    }

    /// Returns the result of a request that got no usable response.
    pub(crate) fn end_without_response(&mut self, code: ErrorCode) -> DispatchResult {
        if let Some(upstream_failure) = self.upstream_failure.take() {
            return DispatchResult::Response(upstream_failure);
        }
        if !self.may_have_run {
            let code = match code {
                ErrorCode::DeadlineBeforeRun
                | ErrorCode::RequestCrashedUpstreams
                | ErrorCode::OutcomeUnknown => ErrorCode::Overloaded,
                code => code,
            };
            let retry_after_ms = self.retry_after_ms();
            return DispatchResult::Failed(
                RequestError::not_run(code).retry_after_ms(retry_after_ms),
            );
        }
        let code = if self.request.is_expired(self.node.clock) {
            ErrorCode::DeadlineWhileRunning
        } else {
            ErrorCode::OutcomeUnknown
        };
        DispatchResult::Failed(RequestError {
            code,
            ran: RunStatus::Unknown,
            retry_after_ms: None,
        })
    }

    /// Converts the result into the response to the caller.
    pub(crate) fn finish(&mut self, end: DispatchResult) -> Response<ResponseBody> {
        match end {
            DispatchResult::Response(response) => {
                self.record_first_response();
                self.record_end("answered", response.status.as_u16());
                response.into_response()
            }
            DispatchResult::Failed(error) => {
                self.record_end(error.code.name(), error.code.http_status());
                error_response_for_part(
                    &*self.node.protocol,
                    &self.request.head.id,
                    &error,
                    self.refused_for.as_ref().map(|refused| refused.part.part),
                )
            }
            DispatchResult::Stream(_) => {
                let error = RequestError::not_run(ErrorCode::Overloaded);
                error_response(&*self.node.protocol, &self.request.head.id, &error)
            }
        }
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.node.metrics.in_progress.dec();
        self.record_unfinished();
    }
}
