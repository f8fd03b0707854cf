//! Load on engines of uneven speed that slow down for moments: how many answers are in
//! time if all engines count as equally fast, and with learned speeds.

use crate::support::{at, engine, incarnation, name, record};
use base::prelude::*;
use direct::{
    Activity, AdmissionInput, EngineSpec, Fleet, ModelTimeFactors, SelectedUpstream,
    SelectionError, SelectionInput, Usage, admit, select_upstream,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Engines, each of which holds two of the models; a model is held by four.
const ENGINES: usize = 12;
const MODELS: usize = 6;
const ENTRIES: usize = 24;
const PAUSE_MAX_MS: u64 = 400;
const END_MS: u64 = 12_000;
/// Interval of usage messages, and the delay until they are applied.
const MESSAGE_MS: u64 = 200;
const MESSAGE_DELAY_MS: u64 = 100;
/// Interval at which the short slowdowns are drawn, and how many of 100 engines have one.
const SLOWDOWN_MS: u64 = 600;
const SLOWDOWN_PERCENT: u64 = 15;

/// Engine, usage, activity and pace factor, as an entry reports them to others.
type Use = (usize, Usage, Activity, Option<f64>);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Method {
    EqualSpeeds,
    LearnedSpeeds,
}

struct Kind {
    per_s: u64,
    priority: u32,
    target_ms: u64,
    prompt_tokens: u64,
    mean_events: u64,
}

/// Kinds of requests, with their rates for this number of engines.
const KINDS: [Kind; 3] = [
    Kind {
        per_s: 15,
        priority: 0,
        target_ms: 1_500,
        prompt_tokens: 1_110,
        mean_events: 25,
    },
    Kind {
        per_s: 54,
        priority: 1,
        target_ms: 600,
        prompt_tokens: 1_800,
        mean_events: 6,
    },
    Kind {
        per_s: 8,
        priority: 1,
        target_ms: 2_500,
        prompt_tokens: 1_800,
        mean_events: 6,
    },
];

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.0 >> 33
    }

    /// A number with a long tail around a mean, up to 3.8 times the mean.
    fn around(&mut self, mean: u64) -> u64 {
        let share = (self.next() % 1_000 + 1) as f64 / 1_001.0;
        let tail = (0.3 - 0.7 * share.ln()).min(3.8);
        ((mean as f64 * tail) as u64).max(1)
    }
}

struct Request {
    kind: usize,
    entry: usize,
    model: usize,
    tokens: u64,
    arrived_ms: u64,
    upstream: Option<usize>,
    usage: Usage,
    unqueued_ms: Option<f64>,
    sent_ms: u64,
    events: u64,
    step_tokens: u32,
    last_event_ms: Option<f64>,
    longest_pause_ms: f64,
    first_ms: Option<f64>,
    refused: bool,
}

#[derive(Default)]
struct Engine {
    factor: f64,
    slow: bool,
    busy_until_ms: f64,
    /// Requests with the tokens that are left to prefill.
    queue: Vec<(usize, u64)>,
    streams: Vec<usize>,
    /// What the step in progress prefills to the end.
    finishing: Vec<usize>,
    in_step: bool,
}

struct Entry {
    fleet: Fleet,
    factors: ModelTimeFactors,
}

#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    in_time: u32,
    late_first: u32,
    late_pause: u32,
    refused: u32,
}

impl Outcome {
    const fn total(&self) -> u32 {
        self.in_time + self.late_first + self.late_pause + self.refused
    }
}

struct Load {
    method: Method,
    spec: EngineSpec,
    ids: Vec<Arc<str>>,
    models: Vec<Arc<str>>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    /// For the load and the slowdowns, which are the same for each method.
    random: Random,
    /// For ties between upstreams.
    ties: Random,
}

