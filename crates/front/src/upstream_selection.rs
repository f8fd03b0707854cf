//! Selects an upstream for a request, and waits for one as long as the response
//! can still be in time.

use base::prelude::*;
use direct::{
    AdmissionInput, SelectedUpstream, SelectionError, SelectionInput, admit,
    select_upstream, wait_end_for_pause,
};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::dispatch::{DEFAULT_RETRY_AFTER_MS, Dispatch, OVER_SHARE, Rejection};
use crate::entry_wait::{EntryDecision, EntryWait};
use crate::state::Node;
use crate::state::caller_request::CallerRequest;
use crate::state::wanted_adapters::WantedAdapter;
use crate::upstream_rate::{self, RateExhausted};

/// Share of the time until the first part of its response is due, in percent,
/// that a request waits for capacity. The rest is for running it. A caller that
/// is refused earlier can still come back in time.
const MAX_WAIT_PERCENT: u64 = 50;

/// Longest wait for an adapter. Loading one takes tens of milliseconds.
const ADAPTER_WAIT_MS: u64 = 600;

/// Longest wait for information about an upstream or a model that this entry
/// knows nothing of.
const DISCOVERY_WAIT_MS: u64 = 250;

/// Time needed between the moment a request's model is ready and the latest
/// time for the first part of its response.
const MIN_RUN_MS: u64 = 200;

/// When to come back for a model whose load has not started.
const LOAD_RETRY_MS: u64 = 1_500;

/// Longest interval between two attempts to select an upstream while a request
/// waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Share of the target latency, in percent, within which the answer to a request must
/// be expected if its workspace is over its share. The queue is then short enough for
/// the others to be admitted.
const OVER_SHARE_TARGET_PERCENT: u64 = 50;

/// Number of attempts after which a request is no longer sent to an upstream
/// that it was sent to before. It is worth asking again an upstream that
/// refuses every other request; one that is full would keep refusing until the
/// retry budget is used up.
const MAX_ATTEMPTS_WITH_RESEND: usize = 3;

impl Dispatch {
    /// Selects an upstream for the next attempt, waiting for one while the
    /// response can still be in time.
    pub(crate) async fn next_upstream(
        &mut self,
    ) -> Result<SelectedUpstream, Rejection> {
        let mut model_wait: Option<ModelWait> = None;
        let mut entry_wait: Option<EntryWait> = None;
        let mut mean_prefill_ms = None;
        let node = Arc::clone(&self.node);
        let started_at = node.now();
        loop {
            let holdings_changed = node.holdings_changed.notified();
            let capacity_freed = node.capacity_freed.notified();
            let selection = self.select();
            if self.is_ordered() && waits_for_place(&selection) {
                if let Ok(selected) = &selection {
                    mean_prefill_ms.get_or_insert_with(|| self.record_prompt(selected));
                }
                let mean_ms = mean_prefill_ms.unwrap_or(0.0);
                match self.decide_place(
                    &mut entry_wait,
                    selection.as_ref().ok(),
                    mean_ms,
                ) {
                    EntryDecision::Take => {}
                    EntryDecision::Wait(at_most) => {
                        self.wait_in_queue(entry_wait.as_ref(), at_most).await;
                        continue;
                    }
                    EntryDecision::Refuse(rejection) => return Err(rejection),
                }
            }
            let reason = match selection {
                Ok(selected) => match upstream_rate::acquire(&node, &selected.id).await
                {
                    Ok(charge) => {
                        if !self.is_ordered() {
                            self.admit_in_time(&selected)?;
                        }
                        self.rate_charge = charge;
                        return Ok(selected);
                    }
                    Err(RateExhausted) => {
                        self.record_rate_limited();
                        continue;
                    }
                },
                Err(reason) => reason,
            };
            // It waits for something else than a place at an engine from here on.
            if let Some(wait) = entry_wait.take() {
                wait.end("no_engine");
            }
            let now = self.node.now();
            let mut wait_until = self.wait_until(started_at, reason);
            if let Some(stop_at) = node.shutdown.final_response_at() {
                wait_until = wait_until.min(stop_at);
            }
            if now >= wait_until {
                self.attempts.push(json!({ "unpicked": reason.as_str() }));
                if reason == SelectionError::Full {
                    node.fair_shares.record_refused(now, &self.request);
                }
                return Err(self.rejection(reason));
            }
            if model_wait.is_none() {
                model_wait = Some(ModelWait::start(&self.node, &self.request, reason));
            }
            self.request_adapter(reason);
            let check_after = CHECK_INTERVAL.min(wait_until.since(now));
            // The next selection decides, whether it was woken up or timed out.
            let _ = if reason.is_lack_of_capacity() {
                timeout(check_after, capacity_freed).await
            } else {
                timeout(check_after, holdings_changed).await
            };
            self.waited_ms += self.node.now().ms_since(now);
        }
    }

