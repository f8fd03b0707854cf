//! Fakes of an engine and of a plain service.

use base::prelude::*;
use role::agent::{
    AgentEvent, Order, OrderAnswer, UpstreamEvent, UpstreamOrder, UpstreamOrderState,
    UpstreamReport, UpstreamResident,
};
use schema::link::Run;
use schema::settings::Fleet;
use std::collections::BTreeMap;

use super::World;
use super::caller::{service_answer, token};
use super::queue::{HandOver, Happening, Start};
use crate::script::{InstanceDecl, UpstreamFault};

/// Time between an upstream and its agent.
const LOCAL: Duration = Duration::from_micros(200);

/// Time an unload takes.
const UNLOAD_MS: u64 = 50;

/// Time a plain service works on a call.
const SERVICE_MS: u64 = 50;

/// Time after which an agent gives up waiting for the answer to an order.
const ORDER_TIMEOUT_MS: u64 = 1_000;

/// Time until an engine that a request killed is back.
const CRASH_RESTART_MS: u64 = 1_000;

/// One upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    engine: bool,
    accelerators_mib: Vec<u32>,
    places: usize,
    step_us: u64,
    load_ms: u64,
    checks_fencing: bool,
    /// Identifies one run of the upstream.
    run: u64,
    up: bool,
    residents: Vec<Resident>,
    orders: BTreeMap<u64, UpstreamOrder>,
    /// Orders being carried out.
    pending: BTreeMap<u64, Order>,
    fence: u64,
    attempts: Vec<Running>,
    stepping: bool,
    slow: u64,
    slow_loads: u64,
    failures: u32,
    lose_orders: u32,
    delay_orders: u32,
    delay_orders_ms: u64,
    pub(crate) handed: u64,
    pub(crate) crashes: u64,
    /// Runs by body.
    pub(crate) runs: BTreeMap<String, u64>,
    /// Runs of calls with a key, by caller and key.
    pub(crate) keyed: BTreeMap<(String, String), u64>,
}

#[derive(Debug, Clone)]
struct Resident {
    shown: UpstreamResident,
    unloading: bool,
}

#[derive(Debug)]
struct Running {
    process: String,
    start: Start,
    attempt: AttemptId,
    run: Box<Run>,
    body: String,
    produced: u64,
}

impl Upstream {
    pub(crate) fn new(instance: &InstanceDecl, fleet: &Fleet) -> Self {
        let pool = fleet.pools.get(&instance.pool).cloned().unwrap_or_default();
        Self {
            engine: pool.kind == "engine",
            places: pool.concurrent_max as usize * pool.accelerators_mib.len().max(1),
            accelerators_mib: pool.accelerators_mib,
            step_us: u64::from(pool.step_time_us),
            load_ms: fleet.store.map_or(2_000, |store| store.load_time_ms.into()),
            checks_fencing: pool.checks_fencing,
            run: 1,
            up: true,
            residents: Vec::new(),
            orders: BTreeMap::new(),
            pending: BTreeMap::new(),
            fence: 0,
            attempts: Vec::new(),
            stepping: false,
            slow: 1,
            slow_loads: 1,
            failures: 0,
            lose_orders: 0,
            delay_orders: 0,
            delay_orders_ms: 0,
            handed: 0,
            crashes: 0,
            runs: BTreeMap::new(),
            keyed: BTreeMap::new(),
        }
    }

    /// What the upstream says of itself.
    pub(crate) fn report(&self) -> UpstreamEvent {
        if !self.up {
            return UpstreamEvent::Down;
        }
        let running = self.attempts.len().min(self.places);
        UpstreamEvent::Report(UpstreamReport {
            incarnation: self.run,
            residents: self.residents.iter().map(|r| r.shown.clone()).collect(),
            orders: self.orders.values().copied().collect(),
            fence: self.fence,
            running: running as u32,
            waiting: (self.attempts.len() - running) as u32,
            step_time_us: (self.step_us * self.slow) as u32,
            age_ms: 50,
        })
    }

    /// Whether a model can serve.
    pub(crate) fn holds(&self, model: &str) -> bool {
        let mut residents = self.residents.iter();
        residents
            .any(|r| r.shown.model.as_str() == model && r.shown.loaded && !r.unloading)
    }

    fn overcommitted(&self) -> Option<u32> {
        let sizes = |accelerator: u32| -> u32 {
            let on = self.residents.iter();
            let on = on.filter(|r| r.shown.accelerator == accelerator);
            on.map(|r| r.shown.size_mib).sum()
        };
        let mut all = self.accelerators_mib.iter().zip(0..);
        let over = all.find(|(capacity, accelerator)| sizes(*accelerator) > **capacity);
        over.map(|(_, accelerator)| accelerator)
    }

