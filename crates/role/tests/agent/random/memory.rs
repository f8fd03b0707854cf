//! Randomized test: successive agents beside one engine never overcommit its
//! memory.

use super::{SEED, cases};
use crate::fixtures::*;
use arbtest::arbitrary::{Result, Unstructured};
use base::prelude::*;
use base::{PlatformOp, PlatformResult};
use role::agent::{AgentEvent, Order, OrderAnswer, UpstreamEvent, UpstreamReport};
use schema::link::frame;
use std::collections::VecDeque;

const CAPACITY_MIB: u64 = 100;
const MODELS: [&str; 4] = ["a", "b", "c", "a-adapter"];

/// An order in flight from an agent to the engine.
struct InFlightOrder {
    agent: usize,
    order: Order,
    age_ms: u64,
}

/// Successive agents beside one engine, each of which may be frozen or killed.
struct Simulation {
    platform: Platform,
    engine: Engine,
    agents: Vec<TestAgent>,
    frozen: Vec<bool>,
    dead: Vec<bool>,
    in_flight_orders: Vec<InFlightOrder>,
    /// The engine's most recent reports, any of which may be delivered.
    reports: VecDeque<(Instant, UpstreamReport)>,
    /// Writes that take effect later.
    delayed_writes: Vec<PlatformOp>,
    now: Instant,
    /// Models in the last target.
    wanted: Vec<(&'static str, u32)>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            platform: Platform::new(),
            engine: Engine::new(),
            agents: Vec::new(),
            frozen: Vec::new(),
            dead: Vec::new(),
            in_flight_orders: Vec::new(),
            reports: VecDeque::new(),
            delayed_writes: Vec::new(),
            now: Instant::from_ms(1_000),
            wanted: Vec::new(),
        };
        simulation.start_agent();
        simulation
    }

    fn start_agent(&mut self) {
        let index = self.agents.len() as u64;
        let address = format!("127.0.0.1:{}", index + 1);
        let mut agent = TestAgent::start(10 + index, "engines", &address, self.now);
        agent.link_up(ENTRY);
        self.agents.push(agent);
        self.frozen.push(false);
        self.dead.push(false);
    }

    fn is_awake(&self, index: usize) -> bool {
        !self.frozen[index] && !self.dead[index]
    }

    /// Advances time for all processes that are not frozen. A sent order
    /// arrives within the configured delay or never; an order of a frozen
    /// sender may not have been sent yet, so it does not age.
    fn advance_time(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        for index in 0..self.agents.len() {
            if self.is_awake(index) {
                let elapsed_ms = self.now.ms_since(self.agents[index].now);
                self.agents[index].advance_time(elapsed_ms);
            }
        }
        for in_flight in &mut self.in_flight_orders {
            if !self.frozen[in_flight.agent] {
                in_flight.age_ms += ms;
            }
        }
        self.in_flight_orders
            .retain(|in_flight| in_flight.age_ms < ORDER_DELAY_MS);
    }

    /// Catches up the clock of an agent that has just woken.
    fn catch_up(&mut self, index: usize) {
        if self.is_awake(index) {
            self.agents[index].now = self.now;
        }
    }

    /// The platform answers a call, is unavailable, or loses the answer, with
    /// the write taking effect at once, later or never.
    fn answer(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let agent = &mut self.agents[index];
        let Some(call) = agent.calls.pop_front() else {
            return Ok(());
        };
        let result = match u.int_in_range(0..=12)? {
            0 => PlatformResult::Unavailable,
            1 => PlatformResult::Unanswered,
            2 => {
                self.platform.apply(&call.op);
                PlatformResult::Unanswered
            }
            3 => {
                self.delayed_writes.push(call.op.clone());
                PlatformResult::Unanswered
            }
            _ => self.platform.apply(&call.op),
        };
        agent.answer_call(call.id, result);
        Ok(())
    }

    fn collect_orders(&mut self) {
        for (index, agent) in self.agents.iter_mut().enumerate() {
            let loads = agent.orders.iter().any(|order| order.load);
            assert!(
                !loads || agent.in_use_mib() <= CAPACITY_MIB,
                "a load was sent that does not fit"
            );
            let orders = agent.orders.drain(..);
            self.in_flight_orders
                .extend(orders.map(|order| InFlightOrder {
                    agent: index,
                    order,
                    age_ms: 0,
                }));
        }
    }

    /// An order in flight arrives, is lost, or its answer is lost.
    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.in_flight_orders.is_empty() {
            return Ok(());
        }
        let chosen = u.choose_index(self.in_flight_orders.len())?;
        let in_flight = self.in_flight_orders.remove(chosen);
        let index = in_flight.agent;
        let order = in_flight.order.id;
        let answer = match u.int_in_range(0..=4)? {
            0 => OrderAnswer::Unanswered,
            1 => {
                self.engine.accept_order(&in_flight.order);
                OrderAnswer::Unanswered
            }
            // No answer now, but the order takes effect later.
            2 => {
                self.in_flight_orders.push(in_flight);
                OrderAnswer::Unanswered
            }
            _ => self.engine.accept_order(&in_flight.order),
        };
        if self.is_awake(index) {
            let event = UpstreamEvent::OrderAnswered { order, answer };
            self.agents[index].upstream_event(event);
        }
        Ok(())
    }

    /// The engine makes a report and one of the last few is delivered, so that
    /// an agent may see reports late and out of order.
    fn report(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        // No two reports are made in the same millisecond.
        self.advance_time(1);
        self.reports.push_back((self.now, self.engine.report()));
        if self.reports.len() > 4 {
            self.reports.pop_front();
        }
        let chosen = u.choose_index(self.reports.len())?;
        let (made_at, report) = &self.reports[chosen];
        let age_ms = u32::try_from(self.now.ms_since(*made_at)).unwrap_or(u32::MAX);
        let report = UpstreamReport {
            age_ms,
            ..report.clone()
        };
        self.agents[index].upstream_event(UpstreamEvent::Report(report));
        Ok(())
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let index = u.choose_index(self.agents.len())?;
        let awake = self.is_awake(index);
        match u.int_in_range(0..=20)? {
            0..=4 if awake => self.answer(index, u)?,
            5..=7 => self.deliver(u)?,
            8 => self.engine.finish_orders(),
            9..=11 if awake => self.report(index, u)?,
            12 => {
                let count = u.int_in_range(0..=2)?;
                self.wanted.clear();
                for _ in 0..count {
                    self.wanted.push((*u.choose(&MODELS)?, 1));
                }
                self.send_target(index);
            }
            13 if awake => self.send_target(index),
            14 | 15 => self.advance_time(u.int_in_range(1..=1_500)?),
            16 => {
                self.frozen[index] = u.int_in_range(0..=2)? == 0;
                self.catch_up(index);
            }
            17 if self.agents.len() < 4 && u.int_in_range(0..=3)? == 0 => {
                self.start_agent();
            }
            18 if awake => self.request(index, u)?,
            19 => self.rare_fault(index, u)?,
            _ => {
                for op in std::mem::take(&mut self.delayed_writes) {
                    self.platform.apply(&op);
                }
            }
        }
        self.answer_probes();
        self.collect_orders();
        Ok(())
    }

    /// The engine restarts, or an agent that has a successor dies.
    fn rare_fault(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=7)? {
            0 => {
                self.engine.restart();
                // Orders that were being sent to the previous run of the engine
                // are lost.
                let frozen = &self.frozen;
                self.in_flight_orders
                    .retain(|in_flight| !frozen[in_flight.agent]);
            }
            1 | 2 if index + 1 < self.agents.len() => self.dead[index] = true,
            _ => {}
        }
        Ok(())
    }

    /// Answers the probes: a live process, frozen or not, holds its address.
    fn answer_probes(&mut self) {
        for index in 0..self.agents.len() {
            if !self.is_awake(index) {
                continue;
            }
            for address in std::mem::take(&mut self.agents[index].probes) {
                let dead = (0..self.agents.len()).any(|other| {
                    self.dead[other] && address == format!("127.0.0.1:{}", other + 1)
                });
                self.agents[index].handle(AgentEvent::PredecessorProbed { dead });
            }
        }
    }

    fn send_target(&mut self, index: usize) {
        if self.is_awake(index) {
            let wanted = self.wanted.clone();
            self.agents[index].receive_target("p", 1, &wanted);
        }
    }

    fn request(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let agent = &mut self.agents[index];
        if let Some((attempt, _)) = agent.starts.pop() {
            agent.complete_attempt(attempt.sequence);
            return Ok(());
        }
        let sequence = u.arbitrary::<u16>()?;
        let incarnation = agent.incarnation();
        let model = *u.choose(&MODELS)?;
        let run = model_run(u64::from(sequence), incarnation, model);
        agent.receive_frame(frame::Body::Run(run));
        Ok(())
    }

    fn check(&self) {
        assert!(
            u64::from(self.engine.memory_mib()) <= CAPACITY_MIB,
            "the engine is overcommitted"
        );
        // An agent that does not know yet that it was replaced may see its
        // successor's loads besides its own, and one with old reports may see
        // what its predecessor has unloaded. Neither sends orders, as
        // `collect_orders` checks.
        let record_exists = self.platform.objects.contains_key("agents/one");
        let epoch = if record_exists {
            self.platform.agent_record().epoch
        } else {
            0
        };
        for (index, agent) in self.agents.iter().enumerate() {
            let in_use = agent.in_use_mib();
            let current = self.is_awake(index)
                && agent.role.status().epoch == epoch
                && agent.role.ledger().has_current_report();
            assert!(!current || in_use <= CAPACITY_MIB, "{in_use} MiB in use");
        }
    }
}

/// Orders are lost, duplicated and late; the platform is unavailable or loses
/// answers; agents freeze, wake and are replaced while they live. In every
/// sequence, no load is sent for which the accelerator has no room.
#[test]
fn no_sequence_of_faults_overcommits() {
    let mut loads = 0;
    for case in 0..cases() {
        let seed = SEED + (case << 32);
        arbtest::arbtest(|u| {
            let mut simulation = Simulation::new();
            while !u.is_empty() {
                simulation.step(u)?;
                simulation.check();
            }
            loads += simulation
                .agents
                .iter()
                .map(|agent| agent.role.counters().loads)
                .sum::<u64>();
            Ok(())
        })
        .seed(seed);
    }
    assert!(
        loads > cases() / 10,
        "only {loads} loads: the cases test nothing"
    );
}
