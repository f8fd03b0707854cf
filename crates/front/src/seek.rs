//! Finding an upstream for a request, and waiting for one while that can be in
//! time.

use base::prelude::*;
use direct::{
    AdmissionInput, SelectedUpstream, SelectionError, SelectionInput, admit,
    select_upstream,
};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::run::{RETRY_AFTER_MS, Run, Turned};
use crate::state::Node;
use crate::state::call::Call;
use crate::state::wants::Want;
use crate::upstream_rate::{self, RateSpent};

/// Part of the time to its first answer, in percent, that a request waits for
/// room. The rest is for its run; who is told earlier can still come back.
const WAIT_PERCENT: u64 = 50;

/// Longest wait for an adapter: one comes in tens of milliseconds.
const ADAPTER_WAIT_MS: u64 = 600;

/// Longest wait for news of an upstream or a model of which nothing is known.
const NEWS_WAIT_MS: u64 = 250;

/// Time for a run between a model's arrival and the caller's leaving.
const RUN_SPARE_MS: u64 = 200;

/// When to come back for a model whose load has not begun.
const LOAD_RETRY_MS: u64 = 1_500;

/// Longest time between two looks for an upstream while a request waits.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Tries after which a request is not sent to an upstream that it was sent to
/// before. An upstream that refuses one in two is worth asking again; one that
/// is full would refuse it at once, time after time, until the budget is spent.
const TRIES_MAX: usize = 3;

impl Run {
    /// An upstream for the next try; waits for one while that can be in time.
    pub(crate) async fn picked(&mut self) -> Result<SelectedUpstream, Turned> {
        let mut waiting: Option<Waiting> = None;
        let node = Arc::clone(&self.node);
        let began_at = node.now();
        loop {
            let holdings = node.holdings.notified();
            let room = node.room.notified();
            let why = match self.pick() {
                Ok(picked) => match upstream_rate::admit(&node, &picked.id).await {
                    Ok(charge) => {
                        let picked = self.in_time(picked)?;
                        self.rate_charge = charge;
                        return Ok(picked);
                    }
                    Err(RateSpent) => {
                        self.note_spent();
                        continue;
                    }
                },
                Err(why) => why,
            };
            let now = self.node.now();
            let mut wait_until = self.wait_until(began_at, why);
            if let Some(stop_at) = node.stop.answer_by() {
                wait_until = wait_until.min(stop_at);
            }
            if now >= wait_until {
                self.tries.push(json!({ "unpicked": why.as_str() }));
                return Err(self.turned(why));
            }
            if waiting.is_none() {
                waiting = Some(Waiting::start(&self.node, &self.call, why));
            }
            self.ask_for_adapter(why);
            let look = LOOK_EVERY.min(wait_until.since(now));
            // What wakes it, or nothing: the next look decides.
            let _ = if why == SelectionError::Full {
                timeout(look, room).await
            } else {
                timeout(look, holdings).await
            };
            self.waited_ms += self.node.now().ms_since(now);
        }
    }

    /// The rate of the upstream that would be chosen is spent: it is passed over.
    fn note_spent(&mut self) {
        let outcome = SelectionError::RateSpent.as_str();
        let labels = [&*self.call.service, outcome];
        self.node.meters.tries.with_label_values(&labels).inc();
        self.rate_spent += 1;
    }

    /// Refuses a request that would come too late: it would only keep others
    /// waiting. One that goes on elsewhere is not refused any more.
    fn in_time(
        &mut self,
        picked: SelectedUpstream,
    ) -> Result<SelectedUpstream, Turned> {
        let call = &self.call;
        let at_engine = call.ask.model.is_some();
        if at_engine {
            let (prompt, unread) = (call.ask.prompt_tokens, picked.prefill_tokens);
            self.node.with_demand(&call.service, |demand| {
                demand.record_sent(prompt, unread);
            });
        }
        let mean_reading_ms = if at_engine {
            let mut readings = self.node.readings.lock();
            readings.observe(&call.route.name, picked.own_prefill_ms)
        } else {
            0.0
        };
        let admission = AdmissionInput {
            now: self.node.now(),
            arrived_at: call.arrived,
            latency_target_ms: call.route.latency_target_ms,
            first_answer_deadline: call.first_by,
            queue_ms: (picked.first_answer_ms - picked.own_prefill_ms) as u64,
            prefill_ms: picked.own_prefill_ms as u64,
            mean_prefill_ms: mean_reading_ms as u64,
            at_engine,
        };
        let late_ms = match admit(&admission) {
            Err(late_ms) if self.sent_to.is_empty() => late_ms,
            _ => return Ok(picked),
        };
        self.tries.push(json!({ "unpicked": "too_late",
            "queue_ms": admission.queue_ms, "reading_ms": admission.prefill_ms,
            "mean_reading_ms": admission.mean_prefill_ms, "late_ms": late_ms }));
        Err(Turned {
            code: Code::Overloaded,
            retry_after_ms: late_ms.max(RETRY_AFTER_MS),
        })
    }

    /// Until when an upstream is waited for.
    ///
    /// A caller that is told at once can come back when it is of use; one that
    /// is kept until it leaves has nothing.
    fn wait_until(&self, began_at: Instant, why: SelectionError) -> Instant {
        let first_by = self.call.first_by;
        let whole_ms = first_by.ms_since(self.call.arrived);
        let part = self.call.arrived.plus_ms(whole_ms * WAIT_PERCENT / 100);
        match why {
            SelectionError::Full => part,
            SelectionError::BackedOff | SelectionError::RateSpent => {
                match self.takes_again_at() {
                    Some(at) if at < part => part,
                    _ => began_at,
                }
            }
            SelectionError::NoAdapter => part.min(began_at.plus_ms(ADAPTER_WAIT_MS)),
            SelectionError::NoUpstream => part.min(began_at.plus_ms(NEWS_WAIT_MS)),
            SelectionError::NoModel => match self.ready_at() {
                Some(ready_at) if ready_at.plus_ms(RUN_SPARE_MS) < first_by => first_by,
                _ => part.min(began_at.plus_ms(NEWS_WAIT_MS)),
            },
        }
    }

