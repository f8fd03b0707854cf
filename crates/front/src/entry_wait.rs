//! Waits at this entry for a place at an engine, where the service's requests are
//! ordered by urgency. [`direct::WaitQueue`] decides.

use base::prelude::*;
use direct::{
    Place, PlaceDecision, PrefillQueue, SelectedUpstream, WaitCheck, WaiterId,
    WaitingRequest,
};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::dispatch::{Dispatch, OVER_SHARE, Rejection};
use crate::state::Node;

/// A request in the queue of its service. Dropping it removes the request, also when
/// its caller has left.
#[derive(Debug)]
pub(crate) struct EntryWait {
    node: Arc<Node>,
    service: Arc<str>,
    id: WaiterId,
    woken: Arc<Notify>,
    since: Instant,
    outcome: &'static str,
}

impl EntryWait {
    /// Adds a request to the queue of its service.
    ///
    /// # Errors
    ///
    /// The queue is full; the caller should come back after the returned time.
    fn join(
        node: &Arc<Node>,
        service: &Arc<str>,
        request: WaitingRequest,
    ) -> Result<Self, u64> {
        let now = node.now();
        let (id, woken) =
            node.entry_queues
                .join(now, service, request, node.random())?;
        node.metrics
            .waiting_requests
            .with_label_values(&[&**service])
            .inc();
        Ok(Self {
            node: Arc::clone(node),
            service: Arc::clone(service),
            id,
            woken,
            since: now,
            outcome: "caller_gone",
        })
    }
}

