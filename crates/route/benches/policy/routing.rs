//! Compares `choose_holder` with random, round-robin and least-loaded routing.
//!
//! Three entries send to 18 engines. An engine prefills one prompt at a time and
//! decodes up to 16 requests at once. A cached prompt prefix shortens the prefill.
//! Entries learn an engine's load at the interval of its reports.

use base::prelude::*;
use route::{Holder, RoutingInput, choose_holder};
use std::collections::VecDeque;

use crate::events::{Events, Random, percentile};

const ENTRIES: usize = 3;
const HOLDERS: usize = 18;
const RUNNING_MAX: u32 = 16;
const ADMITTED_MAX: u32 = 18;
const STEP_US: u64 = 10_000;
const SLOW_FACTOR: u64 = 4;
const PREFILL_MISS_STEPS: u64 = 15;
const PREFILL_HIT_STEPS: u64 = 2;
const TOKENS_MEAN: f64 = 100.0;
const PREFIXES: usize = 300;
const HOT_PREFIX: u64 = 1;
const CACHED_PREFIXES: usize = 24;
const REQUESTS: usize = 16_000;
const WARM_UP: usize = 2_000;
const WAIT_US: u64 = 20_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    Random,
    RoundRobin,
    LeastLoaded,
    Choose,
    ChooseNoPrefix,
}

const POLICIES: [(Policy, &str); 5] = [
    (Policy::Random, "random"),
    (Policy::RoundRobin, "round robin"),
    (Policy::LeastLoaded, "least loaded"),
    (Policy::ChooseNoPrefix, "choose, no prefix"),
    (Policy::Choose, "choose"),
];

#[derive(Debug, Clone, Copy)]
struct Setting {
    policy: Policy,
    lag_ms: u64,
    rate_per_s: f64,
    slow: bool,
    /// Whether about a quarter of all requests share one prefix.
    hot: bool,
    seed: u64,
}

#[derive(Debug, Clone)]
struct Request {
    arrived_us: u64,
    entry: usize,
    prefix: u64,
    tokens: u64,
    excluded: Vec<AgentId>,
    measured: bool,
}

#[derive(Debug)]
struct Engine {
    step_us: u64,
    running: u32,
    queue: VecDeque<Request>,
    prefill_free_us: u64,
    cache: VecDeque<u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct LoadReport {
    running: u32,
    waiting: u32,
    reported_at_us: u64,
    sent: [u32; ENTRIES],
}

#[derive(Debug)]
enum Event {
    Arrive,
    Route(Request),
    Finish(usize),
    Report(usize),
}

#[derive(Debug, Default)]
struct Outcome {
    first_token_us: Vec<u64>,
    hits: u64,
    starts: u64,
    agent_refusals: u64,
}

struct Pool {
    setting: Setting,
    agents: Vec<AgentId>,
    domains: Vec<FailureDomainId>,
    engines: Vec<Engine>,
    reports: Vec<LoadReport>,
    events: Events<Event>,
    random: Random,
    arrived: usize,
    round_robin_next: [usize; ENTRIES],
    outcome: Outcome,
}

impl Pool {
    fn new(setting: Setting) -> Self {
        let engine = |index: usize| Engine {
            step_us: if setting.slow && index == 7 {
                STEP_US * SLOW_FACTOR
            } else {
                STEP_US
            },
            running: 0,
            queue: VecDeque::new(),
            prefill_free_us: 0,
            cache: VecDeque::new(),
        };
        let mut pool = Self {
            setting,
            agents: (0..HOLDERS)
                .map(|n| AgentId::new(&format!("a{n}")))
                .collect(),
            domains: (0..ENTRIES)
                .map(|n| FailureDomainId::new(&format!("d{n}")))
                .collect(),
            engines: (0..HOLDERS).map(engine).collect(),
            reports: vec![LoadReport::default(); HOLDERS],
            events: Events::new(),
            random: Random::new(setting.seed),
            arrived: 0,
            round_robin_next: [0, 6, 12],
            outcome: Outcome::default(),
        };
        pool.events.schedule(0, Event::Arrive);
        for index in 0..HOLDERS {
            let phase_us = setting.lag_ms * 1_000 * index as u64 / HOLDERS as u64;
            pool.events.schedule(phase_us, Event::Report(index));
        }
        pool
    }