impl Load {
    fn new(method: Method, factors: [f64; 3], seed: u64) -> Self {
        let models: Vec<Arc<str>> =
            (0..MODELS).map(|m| name(&format!("m{m}"))).collect();
        let ids: Vec<Arc<str>> =
            (0..ENGINES).map(|e| name(&format!("e{e:02}"))).collect();
        let names: Vec<&str> = models.iter().map(|model| &**model).collect();
        let entries = (0..ENTRIES).map(|_| {
            let mut fleet = Fleet::new();
            let listed = ids.iter().enumerate().map(|(e, id)| {
                let held =
                    [&*models[e % MODELS], &*models[(e / 2 + 1 + e % 2) % MODELS]];
                (1, record(id, &held))
            });
            fleet.apply_list(at(0), 1, listed.collect());
            Entry {
                fleet,
                factors: ModelTimeFactors::new(),
            }
        });
        Self {
            method,
            spec: EngineSpec {
                batch_slots: 64,
                cache_capacity_tokens: 117_504,
                tokens_per_event: 3,
                ..engine(&names)
            },
            entries: entries.collect(),
            engines: (0..ENGINES)
                .map(|e| Engine {
                    factor: factors[e % 3],
                    ..Engine::default()
                })
                .collect(),
            ids,
            models,
            requests: Vec::new(),
            random: Random(seed),
            ties: Random(seed + 100),
        }
    }

    fn run(mut self) -> BTreeMap<usize, Outcome> {
        let mut messages: Vec<(u64, usize, Vec<Use>)> = Vec::new();
        for ms in 0..END_MS + 4_000 {
            if ms.is_multiple_of(SLOWDOWN_MS) {
                for engine in &mut self.engines {
                    engine.slow = self.random.next() % 100 < SLOWDOWN_PERCENT;
                }
            }
            if ms < END_MS {
                self.arrivals(ms);
            }
            for entry in 0..ENTRIES {
                if ms % MESSAGE_MS == (entry * 17) as u64 % MESSAGE_MS {
                    messages.push((
                        ms + MESSAGE_DELAY_MS,
                        entry,
                        self.message(ms, entry),
                    ));
                }
            }
            let (due, later) = messages.into_iter().partition(|(due, ..)| *due <= ms);
            messages = later;
            for (_, from, uses) in due {
                self.receive(ms, from, &uses);
            }
            for engine in 0..ENGINES {
                self.step(ms, engine);
            }
        }
        self.outcomes()
    }

    fn arrivals(&mut self, ms: u64) {
        for (kind, of) in KINDS.iter().enumerate() {
            if self.random.next() % 1_000 >= of.per_s {
                continue;
            }
            let request = Request {
                kind,
                entry: self.random.next() as usize % ENTRIES,
                // One model is asked for twice as often as the others.
                model: (self.random.next() as usize % (MODELS + 1)) % MODELS,
                tokens: self.random.around(of.prompt_tokens),
                arrived_ms: ms,
                upstream: None,
                usage: Usage::default(),
                unqueued_ms: None,
                sent_ms: 0,
                events: self.random.around(of.mean_events),
                step_tokens: 0,
                last_event_ms: None,
                longest_pause_ms: 0.0,
                first_ms: None,
                refused: false,
            };
            self.requests.push(request);
            self.dispatch(ms, self.requests.len() - 1);
        }
    }

    fn select(
        &mut self,
        ms: u64,
        index: usize,
    ) -> Result<SelectedUpstream, SelectionError> {
        let request = &self.requests[index];
        let entry = &self.entries[request.entry];
        let model = &self.models[request.model];
        let input = SelectionInput {
            is_ordered: false,
            now: at(ms),
            service: "oracle",
            engine: Some(&self.spec),
            model: Some((model, None)),
            prompt_parts: &[],
            priority: KINDS[request.kind].priority,
            prompt_tokens: request.tokens,
            time_factor: entry.factors.factor("oracle", model),
            kv_tokens: request.tokens + 100,
            excluded: &[],
            origin: None,
            domain: "east",
            random: self.ties.next(),
        };
        select_upstream(&entry.fleet, &input)
    }

    /// Selects an upstream, and sends the request there if it is admitted.
    fn dispatch(&mut self, ms: u64, index: usize) {
        match self.select(ms, index) {
            Ok(selected) if self.admit(ms, index, &selected) => {
                self.send(ms, index, &selected);
            }
            _ => self.requests[index].refused = true,
        }
    }

