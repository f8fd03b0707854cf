//! A request's way to its answer, over as many upstreams as it may take.

use base::prelude::*;
use direct::{
    Arrival, AttemptHistory, AttemptOutcome, RetryDecision, SelectedUpstream,
    decide_retry,
};
use hyper::Response;
use serde_json::{Value, json};
use std::sync::Arc;

use crate::answer::{AnswerBody, Whole, refusal};
use crate::state::Node;
use crate::state::call::Call;
use crate::state::quota::Charge;
use crate::tries::{Live, TryEnd, try_once};

/// When to come back after a refusal.
pub(crate) const RETRY_AFTER_MS: u64 = 250;

/// How a request's way ended.
pub(crate) enum End {
    /// A stream has begun.
    Live(Box<Live>),
    /// An upstream's whole answer.
    Whole(Whole),
    /// No answer of an upstream.
    Refused(Refusal),
}

/// A request on its way.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) node: Arc<Node>,
    pub(crate) call: Call,
    /// Upstreams that were sent the request.
    pub(crate) sent_to: Vec<Arc<str>>,
    /// Upstreams that could not be reached.
    pub(crate) unreached: Vec<Arc<str>>,
    may_have_run: bool,
    /// What the next try takes of the rate that its upstream asks for.
    pub(crate) rate_charge: Option<Charge>,
    /// A try is under way.
    trying: bool,
    /// The last failure of an upstream's own.
    failure: Option<Whole>,
    /// Last event given on, where a stream is continued.
    pub(crate) last_event: Option<u64>,
    /// What was tried, for the log.
    pub(crate) tries: Vec<Value>,
    pub(crate) waited_ms: u64,
    /// Upstreams passed over as their rate was spent.
    pub(crate) rate_spent: u32,
    first_answer_ms: Option<u64>,
    told: bool,
}

/// Why no upstream is tried, and when to come back.
#[derive(Debug)]
pub(crate) struct Turned {
    pub(crate) code: Code,
    pub(crate) retry_after_ms: u64,
}

impl Run {
    /// Takes a request, and counts it among what is asked for.
    pub(crate) fn begin(node: Arc<Node>, call: Call) -> Self {
        let now = node.now();
        node.meters.in_progress.inc();
        node.repeats.lock().record_request(now, &call.service);
        if let Some((model, _)) = &call.ask.model {
            let answer = call.ask.output_tokens_hint;
            let answer = answer.unwrap_or(call.ask.output_tokens_max / 2);
            let arrival = Arrival {
                prompt_tokens: call.ask.prompt_tokens,
                answer_tokens: answer,
                time_factor: node.pace_of(&call),
                latency_target_ms: call.route.latency_target_ms,
            };
            node.with_demand(&call.service, |demand| {
                demand.record_arrival(model, &arrival);
            });
        }
        Self {
            node,
            call,
            sent_to: Vec::new(),
            unreached: Vec::new(),
            may_have_run: false,
            rate_charge: None,
            trying: false,
            failure: None,
            last_event: None,
            tries: Vec::new(),
            waited_ms: 0,
            rate_spent: 0,
            first_answer_ms: None,
            told: false,
        }
    }

    /// Tries upstreams until one answers, none may be tried any more, or the process
    /// has to end and the caller has nothing of an answer.
    pub(crate) async fn until_answer(&mut self) -> End {
        if self.ends_at_stop() {
            return self.end_at_stop();
        }
        let answer_now = self.node.stop.answer_now.clone();
        let has_begun = self.first_answer_ms.is_some();
        tokio::select! {
            biased;
            end = self.until_tried() => end,
            () = answer_now.cancelled(), if !has_begun => self.end_at_stop(),
        }
    }

    /// Tries upstreams until one answers or none may be tried any more.
    async fn until_tried(&mut self) -> End {
        loop {
            if self.node.is_convicted(self.call.fingerprint) {
                return self.end_without(Code::Convicted);
            }
            let picked = match self.picked().await {
                Ok(picked) => picked,
                Err(turned) => return self.end_turned(&turned),
            };
            let last_event = self.last_event.map(|id| id.to_string());
            let begun_at = self.node.now();
            self.trying = true;
            self.call.set_used(true);
            self.set_rate_used(true);
            let ended =
                try_once(&self.node, &self.call, &picked, last_event.as_deref()).await;
            self.trying = false;
            self.set_rate_used(!matches!(
                ended,
                TryEnd::Fault(AttemptOutcome::NotSent, _)
            ));
            self.rate_charge = None;
            self.note_try(&picked, begun_at, &ended);
            match ended {
                TryEnd::Live(live) => return End::Live(live),
                TryEnd::Whole(whole) => return End::Whole(whole),
                TryEnd::Fault(outcome, own) => {
                    if let Some(end) = self.after_fault(&picked, outcome, own) {
                        return end;
                    }
                }
            }
        }
    }