    fn serves(&self, run: &Run) -> bool {
        let mut residents = self.residents.iter();
        !self.engine
            || residents.any(|r| {
                r.shown.loaded
                    && r.shown.model.as_str() == run.model
                    && r.shown.version == run.version
            })
    }

    /// Takes an order; `None` if it refuses or already has it.
    fn accept(&mut self, order: &Order) -> (OrderAnswer, bool) {
        if self.checks_fencing && order.fence.0 < self.fence {
            return (OrderAnswer::Fenced, false);
        }
        self.fence = self.fence.max(order.fence.0);
        if self.orders.contains_key(&order.id) {
            return (OrderAnswer::Accepted, false);
        }
        let state = UpstreamOrder {
            order: order.id,
            fence: order.fence.0,
            state: UpstreamOrderState::InProgress,
        };
        self.orders.insert(order.id, state);
        self.pending.insert(order.id, order.clone());
        let resident = self.residents.iter_mut().find(|r| {
            r.shown.model == order.model && r.shown.accelerator == order.accelerator
        });
        match (resident, order.load) {
            (Some(resident), false) => resident.unloading = true,
            (None, true) => self.residents.push(Resident {
                shown: UpstreamResident {
                    model: order.model.clone(),
                    version: order.version,
                    accelerator: order.accelerator,
                    size_mib: order.size_mib,
                    loaded: false,
                },
                unloading: false,
            }),
            (Some(_), true) | (None, false) => {}
        }
        (OrderAnswer::Accepted, true)
    }

    fn finish_order(&mut self, id: u64) {
        let Some(order) = self.pending.remove(&id) else {
            return;
        };
        if let Some(state) = self.orders.get_mut(&id) {
            state.state = UpstreamOrderState::Done;
        }
        let is_meant = |r: &Resident| {
            r.shown.model == order.model && r.shown.accelerator == order.accelerator
        };
        if order.load {
            let resident = self.residents.iter_mut().find(|r| is_meant(r));
            resident.into_iter().for_each(|r| r.shown.loaded = true);
        } else {
            self.residents.retain(|r| !is_meant(r));
        }
    }
}