impl EntryWait {
    /// Removes the request from the queue, with the outcome for the metric.
    pub(crate) fn end(mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for EntryWait {
    fn drop(&mut self) {
        self.node.entry_queues.leave(&self.service, self.id);
        let metrics = &self.node.metrics;
        let service = &*self.service;
        metrics.waiting_requests.with_label_values(&[service]).dec();
        let waited = self.node.now().since(self.since);
        metrics
            .wait_s
            .with_label_values(&[service, self.outcome])
            .observe(waited.as_secs_f64());
    }
}

/// What a request does that found a place, or none.
#[derive(Debug)]
pub(crate) enum EntryDecision {
    Take,
    Wait(Duration),
    Refuse(Rejection),
}

impl Dispatch {
    /// Returns whether the request waits in the order of urgency. One that was sent to
    /// an upstream before, or whose stream was, doesn't wait again, and one without a
    /// target has no place in the order.
    pub(crate) fn is_ordered(&self) -> bool {
        self.request.urgent_target_ms.is_some()
            && self.request.head.model.is_some()
            && self.request.route.latency_target_ms > 0
            && self.request.origin.is_none()
            && self.attempted.lock().sent_to.is_empty()
    }

    /// Decides what the request does about the place that selection found; `None` if
    /// all engines that could run it are full. If it has to wait, it joins the queue.
    pub(crate) fn decide_place(
        &mut self,
        wait: &mut Option<EntryWait>,
        selected: Option<&SelectedUpstream>,
        mean_prefill_ms: f64,
    ) -> EntryDecision {
        let node = Arc::clone(&self.node);
        let now = node.now();
        if wait.is_none() {
            self.over_share = node.is_over_share(&self.request);
        }
        let waiting = self.waiting_request(now, selected);
        let place = selected.map(|selected| selected.place(mean_prefill_ms));
        let service = &self.request.service;
        let share_rank = waiting.share_rank;
        let mut reason = match &place {
            None => "full",
            Some(place) if self.over_share && !waiting.is_too_late(now, place) => {
                OVER_SHARE
            }
            Some(_) => "too_late",
        };
        let decision = match (&*wait, &place) {
            (None, Some(place))
                if node
                    .entry_queues
                    .takes_at_once(now, service, &waiting, place) =>
            {
                PlaceDecision::Take
            }
            (None, _) => match EntryWait::join(&node, service, waiting) {
                Ok(joined) => {
                    let decision = joined.decide(place, share_rank);
                    *wait = Some(joined);
                    decision
                }
                Err(retry_after_ms) => {
                    reason = "queue_full";
                    PlaceDecision::Refuse(retry_after_ms)
                }
            },
            (Some(joined), _) => joined.decide(place, share_rank),
        };
        match decision {
            PlaceDecision::Take => {
                if let Some(wait) = wait.take() {
                    wait.end("sent");
                }
                EntryDecision::Take
            }
            PlaceDecision::Wait(_)
                if node.shutdown.close_connections.is_cancelled() =>
            {
                if let Some(wait) = wait.take() {
                    wait.end("refused");
                }
                self.attempts.push(json!({ "unpicked": "stopping" }));
                EntryDecision::Refuse(Rejection {
                    code: ErrorCode::Leaving,
                    retry_after_ms: 0,
                })
            }
            PlaceDecision::Wait(after_ms) => {
                EntryDecision::Wait(Duration::from_millis(after_ms))
            }
            PlaceDecision::Refuse(retry_after_ms) => {
                if let Some(wait) = wait.take() {
                    wait.end("refused");
                }
                self.refuse_place(place.as_ref(), reason, retry_after_ms)
            }
        }
    }

    /// Waits until the request is to look for a place again, at most for this time.
    pub(crate) async fn wait_for_place(&self, wait: &EntryWait, at_most: Duration) {
        tokio::select! {
            () = wait.woken.notified() => {}
            () = sleep(at_most) => {}
            () = self.node.shutdown.close_connections.cancelled() => {}
        }
    }

    fn refuse_place(
        &mut self,
        place: Option<&Place<'_>>,
        reason: &'static str,
        retry_after_ms: u64,
    ) -> EntryDecision {
        self.record_short_of_engines(reason == OVER_SHARE);
        self.attempts.push(match place {
            Some(place) => json!({ "unpicked": reason,
                "queue_ms": place.queue_ms, "reading_ms": place.prefill_ms,
                "mean_reading_ms": place.mean_prefill_ms,
                "unread_ms": place.unread_ms, "retry_after_ms": retry_after_ms }),
            None => json!({ "unpicked": reason, "retry_after_ms": retry_after_ms }),
        });
        EntryDecision::Refuse(Rejection {
            code: ErrorCode::Overloaded,
            retry_after_ms,
        })
    }

    fn waiting_request(
        &self,
        now: Instant,
        selected: Option<&SelectedUpstream>,
    ) -> WaitingRequest {
        let request = &self.request;
        let engine_ms = match selected {
            Some(selected) => selected.own_prefill_ms * selected.correction(),
            None => {
                let tokens = request.head.prompt_tokens as f64;
                let tokens = tokens * self.node.time_factor_of(request);
                PrefillQueue::single(request.priority(), tokens as u64).prefill_ms()
            }
        };
        let since = if self.waited_ms == 0 {
            request.arrived_at
        } else {
            now
        };
        WaitingRequest {
            arrived_at: request.arrived_at,
            since,
            priority: request.priority(),
            latency_target_ms: request.route.latency_target_ms,
            admitted_target_ms: self.usable_target_ms(),
            urgent_target_ms: request
                .urgent_target_ms
                .unwrap_or(request.route.latency_target_ms),
            first_answer_deadline: request.first_response_by,
            engine_ms: engine_ms as u64,
            share_rank: self.node.share_rank(request),
            body_bytes: request.body.len(),
        }
    }
}

impl EntryWait {
    /// Decides by the place that was found. `share_rank` is that of the workspace now: it
    /// changes with each request that is sent.
    fn decide(&self, place: Option<Place<'_>>, share_rank: u64) -> PlaceDecision {
        let node = &self.node;
        let check = WaitCheck {
            place,
            share_rank,
            entries: node.peers.entry_count() as u64,
            random: node.random(),
        };
        node.entry_queues
            .decide(node.now(), &self.service, self.id, &check)
    }
}