    /// Whether what the try took of its upstream's rate is used: the request was sent,
    /// whatever became of it.
    fn set_rate_used(&mut self, is_used: bool) {
        if let Some(charge) = &mut self.rate_charge {
            charge.is_used = is_used;
        }
    }

    /// A stream broke at this upstream: the end if it can't be continued.
    pub(crate) fn after_break(&mut self, upstream: &Arc<str>) -> Option<End> {
        let picked = SelectedUpstream {
            id: Arc::clone(upstream),
            usage: direct::Usage::default(),
            unqueued_prefill_ms: None,
            first_answer_ms: 0.0,
            own_prefill_ms: 0.0,
            prefill_tokens: 0,
        };
        self.tries
            .push(json!({ "upstream": &**upstream, "outcome": "broke_off",
                "after_event": self.last_event }));
        self.after_fault(&picked, AttemptOutcome::Unknown, None)
    }

    fn after_fault(
        &mut self,
        picked: &SelectedUpstream,
        outcome: AttemptOutcome,
        own: Option<Whole>,
    ) -> Option<End> {
        if own.is_some() {
            self.failure = own;
        }
        if outcome == AttemptOutcome::NotSent {
            self.unreached.push(Arc::clone(&picked.id));
        } else if !self.sent_to.contains(&picked.id) {
            self.sent_to.push(Arc::clone(&picked.id));
        }
        let tried = AttemptHistory {
            upstreams: u32::try_from(self.sent_to.len()).unwrap_or(u32::MAX),
            upstreams_max: self.call.route.upstreams_max,
            may_have_run: self.may_have_run,
        };
        let next = decide_retry(self.call.route.kind, tried, outcome);
        self.may_have_run |=
            matches!(outcome, AttemptOutcome::Unknown | AttemptOutcome::Failed);
        self.call.set_used(self.may_have_run);
        let now = self.node.now();
        match next {
            _ if self.call.is_over(self.node.clock) => {
                Some(self.end_without(Code::DeadlineBeforeRun))
            }
            RetryDecision::Resend => None,
            RetryDecision::Retry => {
                let mut repeats = self.node.repeats.lock();
                let taken = repeats.try_take(now, &self.call.service);
                drop(repeats);
                (!taken).then(|| self.end_without(Code::Overloaded))
            }
            RetryDecision::FailNotRun => Some(self.end_without(Code::Overloaded)),
            RetryDecision::FailMayHaveRun => {
                Some(self.end_without(Code::OutcomeUnknown))
            }
        }
    }

    fn end_turned(&mut self, turned: &Turned) -> End {
        match self.end_without(turned.code) {
            End::Refused(refusal) if refusal.retry_after_ms.is_some() => {
                End::Refused(refusal.retry_after_ms(turned.retry_after_ms))
            }
            end => end,
        }
    }

    /// The process ends before an answer came. Cut with its connection, the request
    /// would leave its caller without a word; whether it may come again, this end
    /// says.
    fn end_at_stop(&mut self) -> End {
        self.may_have_run |= self.trying;
        self.end_without(Code::Leaving)
    }

    /// Whether the process ends and nothing of an answer was given on.
    pub(crate) fn ends_at_stop(&self) -> bool {
        self.first_answer_ms.is_none() && self.node.stop.answer_now.is_cancelled()
    }

    /// The caller's time is over while a stream runs.
    pub(crate) fn late(&mut self) -> End {
        self.may_have_run = true;
        self.end_without(Code::DeadlineWhileRunning)
    }