    fn ready_at(&self) -> Option<Instant> {
        let (model, _) = self.call.ask.model.as_ref()?;
        let fleet = self.node.fleet.lock();
        fleet.model_ready_at(self.node.now(), &self.call.service, model)
    }

    /// When an upstream takes the request that said that it takes nothing now.
    fn takes_again_at(&self) -> Option<Instant> {
        let model = self.call.ask.model.as_ref();
        let model = model.map(|(model, _)| &**model);
        let fleet = self.node.fleet.lock();
        fleet.accepts_again_at(self.node.now(), &self.call.service, model)
    }

    /// When to come back after tries that did not run: where all upstreams said that they
    /// take nothing now, when the first of them does.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        match self.pick_but(&[]) {
            Err(why @ (SelectionError::BackedOff | SelectionError::RateSpent)) => {
                self.turned(why).retry_after_ms
            }
            _ => RETRY_AFTER_MS,
        }
    }

    /// How a request is turned away for which there is no upstream.
    fn turned(&self, why: SelectionError) -> Turned {
        let now = self.node.now();
        let retry_after_ms = match why {
            SelectionError::NoModel => self
                .ready_at()
                .map_or(LOAD_RETRY_MS, |ready_at| ready_at.ms_since(now)),
            SelectionError::BackedOff | SelectionError::RateSpent => self
                .takes_again_at()
                .map_or(RETRY_AFTER_MS, |at| at.ms_since(now)),
            _ => RETRY_AFTER_MS,
        };
        Turned {
            code: code_of(why),
            retry_after_ms: retry_after_ms.max(RETRY_AFTER_MS),
        }
    }

    /// An upstream that was not tried; if there is none, one that was, where the
    /// request may run again.
    fn pick(&self) -> Result<SelectedUpstream, SelectionError> {
        let tried = self.sent_to.iter().chain(&self.unreached);
        let tried: Vec<Arc<str>> = tried.cloned().collect();
        let other = self.pick_but(&tried);
        let may_repeat =
            self.call.route.kind.may_rerun() && self.tries.len() < TRIES_MAX;
        if other.is_ok() || tried.is_empty() || !may_repeat {
            return other;
        }
        self.pick_but(&[])
    }

    /// Whether an upstream that was not tried could take the request now.
    pub(crate) fn has_another(&self, upstream: &Arc<str>) -> bool {
        let tried = self.sent_to.iter().chain(&self.unreached);
        let tried: Vec<Arc<str>> = tried.chain([upstream]).cloned().collect();
        self.pick_but(&tried).is_ok()
    }

    fn pick_but(
        &self,
        excluded: &[Arc<str>],
    ) -> Result<SelectedUpstream, SelectionError> {
        let call = &self.call;
        let answer_tokens = call.ask.output_tokens_max;
        let model = call.ask.model.as_ref();
        let input = SelectionInput {
            now: self.node.now(),
            service: &call.service,
            engine: call.spec.engine.as_ref(),
            model: model.map(|(model, adapter)| (&**model, adapter.as_deref())),
            prompt_parts: &call.parts,
            priority: call.priority(),
            prompt_tokens: call.ask.prompt_tokens,
            time_factor: self.node.pace_of(call),
            kv_tokens: call.ask.prompt_tokens + answer_tokens,
            excluded,
            domain: &self.node.options.failure_domain,
            random: self.node.random(),
        };
        select_upstream(&self.node.fleet.lock(), &input)
    }

    fn ask_for_adapter(&self, why: SelectionError) {
        let model = self.call.ask.model.as_ref();
        let Some((model, Some(adapter))) = model else {
            return;
        };
        if why == SelectionError::NoAdapter {
            let want = Want {
                service: Arc::clone(&self.call.service),
                model: Arc::clone(model),
                adapter: Arc::clone(adapter),
            };
            self.node.wants.name(self.node.now(), want);
        }
    }
}

/// A request that waits for its model, as demand sees it.
struct Waiting {
    node: Arc<Node>,
    model: Option<(Arc<str>, Arc<str>)>,
    since: Instant,
}

impl Waiting {
    fn start(node: &Arc<Node>, call: &Call, why: SelectionError) -> Self {
        let model = call
            .ask
            .model
            .as_ref()
            .filter(|_| why == SelectionError::NoModel);
        let waiting = Self {
            node: Arc::clone(node),
            model: model
                .map(|(model, _)| (Arc::clone(&call.service), Arc::clone(model))),
            since: node.now(),
        };
        if let Some((service, model)) = &waiting.model {
            node.with_demand(service, |demand| demand.begin_wait(model, waiting.since));
        }
        waiting
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some((service, model)) = &self.model {
            let since = self.since;
            self.node
                .with_demand(service, |demand| demand.end_wait(model, since));
        }
    }
}

const fn code_of(why: SelectionError) -> Code {
    match why {
        SelectionError::NoModel | SelectionError::NoAdapter => Code::ModelUnavailable,
        SelectionError::NoUpstream
        | SelectionError::BackedOff
        | SelectionError::RateSpent
        | SelectionError::Full => Code::Overloaded,
    }
}