    /// Counts an upstream that was passed over because its advertised rate is
    /// used up.
    fn record_rate_limited(&mut self) {
        let outcome = SelectionError::RateSpent.as_str();
        let labels = [&*self.request.service, outcome];
        self.node.metrics.attempts.with_label_values(&labels).inc();
        self.rate_limited_count += 1;
    }

    /// Refuses a request whose response would come too late, as it would only
    /// delay others. A request that was already sent to an upstream is no
    /// longer refused.
    fn admit_in_time(&mut self, selected: &SelectedUpstream) -> Result<(), Rejection> {
        let mean_prefill_ms = self.record_prompt(selected);
        let request = &self.request;
        let (queue_ms, prefill_ms) = selected.admission_times_ms();
        let admission = AdmissionInput {
            now: self.node.now(),
            arrived_at: request.arrived_at,
            latency_target_ms: request.first_response_target_ms(),
            first_answer_deadline: request.first_response_by,
            queue_ms: queue_ms as u64,
            prefill_ms: prefill_ms as u64,
            mean_prefill_ms: mean_prefill_ms as u64,
            is_corrected: false,
            at_engine: request.head.model.is_some(),
        };
        if !self.attempted.lock().sent_to.is_empty() {
            return Ok(());
        }
        let (reason, late_ms) = match admit(&admission) {
            Err(late_ms) => ("too_late", late_ms),
            Ok(()) => match self.admit_within_share(admission) {
                Err(late_ms) => (OVER_SHARE, late_ms),
                Ok(()) => return Ok(()),
            },
        };
        self.record_short_of_engines(reason == OVER_SHARE);
        self.attempts.push(json!({ "unpicked": reason,
            "queue_ms": admission.queue_ms, "reading_ms": admission.prefill_ms,
            "mean_reading_ms": admission.mean_prefill_ms, "late_ms": late_ms }));
        Err(Rejection {
            code: ErrorCode::Overloaded,
            retry_after_ms: late_ms.max(DEFAULT_RETRY_AFTER_MS),
        })
    }

    /// Refuses a request of a workspace over its share while the queue is so long that
    /// requests of others may be refused as well. Returns the number of milliseconds by
    /// which it would be too late for such a workspace.
    fn admit_within_share(&mut self, admission: AdmissionInput) -> Result<(), u64> {
        let node = &self.node;
        self.over_share = admission.at_engine && node.is_over_share(&self.request);
        if !self.over_share {
            return Ok(());
        }
        admit(&AdmissionInput {
            latency_target_ms: self.usable_target_ms(),
            ..admission
        })
    }

    /// Returns the time within which the first answer must be expected. It is shorter for
    /// a workspace over its share, so that others find the queue shorter.
    pub(crate) fn usable_target_ms(&self) -> u64 {
        let percent = if self.over_share {
            OVER_SHARE_TARGET_PERCENT
        } else {
            100
        };
        self.request.first_response_target_ms() * percent / 100
    }

    /// Records that the request is refused because engines are short: because its
    /// workspace is over its share, or for lack of capacity whatever its share.
    pub(crate) fn record_short_of_engines(&self, for_share: bool) {
        let (node, request) = (&self.node, &self.request);
        if !for_share {
            node.fair_shares.record_refused(node.now(), request);
            return;
        }
        let service = [&*request.service];
        let refused = &node.metrics.over_share_refused;
        refused.with_label_values(&service).inc();
        node.fair_shares.record_held_back(node.now(), request);
    }

    /// Records the prompt of a request for which an engine was selected. Returns the
    /// mean time to prefill a prompt of the route; 0 for a plain service.
    fn record_prompt(&self, selected: &SelectedUpstream) -> f64 {
        let request = &self.request;
        if request.head.model.is_none() {
            return 0.0;
        }
        let (prompt, uncached) = (request.head.prompt_tokens, selected.prefill_tokens);
        self.node.update_demand(&request.service, |demand| {
            demand.record_sent(prompt, uncached);
        });
        let mut mean_prefill_times = self.node.mean_prefill_times.lock();
        let own_equal_pace_ms = selected.own_prefill_ms / selected.pace_factor;
        mean_prefill_times.observe(&request.route.name, own_equal_pace_ms)
    }