    fn run(mut self) -> Outcome {
        while let Some((now, event)) = self.events.pop() {
            if self.arrived >= REQUESTS && self.idle() {
                break;
            }
            match event {
                Event::Arrive => self.arrive(now),
                Event::Route(request) => self.route(now, request),
                Event::Finish(index) => self.finish(now, index),
                Event::Report(index) => self.report(now, index),
            }
        }
        self.outcome.first_token_us.sort_unstable();
        self.outcome
    }

    fn idle(&self) -> bool {
        self.engines.iter().all(|engine| engine.running == 0)
    }

    fn arrive(&mut self, now: u64) {
        if self.arrived >= REQUESTS {
            return;
        }
        self.arrived += 1;
        let gap_us = self.random.exponential(1e6 / self.setting.rate_per_s);
        self.events.schedule(now + gap_us as u64 + 1, Event::Arrive);
        let request = Request {
            arrived_us: now,
            entry: self.random.below(ENTRIES),
            prefix: self.prefix(),
            tokens: self.random.exponential(TOKENS_MEAN) as u64 + 1,
            excluded: Vec::new(),
            measured: self.arrived > WARM_UP,
        };
        self.route(now, request);
    }

    /// Draws a prefix for 70 percent of the requests; few prefixes get most of
    /// them.
    fn prefix(&mut self) -> u64 {
        if self.random.uniform() < 0.3 {
            return 0;
        }
        if self.setting.hot && self.random.uniform() < 0.35 {
            return HOT_PREFIX;
        }
        let skewed = self.random.uniform() * self.random.uniform();
        1 + (skewed * PREFIXES as f64) as u64
    }

    fn route(&mut self, now: u64, mut request: Request) {
        let Some(index) = self.choose_engine(now, &request) else {
            request.excluded.clear();
            self.events.schedule(now + WAIT_US, Event::Route(request));
            return;
        };
        self.reports[index].sent[request.entry] += 1;
        let engine = &self.engines[index];
        if engine.running + engine.queue.len() as u32 >= ADMITTED_MAX {
            self.outcome.agent_refusals += 1;
            request.excluded.push(self.agents[index].clone());
            self.update_report(now, index, request.entry);
            self.events.schedule(now + 1_000, Event::Route(request));
            return;
        }
        if engine.running < RUNNING_MAX {
            self.start(now, index, &request);
        } else {
            self.engines[index].queue.push_back(request);
        }
    }

    /// Updates an entry's view of an engine, as a refusal or a report does.
    fn update_report(&mut self, now: u64, index: usize, entry: usize) {
        let engine = &self.engines[index];
        let load_report = &mut self.reports[index];
        load_report.running = engine.running;
        load_report.waiting = engine.queue.len() as u32;
        load_report.reported_at_us = now;
        load_report.sent[entry] = 0;
    }

    fn start(&mut self, now: u64, index: usize, request: &Request) {
        let engine = &mut self.engines[index];
        engine.running += 1;
        let hit = request.prefix != 0 && engine.cache.contains(&request.prefix);
        if request.prefix != 0 {
            engine.cache.retain(|prefix| *prefix != request.prefix);
            engine.cache.push_back(request.prefix);
            if engine.cache.len() > CACHED_PREFIXES {
                engine.cache.pop_front();
            }
        }
        let steps = if hit {
            PREFILL_HIT_STEPS
        } else {
            PREFILL_MISS_STEPS
        };
        let begin_us = engine.prefill_free_us.max(now);
        engine.prefill_free_us = begin_us + steps * engine.step_us;
        let first_us = engine.prefill_free_us + engine.step_us;
        let end_us = first_us + request.tokens * engine.step_us;
        self.events.schedule(end_us, Event::Finish(index));
        if request.measured {
            self.outcome.starts += 1;
            self.outcome.hits += u64::from(hit);
            self.outcome
                .first_token_us
                .push(first_us - request.arrived_us);
        }
    }

    fn finish(&mut self, now: u64, index: usize) {
        self.engines[index].running -= 1;
        if let Some(request) = self.engines[index].queue.pop_front() {
            self.start(now, index, &request);
        }
    }