    fn admit(&self, ms: u64, index: usize, selected: &SelectedUpstream) -> bool {
        let request = &self.requests[index];
        let (queue_ms, prefill_ms) = selected.admission_times_ms();
        let target_ms = KINDS[request.kind].target_ms;
        let admission = AdmissionInput {
            is_corrected: false,
            now: at(ms),
            arrived_at: at(request.arrived_ms),
            latency_target_ms: target_ms,
            first_answer_deadline: at(request.arrived_ms + 4 * target_ms),
            queue_ms: queue_ms as u64,
            prefill_ms: prefill_ms as u64,
            mean_prefill_ms: 70,
            at_engine: true,
        };
        admit(&admission).is_ok()
    }

    fn send(&mut self, ms: u64, index: usize, selected: &SelectedUpstream) {
        let engine = self
            .ids
            .iter()
            .position(|id| *id == selected.id)
            .expect("known");
        let request = &mut self.requests[index];
        request.upstream = Some(engine);
        request.usage = selected.usage;
        request.unqueued_ms = selected.unqueued_prefill_ms;
        request.sent_ms = ms;
        let fleet = &mut self.entries[request.entry].fleet;
        let upstream = fleet.get_mut(&selected.id).expect("known");
        upstream.request_sent(at(ms), &selected.usage);
        self.engines[engine].queue.push((index, request.tokens));
    }

    /// Ends the step of an engine that is over, and begins the next one.
    fn step(&mut self, ms: u64, engine: usize) {
        while self.engines[engine].busy_until_ms <= ms as f64 {
            if self.engines[engine].in_step {
                self.end_step(engine);
            }
            let requests = &self.requests;
            let state = &mut self.engines[engine];
            if state.queue.is_empty() && state.streams.is_empty() {
                state.in_step = false;
                state.busy_until_ms = ms as f64;
                return;
            }
            state
                .queue
                .sort_by_key(|(index, _)| KINDS[requests[*index].kind].priority);
            let mut chunk = 2_048;
            for (index, left) in &mut state.queue {
                let taken = (*left).min(chunk);
                *left -= taken;
                chunk -= taken;
                if *left == 0 {
                    state.finishing.push(*index);
                }
            }
            state.queue.retain(|(_, left)| *left > 0);
            let running =
                state.streams.len() + state.queue.len() + state.finishing.len();
            let step_ms = 8.2 + 0.018 * running as f64 + (2_048 - chunk) as f64 / 25.8;
            let slowdown = if state.slow { 2.5 } else { 1.0 };
            state.busy_until_ms += step_ms * state.factor * slowdown;
            state.in_step = true;
        }
    }

    fn end_step(&mut self, engine: usize) {
        let now_ms = self.engines[engine].busy_until_ms;
        for index in std::mem::take(&mut self.engines[engine].streams) {
            self.requests[index].step_tokens += 1;
            if self.requests[index].step_tokens == self.spec.tokens_per_event {
                self.event(engine, index, now_ms);
            } else {
                self.engines[engine].streams.push(index);
            }
        }
        for index in std::mem::take(&mut self.engines[engine].finishing) {
            self.begin(engine, index, now_ms);
        }
    }

    fn begin(&mut self, engine: usize, index: usize, now_ms: f64) {
        let request = &mut self.requests[index];
        request.first_ms = Some(now_ms - request.arrived_ms as f64);
        let entry = &mut self.entries[request.entry];
        let upstream = entry.fleet.get_mut(&self.ids[engine]).expect("known");
        upstream.first_answer_received(&request.usage.prefill);
        if let Some(prefill_ms) = request.unqueued_ms {
            let took_ms = now_ms - request.sent_ms as f64;
            let model = &self.models[request.model];
            entry
                .factors
                .observe(&name("oracle"), model, prefill_ms, took_ms);
        }
        self.event(engine, index, now_ms);
    }

    fn event(&mut self, engine: usize, index: usize, now_ms: f64) {
        let request = &mut self.requests[index];
        let fleet = &mut self.entries[request.entry].fleet;
        let id = incarnation(&self.ids[engine]);
        let now = Instant::from_us(at(0).as_us() + (now_ms * 1_000.0) as u64);
        if let Some(last) = request.last_event_ms.replace(now_ms) {
            request.longest_pause_ms = request.longest_pause_ms.max(now_ms - last);
            if self.method > Method::EqualSpeeds {
                fleet.record_event(now, id, now_ms - last);
            }
        }
        request.step_tokens = 0;
        request.events -= 1;
        if request.events > 0 {
            self.engines[engine].streams.push(index);
            return;
        }
        let upstream = fleet.get_mut(&self.ids[engine]).expect("known");
        upstream.requests_ended(request.usage.running, request.usage.kv_tokens);
    }