    /// Waits in the queue of the service until the next check.
    async fn wait_in_queue(&mut self, wait: Option<&EntryWait>, at_most: Duration) {
        let began_at = self.node.now();
        self.wait_began_at = Some(began_at);
        if let Some(wait) = wait {
            self.wait_for_place(wait, at_most).await;
        }
        self.wait_began_at = None;
        self.waited_ms += self.node.now().ms_since(began_at);
    }

    /// Returns until when to wait for an upstream.
    ///
    /// A caller that is refused right away can come back at a better time; one
    /// that waits until it gives up gets nothing.
    fn wait_until(&self, started_at: Instant, reason: SelectionError) -> Instant {
        let first_response_by = self.request.first_response_by;
        let total_ms = first_response_by.ms_since(self.request.arrived_at);
        let wait_limit = self
            .request
            .arrived_at
            .plus_ms(total_ms * MAX_WAIT_PERCENT / 100);
        match reason {
            SelectionError::Full => wait_limit,
            SelectionError::BackedOff | SelectionError::RateSpent => {
                wait_end_for_pause(self.available_again_at(), started_at, wait_limit)
            }
            // The upstream may be in a page of the list that is on its way.
            SelectionError::NoAdapter
            | SelectionError::NoUpstream
            | SelectionError::NoSameVersion
            | SelectionError::NoModel
                if !self.node.knows_upstreams() =>
            {
                wait_limit
            }
            SelectionError::NoAdapter => {
                wait_limit.min(started_at.plus_ms(ADAPTER_WAIT_MS))
            }
            SelectionError::NoUpstream | SelectionError::NoSameVersion => {
                wait_limit.min(started_at.plus_ms(DISCOVERY_WAIT_MS))
            }
            SelectionError::NoModel => match self.ready_at() {
                Some(ready_at) if ready_at.plus_ms(MIN_RUN_MS) < first_response_by => {
                    first_response_by
                }
                _ => wait_limit.min(started_at.plus_ms(DISCOVERY_WAIT_MS)),
            },
        }
    }

    /// Returns when the request's model is expected to be ready on some
    /// upstream, if it is being loaded.
    fn ready_at(&self) -> Option<Instant> {
        let (model, _) = self.request.head.model.as_ref()?;
        let fleet = self.node.fleet.lock();
        fleet.model_ready_at(self.node.now(), &self.request.service, model)
    }

    /// Returns when the first upstream accepts requests again, of those that
    /// asked for a pause or whose rate is used up.
    fn available_again_at(&self) -> Option<Instant> {
        let model = self.request.head.model.as_ref();
        let model = model.map(|(model, _)| &**model);
        let fleet = self.node.fleet.lock();
        fleet.accepts_again_at(self.node.now(), &self.request.service, model)
    }