    fn report(&mut self, now: u64, index: usize) {
        for entry in 0..ENTRIES {
            self.update_report(now, index, entry);
        }
        let again_us = self.setting.lag_ms.max(1) * 1_000;
        self.events.schedule(now + again_us, Event::Report(index));
    }

    fn holders(&self, now: u64, entry: usize) -> Vec<Holder<'_>> {
        let holder = |index: usize| {
            let load_report = self.reports[index];
            Holder {
                agent: &self.agents[index],
                domain: &self.domains[index % ENTRIES],
                running: load_report.running,
                waiting: load_report.waiting,
                running_max: RUNNING_MAX,
                step_time_us: self.engines[index].step_us as u32,
                report_age_ms: (now - load_report.reported_at_us) / 1_000,
                sent_since_report: load_report.sent[entry],
                suspected: false,
            }
        };
        (0..HOLDERS).map(holder).collect()
    }

    fn choose_engine(&mut self, now: u64, request: &Request) -> Option<usize> {
        let candidates: Vec<usize> = (0..HOLDERS)
            .filter(|index| !request.excluded.contains(&self.agents[*index]))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        match self.setting.policy {
            Policy::Random => Some(candidates[self.random.below(candidates.len())]),
            Policy::RoundRobin => {
                let next = &mut self.round_robin_next[request.entry];
                *next += 1;
                Some(candidates[*next % candidates.len()])
            }
            Policy::LeastLoaded => self.least_loaded(now, request, &candidates),
            Policy::Choose => self.choose(now, request, request.prefix),
            Policy::ChooseNoPrefix => self.choose(now, request, 0),
        }
    }

    fn least_loaded(
        &self,
        now: u64,
        request: &Request,
        candidates: &[usize],
    ) -> Option<usize> {
        let holders = self.holders(now, request.entry);
        let load = |index: &usize| {
            let holder = &holders[*index];
            holder.running + holder.waiting + holder.sent_since_report
        };
        candidates.iter().copied().min_by_key(load)
    }

    fn choose(&mut self, now: u64, request: &Request, prefix: u64) -> Option<usize> {
        let mut rng = self.random.0.clone();
        let holders = self.holders(now, request.entry);
        let input = RoutingInput {
            prefix_hash: prefix,
            domain: &self.domains[request.entry],
            excluded: &request.excluded,
        };
        let chosen = choose_holder(&holders, &input, &mut rng);
        let index = chosen.map(|chosen| chosen.index);
        self.random.0 = rng;
        index
    }
}

pub fn print() {
    println!("routing: time to the first token, ms; 18 holders, 3 entries, 3 seeds");
    println!(
        "{:<18} {:>5} {:>5} {:>4} | {:>6} {:>6} {:>6} | {:>5} {:>8}",
        "policy", "req/s", "lag", "case", "p50", "p95", "p99", "hit%", "refused"
    );
    for (slow, hot, rate_per_s) in [
        (false, false, 90.0),
        (true, false, 90.0),
        (false, true, 90.0),
        (false, false, 100.0),
    ] {
        for lag_ms in [0, 250, 1_000] {
            for (policy, name) in POLICIES {
                let setting = Setting {
                    policy,
                    lag_ms,
                    rate_per_s,
                    slow,
                    hot,
                    seed: 0,
                };
                row(name, setting);
            }
        }
    }
}

fn row(name: &str, setting: Setting) {
    let mut all = Outcome::default();
    for seed in 1..=3 {
        let setting = Setting { seed, ..setting };
        let outcome = Pool::new(setting).run();
        all.first_token_us.extend(outcome.first_token_us);
        all.hits += outcome.hits;
        all.starts += outcome.starts;
        all.agent_refusals += outcome.agent_refusals;
    }
    all.first_token_us.sort_unstable();
    let ms = |percent| percentile(&all.first_token_us, percent) / 1_000;
    println!(
        "{name:<18} {:>5} {:>5} {:>4} | {:>6} {:>6} {:>6} | {:>5.1} {:>8}",
        setting.rate_per_s,
        setting.lag_ms,
        match (setting.slow, setting.hot) {
            (true, _) => "slow",
            (_, true) => "hot",
            _ => "",
        },
        ms(50),
        ms(95),
        ms(99),
        all.hits as f64 * 100.0 / all.starts.max(1) as f64,
        all.agent_refusals,
    );
}