    fn message(&self, ms: u64, entry: usize) -> Vec<Use> {
        let used = self.ids.iter().enumerate().filter_map(|(index, id)| {
            let upstream = self.entries[entry].fleet.get(id)?;
            let activity = upstream.activity(at(ms));
            let pace = upstream.own_pace_factor(at(ms));
            (upstream.own_usage.running > 0).then_some((
                index,
                upstream.own_usage,
                activity,
                pace,
            ))
        });
        used.collect()
    }

    fn receive(&mut self, ms: u64, from: usize, uses: &[Use]) {
        let peer = format!("p{from}");
        for (index, entry) in self.entries.iter_mut().enumerate() {
            if index == from {
                continue;
            }
            let ids = &self.ids;
            let fleet = &mut entry.fleet;
            let used = uses
                .iter()
                .map(|(e, usage, ..)| (incarnation(&ids[*e]), *usage));
            fleet.set_peer_usage(at(ms), &peer, used);
            let activity = uses
                .iter()
                .map(|(e, _, activity, _)| (incarnation(&ids[*e]), *activity));
            fleet.set_peer_activity(at(ms), &peer, activity);
            for (e, _, _, pace) in uses {
                if let Some(pace) = pace {
                    let percent = (pace * 100.0) as u32;
                    fleet.set_peer_pace(
                        at(ms),
                        from as u64,
                        incarnation(&ids[*e]),
                        percent,
                    );
                }
            }
        }
    }

    fn outcomes(&self) -> BTreeMap<usize, Outcome> {
        let mut outcomes = BTreeMap::<usize, Outcome>::new();
        for request in &self.requests {
            let outcome = outcomes.entry(request.kind).or_default();
            let target_ms = KINDS[request.kind].target_ms as f64;
            match request.first_ms {
                _ if request.refused => outcome.refused += 1,
                Some(first_ms) if first_ms <= target_ms => {
                    if request.longest_pause_ms > PAUSE_MAX_MS as f64 {
                        outcome.late_pause += 1;
                    } else {
                        outcome.in_time += 1;
                    }
                }
                _ => outcome.late_first += 1,
            }
        }
        outcomes
    }
}

/// Sums of several loads with engines of these time factors.
fn outcome(method: Method, factors: [f64; 3]) -> Outcome {
    let mut sum = Outcome::default();
    for seed in 1..=8 {
        for outcome in Load::new(method, factors, seed).run().values() {
            sum.in_time += outcome.in_time;
            sum.late_first += outcome.late_first;
            sum.late_pause += outcome.late_pause;
            sum.refused += outcome.refused;
        }
    }
    println!("{factors:?} {method:?}: {sum:?}");
    sum
}

/// With uneven engines, fewer answers have a pause that is too long or begin late, and
/// the load that is moved to the fast ones doesn't make them refuse requests. About one
/// request in a thousand is refused with each method, so that their difference is chance.
#[test]
fn uneven_engines_serve_more_in_time_if_their_speeds_are_known() {
    let factors = [0.7, 0.7, 1.7];
    let equal = outcome(Method::EqualSpeeds, factors);
    let learned = outcome(Method::LearnedSpeeds, factors);
    assert!(learned.late_pause * 10 < equal.late_pause * 9);
    assert!(learned.in_time > equal.in_time);
    assert!(learned.late_first < equal.late_first);
    assert!(learned.refused <= equal.refused + equal.total() / 1_000);
}

/// With equal engines, what is learned changes nothing beyond chance.
#[test]
fn equal_engines_serve_as_before() {
    let factors = [1.0; 3];
    let equal = outcome(Method::EqualSpeeds, factors);
    let learned = outcome(Method::LearnedSpeeds, factors);
    assert!(learned.in_time.abs_diff(equal.in_time) * 50 < equal.total());
}