impl World<'_> {
    fn tell_agent(
        &mut self,
        process: &str,
        start: Start,
        event: UpstreamEvent,
        payload: String,
    ) {
        let happening = Happening::Agent {
            process: process.to_owned(),
            start,
            event: Box::new(AgentEvent::Upstream(event)),
            payload,
        };
        self.queue.add(self.now + LOCAL, happening);
    }

    /// A request reaches an upstream.
    pub(crate) fn hand_over(&mut self, hand_over: HandOver) {
        let HandOver {
            process,
            start,
            instance,
            attempt,
            run,
        } = hand_over;
        let Some(upstream) = self.upstreams.get_mut(&instance) else {
            return;
        };
        if !upstream.up || !upstream.serves(&run) {
            let event = UpstreamEvent::Failed {
                attempt,
                ran: Ran::NotRun,
                status: 503,
                broken: false,
            };
            self.tell_agent(&process, start, event, String::new());
            return;
        }
        let body = String::from_utf8_lossy(&run.body).into_owned();
        upstream.handed += 1;
        *upstream.runs.entry(body.clone()).or_default() += 1;
        if !run.idempotent && !run.idempotency_key.is_empty() {
            let key = (run.caller.clone(), run.idempotency_key.clone());
            *upstream.keyed.entry(key).or_default() += 1;
        }
        if upstream.failures > 0 {
            if upstream.failures < u32::MAX {
                upstream.failures -= 1;
            }
            self.callers.ran(attempt);
            self.log(&instance, &format!("upstream fails attempt {attempt}"));
            let event = UpstreamEvent::Failed {
                attempt,
                ran: Ran::Ran,
                status: 500,
                broken: false,
            };
            self.tell_agent(&process, start, event, String::new());
            return;
        }
        let engine = upstream.engine;
        let produced = run.resume_offset;
        upstream.attempts.push(Running {
            process: process.clone(),
            start,
            attempt,
            run,
            body: body.clone(),
            produced,
        });
        self.callers.ran(attempt);
        self.log(
            &instance,
            &format!("upstream runs {body} as attempt {attempt}"),
        );
        let started = UpstreamEvent::Started { attempt };
        self.tell_agent(&process, start, started, String::new());
        if engine {
            self.plan_step(&instance);
        } else {
            let done = Happening::ServiceDone { instance, attempt };
            self.queue.add(self.now.plus_ms(SERVICE_MS), done);
        }
    }

    fn plan_step(&mut self, instance: &str) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        if upstream.stepping || upstream.attempts.is_empty() {
            return;
        }
        upstream.stepping = true;
        let step = Duration::from_micros(upstream.step_us * upstream.slow);
        let happening = Happening::EngineStep {
            instance: instance.to_owned(),
            run: upstream.run,
        };
        self.queue.add(self.now + step, happening);
    }

    /// One step of an engine: each request in the batch gets a token.
    pub(crate) fn engine_step(&mut self, instance: &str, run: u64) {
        let bodies = std::mem::take(&mut self.crash_bodies);
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        if upstream.run != run || !upstream.up {
            self.crash_bodies = bodies;
            return;
        }
        upstream.stepping = false;
        let places = upstream.places;
        let batch = upstream.attempts.iter().take(places);
        let kills = batch.into_iter().any(|r| bodies.contains(&r.body));
        self.crash_bodies = bodies;
        if kills {
            self.crash(instance, CRASH_RESTART_MS);
            return;
        }
        let mut told = Vec::new();
        for running in upstream.attempts.iter_mut().take(places) {
            let total = u64::from(running.run.tokens_max);
            let to = (running.process.clone(), running.start);
            let attempt = running.attempt;
            if running.produced < total {
                let version = running.run.version;
                let payload = token(&running.body, version, running.produced);
                running.produced += 1;
                told.push((to.clone(), part(attempt, 1), payload));
            }
            if running.produced >= total {
                told.push((to, done(attempt), String::new()));
            }
        }
        upstream
            .attempts
            .retain(|r| r.produced < u64::from(r.run.tokens_max));
        for ((process, start), event, payload) in told {
            self.tell_agent(&process, start, event, payload);
        }
        self.plan_step(instance);
    }

    pub(crate) fn service_done(&mut self, instance: &str, attempt: AttemptId) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        let at = upstream.attempts.iter().position(|r| r.attempt == attempt);
        let Some(at) = at else {
            return;
        };
        let running = upstream.attempts.remove(at);
        let answer = service_answer(&running.body);
        let units = answer.len() as u32;
        let (process, start) = (running.process, running.start);
        let run = &running.run;
        let event = if run.idempotent || run.idempotency_key.is_empty() {
            part(attempt, units)
        } else {
            UpstreamEvent::KeyedPart {
                attempt,
                units,
                payload: answer.clone().into_bytes(),
            }
        };
        self.tell_agent(&process, start, event, answer);
        self.tell_agent(&process, start, done(attempt), String::new());
    }

    /// An agent closes its connection for an attempt.
    pub(crate) fn stop_attempt(&mut self, process: &str, attempt: AttemptId) {
        let Some(node) = self.agents.get(process) else {
            return;
        };
        let upstream = self.upstreams.get_mut(&node.instance);
        if let Some(upstream) = upstream.filter(|upstream| upstream.engine) {
            upstream.attempts.retain(|r| r.attempt != attempt);
        }
    }

    /// An agent is gone: an engine stops what it ran for it, while a plain
    /// service finishes its calls and finds nobody to answer.
    pub(crate) fn agent_connections_end(&mut self, instance: &str, start: Start) {
        let upstream = self.upstreams.get_mut(instance);
        if let Some(upstream) = upstream.filter(|upstream| upstream.engine) {
            upstream.attempts.retain(|r| r.start != start);
        }
    }

    pub(crate) fn crash(&mut self, instance: &str, restart_ms: u64) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        upstream.crashes += 1;
        upstream.up = false;
        upstream.run += 1;
        upstream.stepping = false;
        upstream.residents.clear();
        upstream.orders.clear();
        upstream.pending.clear();
        upstream.fence = 0;
        let lost = std::mem::take(&mut upstream.attempts);
        self.log(instance, "upstream dies");
        for running in lost {
            let event = UpstreamEvent::Failed {
                attempt: running.attempt,
                ran: Ran::Ran,
                status: 0,
                broken: true,
            };
            self.tell_agent(&running.process, running.start, event, String::new());
        }
        self.tell_agents_down(instance);
        let instance = instance.to_owned();
        let at = self.now.plus_ms(restart_ms);
        self.queue.add(at, Happening::UpstreamBack { instance });
    }

    fn tell_agents_down(&mut self, instance: &str) {
        let agents = self.agents.iter();
        let beside = agents.filter(|(_, node)| node.instance == instance);
        let beside: Vec<_> = beside.map(|(n, node)| (n.clone(), node.start)).collect();
        for (process, start) in beside {
            self.tell_agent(&process, start, UpstreamEvent::Down, String::new());
        }
    }

    pub(crate) fn upstream_back(&mut self, instance: &str) {
        self.log(instance, "upstream is back, empty");
        if let Some(upstream) = self.upstreams.get_mut(instance) {
            upstream.up = true;
        }
    }

    /// An agent sends an order.
    pub(crate) fn send_order(&mut self, process: &str, order: Order) {
        let Some(node) = self.agents.get(process) else {
            return;
        };
        let start = node.start;
        let instance = node.instance.clone();
        let Some(upstream) = self.upstreams.get_mut(&instance) else {
            return;
        };
        let word = if order.load { "load" } else { "unload" };
        let text = format!("orders {word} {} as {}", order.model, order.id);
        let mut late_ms = None;
        if upstream.lose_orders > 0 {
            upstream.lose_orders -= 1;
            self.log(process, &format!("{text}; it is lost"));
            self.order_unanswered(process, start, order.id);
            return;
        }
        if upstream.delay_orders > 0 {
            upstream.delay_orders -= 1;
            late_ms = Some(upstream.delay_orders_ms);
        }
        self.log(process, &text);
        let at = self.now + LOCAL + Duration::from_millis(late_ms.unwrap_or(0));
        if late_ms.is_some() {
            self.order_unanswered(process, start, order.id);
        }
        let happening = Happening::Order {
            instance,
            from: (process.to_owned(), start),
            order,
            answered: late_ms.is_none(),
        };
        self.queue.add(at, happening);
    }

    fn order_unanswered(&mut self, process: &str, start: Start, order: u64) {
        let happening = Happening::Agent {
            process: process.to_owned(),
            start,
            event: Box::new(AgentEvent::Upstream(UpstreamEvent::OrderAnswered {
                order,
                answer: OrderAnswer::Unanswered,
            })),
            payload: String::new(),
        };
        self.queue
            .add(self.now.plus_ms(ORDER_TIMEOUT_MS), happening);
    }

    /// An order reaches an upstream, whoever sent it and whenever.
    pub(crate) fn order_arrives(
        &mut self,
        instance: &str,
        from: &(String, Start),
        order: &Order,
        answered: bool,
    ) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        let (answer, begun) = if upstream.up {
            upstream.accept(order)
        } else {
            (OrderAnswer::Unanswered, false)
        };
        let over = upstream.overcommitted();
        let run = upstream.run;
        let took_ms = if order.load {
            upstream.load_ms * upstream.slow_loads
        } else {
            UNLOAD_MS
        };
        self.log(
            instance,
            &format!("upstream gets order {}: {answer:?}", order.id),
        );
        if let Some(accelerator) = over {
            self.fail(&format!(
                "{instance} accelerator {accelerator} is overcommitted"
            ));
        }
        if begun {
            let happening = Happening::OrderDone {
                instance: instance.to_owned(),
                run,
                order: order.id,
            };
            self.queue.add(self.now.plus_ms(took_ms), happening);
        }
        if answered {
            let event = UpstreamEvent::OrderAnswered {
                order: order.id,
                answer,
            };
            self.tell_agent(&from.0, from.1, event, String::new());
        }
    }

    pub(crate) fn order_done(&mut self, instance: &str, run: u64, order: u64) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        if upstream.run == run {
            upstream.finish_order(order);
            self.log(instance, &format!("upstream ends order {order}"));
        }
    }

    pub(crate) fn upstream_fault(&mut self, instance: &str, fault: UpstreamFault) {
        self.log(instance, &format!("upstream: {fault:?}"));
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        match fault {
            UpstreamFault::Crash { restart_ms } => self.crash(instance, restart_ms),
            UpstreamFault::Slow { factor } => upstream.slow = factor.into(),
            UpstreamFault::SlowLoads { factor } => upstream.slow_loads = factor.into(),
            UpstreamFault::Fail { count } => upstream.failures = count,
            UpstreamFault::LoseOrders { count } => upstream.lose_orders = count,
            UpstreamFault::DelayOrders { count, by_ms } => {
                upstream.delay_orders = count;
                upstream.delay_orders_ms = by_ms;
            }
        }
    }
}

fn part(attempt: AttemptId, units: u32) -> UpstreamEvent {
    UpstreamEvent::Part { attempt, units }
}

fn done(attempt: AttemptId) -> UpstreamEvent {
    UpstreamEvent::Done {
        attempt,
        status: 200,
        content_type: "application/json".into(),
    }
}
