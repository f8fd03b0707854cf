//! Fake of an upstream: an engine or a plain service.

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

use super::Simulation;
use super::event_queue::{ProcessIncarnation, SimEvent};
use crate::script::{InstanceDecl, UpstreamFault};

/// Latency between an upstream and its agent.
const LOCAL_LATENCY: Duration = Duration::from_micros(200);

/// A fake upstream.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    is_engine: bool,
    accelerators_mib: Vec<u32>,
    /// Requests that it runs at once.
    slots: usize,
    step_us: u64,
    load_ms: u64,
    checks_fencing: bool,
    /// Counts the starts of the upstream, from 1.
    incarnation: u64,
    up: bool,
    residents: Vec<HeldModel>,
    /// Every order received by this incarnation, by order id.
    orders: BTreeMap<u64, UpstreamOrder>,
    /// Orders being carried out, by order id.
    orders_in_progress: BTreeMap<u64, Order>,
    highest_fencing_epoch: u64,
    /// Running attempts in order of arrival; those beyond `slots` wait.
    attempts: Vec<RunningAttempt>,
    step_scheduled: bool,
    step_time_factor: u64,
    load_time_factor: u64,
    requests_to_fail: u32,
    orders_to_lose: u32,
    orders_to_delay: u32,
    order_delay_ms: u64,
    pub(crate) requests_received: u64,
    pub(crate) crashes: u64,
    /// Number of runs by request body.
    pub(crate) runs_by_body: BTreeMap<String, u64>,
    /// Number of runs by caller and idempotency key.
    pub(crate) runs_by_key: BTreeMap<(String, String), u64>,
}

#[derive(Debug, Clone)]
struct HeldModel {
    reported: UpstreamResident,
    /// An unload order for it is in progress.
    unloading: bool,
}

#[derive(Debug)]
struct RunningAttempt {
    process: String,
    incarnation: ProcessIncarnation,
    attempt: AttemptId,
    run: Box<Run>,
    body: String,
    units_produced: u64,
}

impl FakeUpstream {
    pub(crate) fn new(instance: &InstanceDecl, fleet: &Fleet) -> Self {
        let pool = fleet.pools.get(&instance.pool).cloned().unwrap_or_default();
        Self {
            is_engine: pool.kind == "engine",
            slots: pool.concurrent_max as usize * pool.accelerators_mib.len().max(1),
            accelerators_mib: pool.accelerators_mib,
            step_us: u64::from(pool.step_time_us),
            load_ms: fleet.store.map_or(2_000, |store| store.load_time_ms.into()),
            checks_fencing: pool.checks_fencing,
            incarnation: 1,
            up: true,
            residents: Vec::new(),
            orders: BTreeMap::new(),
            orders_in_progress: BTreeMap::new(),
            highest_fencing_epoch: 0,
            attempts: Vec::new(),
            step_scheduled: false,
            step_time_factor: 1,
            load_time_factor: 1,
            requests_to_fail: 0,
            orders_to_lose: 0,
            orders_to_delay: 0,
            order_delay_ms: 0,
            requests_received: 0,
            crashes: 0,
            runs_by_body: BTreeMap::new(),
            runs_by_key: BTreeMap::new(),
        }
    }

    /// The answer of the upstream to a poll by its agent.
    pub(crate) fn report(&self) -> UpstreamEvent {
        if !self.up {
            return UpstreamEvent::Down;
        }
        let running = self.attempts.len().min(self.slots);
        UpstreamEvent::Report(UpstreamReport {
            incarnation: self.incarnation,
            residents: self.residents.iter().map(|r| r.reported.clone()).collect(),
            orders: self.orders.values().copied().collect(),
            highest_fencing_epoch: self.highest_fencing_epoch,
            running: running as u32,
            waiting: (self.attempts.len() - running) as u32,
            step_time_us: (self.step_us * self.step_time_factor) as u32,
            age_ms: 50,
        })
    }

    /// Whether a model or adapter is loaded and not being unloaded.
    pub(crate) fn has_loaded(&self, model: &str) -> bool {
        let mut residents = self.residents.iter();
        residents.any(|r| {
            r.reported.model.as_str() == model && r.reported.loaded && !r.unloading
        })
    }

    /// Returns the first accelerator whose models exceed its memory.
    fn overcommitted_accelerator(&self) -> Option<u32> {
        let sizes = |accelerator: u32| -> u32 {
            let on = self.residents.iter();
            let on = on.filter(|r| r.reported.accelerator == accelerator);
            on.map(|r| r.reported.size_mib).sum()
        };
        let mut all = self.accelerators_mib.iter().zip(0..);
        let overcommitted_accelerator =
            all.find(|(capacity, accelerator)| sizes(*accelerator) > **capacity);
        overcommitted_accelerator.map(|(_, accelerator)| accelerator)
    }