    /// The end of a request for which no upstream's answer stands.
    fn end_without(&mut self, code: Code) -> End {
        if let Some(failure) = self.failure.take() {
            return End::Whole(failure);
        }
        if !self.may_have_run {
            let code = match code {
                Code::DeadlineBeforeRun | Code::Convicted | Code::OutcomeUnknown => {
                    Code::Overloaded
                }
                code => code,
            };
            let retry_after_ms = self.retry_after_ms();
            return End::Refused(Refusal::not_run(code).retry_after_ms(retry_after_ms));
        }
        let code = if self.call.is_over(self.node.clock) {
            Code::DeadlineWhileRunning
        } else {
            Code::OutcomeUnknown
        };
        End::Refused(Refusal {
            code,
            ran: Ran::Unknown,
            retry_after_ms: None,
        })
    }

    fn note_try(
        &mut self,
        picked: &SelectedUpstream,
        begun_at: Instant,
        ended: &TryEnd,
    ) {
        self.learn_pace(picked, begun_at, ended);
        let outcome = match ended {
            TryEnd::Live(_) => "begun",
            TryEnd::Whole(_) => "whole",
            TryEnd::Fault(outcome, _) => outcome.as_str(),
        };
        let labels = [&*self.call.service, outcome];
        self.node.meters.tries.with_label_values(&labels).inc();
        self.tries
            .push(json!({ "upstream": &*picked.id, "outcome": outcome,
            "expected_ms": picked.first_answer_ms as u64,
            "ms": self.node.now().ms_since(begun_at) }));
    }

    fn learn_pace(&self, picked: &SelectedUpstream, begun_at: Instant, ended: &TryEnd) {
        let model = self.call.ask.model.as_ref();
        if let (TryEnd::Live(_), Some(reading_ms), Some((model, _))) =
            (ended, picked.unqueued_prefill_ms, model)
        {
            let took_ms = self.node.now().since(begun_at).as_secs_f64() * 1_000.0;
            let mut paces = self.node.paces.lock();
            paces.observe(&self.call.service, model, reading_ms, took_ms);
        }
    }

    /// The first part of the answer goes to the caller now.
    pub(crate) fn first_answer(&mut self) {
        let ms = self.node.now().ms_since(self.call.arrived);
        if self.first_answer_ms.is_none() {
            self.first_answer_ms = Some(ms);
            let histogram = &self.node.meters.first_answer_s;
            let route = [&*self.call.route.name];
            histogram
                .with_label_values(&route)
                .observe(ms as f64 / 1_000.0);
        }
    }

    /// Turns the end into the caller's answer.
    pub(crate) fn finish(&mut self, end: End) -> Response<AnswerBody> {
        match end {
            End::Whole(whole) => {
                self.first_answer();
                self.tell("answered", whole.status.as_u16());
                whole.into_response()
            }
            End::Refused(why) => {
                self.tell(why.code.name(), why.code.http_status());
                refusal(&*self.node.dialect, &self.call.ask.id, &why)
            }
            End::Live(_) => {
                let why = Refusal::not_run(Code::Overloaded);
                refusal(&*self.node.dialect, &self.call.ask.id, &why)
            }
        }
    }

    /// Writes the request's line and counts its end; once.
    pub(crate) fn tell(&mut self, outcome: &str, status: u16) {
        if std::mem::replace(&mut self.told, true) {
            return;
        }
        let node = &self.node;
        let ms = node.now().ms_since(self.call.arrived);
        let route = &*self.call.route.name;
        node.meters.ended.with_label_values(&[route, outcome]).inc();
        let histogram = node.meters.whole_answer_s.with_label_values(&[route]);
        histogram.observe(ms as f64 / 1_000.0);
        let fleet_age_ms = node.fleet_mark.lock().age_ms(node.now());
        let model = self.call.ask.model.as_ref();
        let model = model.map(|(model, adapter)| match adapter {
            Some(adapter) => format!("{model}/{adapter}"),
            None => model.to_string(),
        });
        let workspace = self.call.workspace.as_ref();
        let workspace = workspace.map(|workspace| &*workspace.name);
        node.log.line(
            "request",
            json!({ "id": self.call.ask.id, "route": route, "workspace": workspace,
                "service": &*self.call.service, "model": model, "outcome": outcome,
                "status": status, "ms": ms, "first_ms": self.first_answer_ms,
                "waited_ms": self.waited_ms, "rate_spent": self.rate_spent, "tries": self.tries,
                "ran": self.may_have_run, "last_event": self.last_event,
                "setup": self.call.setup_version, "fleet_age_ms": fleet_age_ms }),
        );
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.node.meters.in_progress.dec();
        self.tell("caller_gone", 0);
    }
}