    /// Returns when the caller should come back after attempts of which none
    /// has run the request. If no upstream accepts requests now, that is when
    /// the first one does again.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        match self.select_excluding(&[]) {
            Err(reason @ (SelectionError::BackedOff | SelectionError::RateSpent)) => {
                self.rejection(reason).retry_after_ms
            }
            _ => DEFAULT_RETRY_AFTER_MS,
        }
    }

    /// Returns the rejection of a request for which there is no upstream.
    fn rejection(&self, reason: SelectionError) -> Rejection {
        let now = self.node.now();
        let retry_after_ms = match reason {
            SelectionError::NoModel => self
                .ready_at()
                .map_or(LOAD_RETRY_MS, |ready_at| ready_at.ms_since(now)),
            SelectionError::BackedOff | SelectionError::RateSpent => self
                .available_again_at()
                .map_or(DEFAULT_RETRY_AFTER_MS, |at| at.ms_since(now)),
            _ => DEFAULT_RETRY_AFTER_MS,
        };
        Rejection {
            code: refusal_code(reason),
            retry_after_ms: retry_after_ms.max(DEFAULT_RETRY_AFTER_MS),
        }
    }

    /// Selects an upstream that was not attempted yet or, if there is none and
    /// the request may run twice, one that was.
    fn select(&self) -> Result<SelectedUpstream, SelectionError> {
        let attempted = self.attempted.lock().all();
        let alternative = self.select_excluding(&attempted);
        let may_resend = self.request.route.kind.may_rerun()
            && self.attempts.len() < MAX_ATTEMPTS_WITH_RESEND;
        if alternative.is_ok() || attempted.is_empty() || !may_resend {
            return alternative;
        }
        self.select_excluding(&[])
    }

    /// Selects an upstream that was not attempted yet and is not the one that
    /// runs the request. There is none for a request that may crash it.
    pub(crate) fn alternative_to(
        &self,
        upstream: &Arc<str>,
    ) -> Result<SelectedUpstream, SelectionError> {
        if self.node.is_convicted(&self.request)
            || self.refused_part().is_some()
            || self.probe.is_some()
        {
            return Err(SelectionError::NoUpstream);
        }
        let mut attempted = self.attempted.lock().all();
        attempted.push(Arc::clone(upstream));
        self.select_excluding(&attempted)
    }

    /// Selects an upstream other than the excluded ones.
    fn select_excluding(
        &self,
        excluded: &[Arc<str>],
    ) -> Result<SelectedUpstream, SelectionError> {
        let request = &self.request;
        let output_tokens = request.head.output_tokens_max;
        let model = request.head.model.as_ref();
        let input = SelectionInput {
            now: self.node.now(),
            service: &request.service,
            engine: request.service_spec.engine.as_ref(),
            model: model.map(|(model, adapter)| (&**model, adapter.as_deref())),
            prompt_parts: &request.prompt_parts,
            priority: request.priority(),
            is_ordered: request.urgent_target_ms.is_some(),
            prompt_tokens: request.head.prompt_tokens,
            time_factor: self.node.time_factor_of(request),
            kv_tokens: request.head.prompt_tokens.saturating_add(output_tokens),
            excluded,
            origin: self.origin.as_ref(),
            domain: &self.node.options.failure_domain,
            random: self.node.random(),
        };
        let mut selected = select_upstream(&self.node.fleet.lock(), &input)?;
        if model.is_some() {
            let expected_ms = selected.first_answer_ms;
            let corrections = self.node.estimate_corrections.lock();
            selected.predicted_ms *=
                corrections.factor(&request.service, request.priority(), expected_ms);
        }
        Ok(selected)
    }

    /// Marks the request's adapter as wanted if its absence is what the request
    /// waits for.
    fn request_adapter(&self, reason: SelectionError) {
        let model = self.request.head.model.as_ref();
        let Some((model, Some(adapter))) = model else {
            return;
        };
        if reason == SelectionError::NoAdapter {
            let wanted = WantedAdapter {
                service: Arc::clone(&self.request.service),
                model: Arc::clone(model),
                adapter: Arc::clone(adapter),
                software: self.origin.as_ref().and_then(|origin| origin.software),
            };
            self.node.wanted_adapters.add(self.node.now(), wanted);
        }
    }
}

/// Counts a request that waits for its model as demand, until dropped.
struct ModelWait {
    node: Arc<Node>,
    model: Option<(Arc<str>, Arc<str>)>,
    since: Instant,
}

impl ModelWait {
    fn start(
        node: &Arc<Node>,
        request: &CallerRequest,
        reason: SelectionError,
    ) -> Self {
        let model = request
            .head
            .model
            .as_ref()
            .filter(|_| reason == SelectionError::NoModel);
        let model_wait = Self {
            node: Arc::clone(node),
            model: model
                .map(|(model, _)| (Arc::clone(&request.service), Arc::clone(model))),
            since: node.now(),
        };
        if let Some((service, model)) = &model_wait.model {
            node.update_demand(service, |demand| {
                demand.begin_wait(model, model_wait.since);
            });
        }
        model_wait
    }
}

impl Drop for ModelWait {
    fn drop(&mut self) {
        if let Some((service, model)) = &self.model {
            let since = self.since;
            self.node
                .update_demand(service, |demand| demand.end_wait(model, since));
        }
    }
}

/// Whether a request takes a place, or waits for one in the order of urgency. It waits
/// for a model or adapter, and for upstreams that asked for a pause, in other ways.
fn waits_for_place(selection: &Result<SelectedUpstream, SelectionError>) -> bool {
    selection
        .as_ref()
        .err()
        .is_none_or(|reason| reason.is_lack_of_capacity())
}

const fn refusal_code(reason: SelectionError) -> ErrorCode {
    match reason {
        SelectionError::NoModel | SelectionError::NoAdapter => {
            ErrorCode::ModelUnavailable
        }
        SelectionError::NoSameVersion => ErrorCode::ResumeUnavailable,
        SelectionError::NoUpstream
        | SelectionError::BackedOff
        | SelectionError::RateSpent
        | SelectionError::Full => ErrorCode::Overloaded,
    }
}