    fn can_serve(&self, run: &Run) -> bool {
        let mut residents = self.residents.iter();
        !self.is_engine
            || residents.any(|r| {
                r.reported.loaded
                    && r.reported.model.as_str() == run.model
                    && r.reported.version == run.version
            })
    }

    /// Answers an order and tells whether the upstream began to carry it out. It
    /// does not if it refuses the order or already has it.
    fn accept(&mut self, order: &Order) -> (OrderAnswer, bool) {
        if self.checks_fencing && order.fencing_epoch.0 < self.highest_fencing_epoch {
            return (OrderAnswer::Fenced, false);
        }
        self.highest_fencing_epoch =
            self.highest_fencing_epoch.max(order.fencing_epoch.0);
        if self.orders.contains_key(&order.id) {
            return (OrderAnswer::Accepted, false);
        }
        let state = UpstreamOrder {
            order: order.id,
            fencing_epoch: order.fencing_epoch.0,
            state: UpstreamOrderState::InProgress,
        };
        self.orders.insert(order.id, state);
        self.orders_in_progress.insert(order.id, order.clone());
        let resident = self.residents.iter_mut().find(|r| {
            r.reported.model == order.model
                && r.reported.accelerator == order.accelerator
        });
        match (resident, order.load) {
            (Some(resident), false) => resident.unloading = true,
            (None, true) => self.residents.push(HeldModel {
                reported: UpstreamResident {
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

    fn complete_order(&mut self, id: u64) {
        let Some(order) = self.orders_in_progress.remove(&id) else {
            return;
        };
        if let Some(state) = self.orders.get_mut(&id) {
            state.state = UpstreamOrderState::Done;
        }
        let is_target = |r: &HeldModel| {
            r.reported.model == order.model
                && r.reported.accelerator == order.accelerator
        };
        if order.load {
            let resident = self.residents.iter_mut().find(|r| is_target(r));
            resident.into_iter().for_each(|r| r.reported.loaded = true);
        } else {
            self.residents.retain(|r| !is_target(r));
        }
    }
}

impl Simulation<'_> {
    fn notify_agent(
        &mut self,
        process: &str,
        incarnation: ProcessIncarnation,
        event: UpstreamEvent,
        payload: String,
    ) {
        let sim_event = SimEvent::AgentEvent {
            process: process.to_owned(),
            incarnation,
            event: Box::new(AgentEvent::Upstream(event)),
            payload,
        };
        self.events.schedule(self.now + LOCAL_LATENCY, sim_event);
    }

    pub(crate) fn crash(&mut self, instance: &str, restart_ms: u64) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        upstream.crashes += 1;
        upstream.up = false;
        upstream.incarnation += 1;
        upstream.step_scheduled = false;
        upstream.residents.clear();
        upstream.orders.clear();
        upstream.orders_in_progress.clear();
        upstream.highest_fencing_epoch = 0;
        let lost = std::mem::take(&mut upstream.attempts);
        self.log(instance, "upstream crashes");
        for running in lost {
            let event = UpstreamEvent::Failed {
                attempt: running.attempt,
                ran: RunStatus::Ran,
                status: 0,
                broken: true,
            };
            self.notify_agent(
                &running.process,
                running.incarnation,
                event,
                String::new(),
            );
        }
        self.notify_agents_down(instance);
        let instance = instance.to_owned();
        let at = self.now.plus_ms(restart_ms);
        self.events
            .schedule(at, SimEvent::UpstreamRestarts { instance });
    }

    fn notify_agents_down(&mut self, instance: &str) {
        let agents = self.agents.iter();
        let agents_of_instance = agents.filter(|(_, proc)| proc.instance == instance);
        let agents_of_instance: Vec<_> = agents_of_instance
            .map(|(n, proc)| (n.clone(), proc.incarnation))
            .collect();
        for (process, incarnation) in agents_of_instance {
            self.notify_agent(
                &process,
                incarnation,
                UpstreamEvent::Down,
                String::new(),
            );
        }
    }

    pub(crate) fn upstream_restarts(&mut self, instance: &str) {
        self.log(instance, "upstream restarts without loaded models");
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
            UpstreamFault::Slow { factor } => upstream.step_time_factor = factor.into(),
            UpstreamFault::SlowLoads { factor } => {
                upstream.load_time_factor = factor.into();
            }
            UpstreamFault::Fail { count } => upstream.requests_to_fail = count,
            UpstreamFault::LoseOrders { count } => upstream.orders_to_lose = count,
            UpstreamFault::DelayOrders { count, by_ms } => {
                upstream.orders_to_delay = count;
                upstream.order_delay_ms = by_ms;
            }
        }
    }
}
