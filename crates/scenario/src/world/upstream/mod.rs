//! Fakes of an engine and of a plain service.

mod orders;
mod serve;

use base::prelude::*;
use role::agent::{
    AgentEvent, Order, OrderAnswer, UpstreamEvent, UpstreamOrder, UpstreamOrderState,
    UpstreamReport, UpstreamResident,
};
use schema::link::Run;
use schema::settings::Fleet;
use std::collections::BTreeMap;

use super::World;
use super::queue::{Happening, Start};
use crate::script::{InstanceDecl, UpstreamFault};

/// Time between an upstream and its agent.
const LOCAL: Duration = Duration::from_micros(200);

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
            highest_fencing_epoch: self.fence,
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
        if self.checks_fencing && order.fencing_epoch.0 < self.fence {
            return (OrderAnswer::Fenced, false);
        }
        self.fence = self.fence.max(order.fencing_epoch.0);
        if self.orders.contains_key(&order.id) {
            return (OrderAnswer::Accepted, false);
        }
        let state = UpstreamOrder {
            order: order.id,
            fencing_epoch: order.fencing_epoch.0,
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
                ran: RunStatus::Ran,
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
