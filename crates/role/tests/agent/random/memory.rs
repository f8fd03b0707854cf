//! Agents in turn beside one engine, whose memory is never overcommitted.

use super::{SEED, cases};
use crate::stand::*;
use arbtest::arbitrary::{Result, Unstructured};
use base::prelude::*;
use base::{PlatformOp, PlatformResult};
use role::agent::{AgentEvent, Order, OrderAnswer, UpstreamEvent, UpstreamReport};
use schema::link::frame;
use std::collections::VecDeque;

const CAPACITY_MIB: u64 = 100;
const MODELS: [&str; 4] = ["a", "b", "c", "a-adapter"];

/// An order on its way from an agent to the engine.
struct OnTheWay {
    place: usize,
    order: Order,
    age_ms: u64,
}

/// Agents in turn beside one engine, each of which may be frozen or killed.
struct World {
    platform: Platform,
    engine: Engine,
    nodes: Vec<Node>,
    frozen: Vec<bool>,
    dead: Vec<bool>,
    on_the_way: Vec<OnTheWay>,
    /// The engine's reports of late, any of which may come.
    reports: VecDeque<(Instant, UpstreamReport)>,
    /// Writes whose effect comes late.
    late: Vec<PlatformOp>,
    now: Instant,
    /// Models wanted last.
    wanted: Vec<(&'static str, u32)>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            platform: Platform::new(),
            engine: Engine::new(),
            nodes: Vec::new(),
            frozen: Vec::new(),
            dead: Vec::new(),
            on_the_way: Vec::new(),
            reports: VecDeque::new(),
            late: Vec::new(),
            now: Instant::from_ms(1_000),
            wanted: Vec::new(),
        };
        world.add();
        world
    }

    fn add(&mut self) {
        let place = self.nodes.len() as u64;
        let address = format!("127.0.0.1:{}", place + 1);
        let mut node = Node::start(10 + place, "engines", &address, self.now);
        node.link_up(ENTRY);
        self.nodes.push(node);
        self.frozen.push(false);
        self.dead.push(false);
    }

    fn is_awake(&self, place: usize) -> bool {
        !self.frozen[place] && !self.dead[place]
    }

    /// Lets time pass for all; the frozen ones do not notice. An order that was
    /// sent arrives within the stated delay or never; one whose sender is
    /// frozen may not have been sent yet.
    fn pass(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        for place in 0..self.nodes.len() {
            if self.is_awake(place) {
                let behind = self.now.ms_since(self.nodes[place].now);
                self.nodes[place].pass(behind);
            }
        }
        for sent in &mut self.on_the_way {
            if !self.frozen[sent.place] {
                sent.age_ms += ms;
            }
        }
        self.on_the_way.retain(|sent| sent.age_ms < ORDER_DELAY_MS);
    }

    /// Time has passed for a process that wakes, all at once.
    fn wake(&mut self, place: usize) {
        if self.is_awake(place) {
            self.nodes[place].now = self.now;
        }
    }

    /// The platform answers a call in one of the ways there are.
    fn answer(&mut self, place: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let node = &mut self.nodes[place];
        let Some(call) = node.calls.pop_front() else {
            return Ok(());
        };
        let result = match u.int_in_range(0..=12)? {
            0 => PlatformResult::Away,
            1 => PlatformResult::Unanswered,
            2 => {
                self.platform.apply(&call.op);
                PlatformResult::Unanswered
            }
            3 => {
                self.late.push(call.op.clone());
                PlatformResult::Unanswered
            }
            _ => self.platform.apply(&call.op),
        };
        node.answer(call.id, result);
        Ok(())
    }

    fn collect_orders(&mut self) {
        for (place, node) in self.nodes.iter_mut().enumerate() {
            let loads = node.orders.iter().any(|order| order.load);
            assert!(
                !loads || node.in_use_mib() <= CAPACITY_MIB,
                "ordered too much"
            );
            let orders = node.orders.drain(..);
            self.on_the_way.extend(orders.map(|order| OnTheWay {
                place,
                order,
                age_ms: 0,
            }));
        }
    }

    /// One of the orders on their way arrives, is lost, or loses its answer.
    fn deliver(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.on_the_way.is_empty() {
            return Ok(());
        }
        let which = u.choose_index(self.on_the_way.len())?;
        let sent = self.on_the_way.remove(which);
        let place = sent.place;
        let order = sent.order.id;
        let answer = match u.int_in_range(0..=4)? {
            0 => OrderAnswer::Unanswered,
            1 => {
                self.engine.take(&sent.order);
                OrderAnswer::Unanswered
            }
            // Without an answer now, and with its effect some time later.
            2 => {
                self.on_the_way.push(sent);
                OrderAnswer::Unanswered
            }
            _ => self.engine.take(&sent.order),
        };
        if self.is_awake(place) {
            let event = UpstreamEvent::OrderAnswered { order, answer };
            self.nodes[place].upstream(event);
        }
        Ok(())
    }

    /// The engine makes a report; one of the last few comes, so that an agent
    /// may see them late and out of order.
    fn report(&mut self, place: usize, u: &mut Unstructured<'_>) -> Result<()> {
        // No two reports are made in the same millisecond.
        self.pass(1);
        self.reports.push_back((self.now, self.engine.report()));
        if self.reports.len() > 4 {
            self.reports.pop_front();
        }
        let which = u.choose_index(self.reports.len())?;
        let (made_at, report) = &self.reports[which];
        let age_ms = u32::try_from(self.now.ms_since(*made_at)).unwrap_or(u32::MAX);
        let report = UpstreamReport {
            age_ms,
            ..report.clone()
        };
        self.nodes[place].upstream(UpstreamEvent::Report(report));
        Ok(())
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let place = u.choose_index(self.nodes.len())?;
        let awake = self.is_awake(place);
        match u.int_in_range(0..=20)? {
            0..=4 if awake => self.answer(place, u)?,
            5..=7 => self.deliver(u)?,
            8 => self.engine.finish(),
            9..=11 if awake => self.report(place, u)?,
            12 => {
                let count = u.int_in_range(0..=2)?;
                self.wanted.clear();
                for _ in 0..count {
                    self.wanted.push((*u.choose(&MODELS)?, 1));
                }
                self.tell(place);
            }
            13 if awake => self.tell(place),
            14 | 15 => self.pass(u.int_in_range(1..=1_500)?),
            16 => {
                self.frozen[place] = u.int_in_range(0..=2)? == 0;
                self.wake(place);
            }
            17 if self.nodes.len() < 4 && u.int_in_range(0..=3)? == 0 => self.add(),
            18 if awake => self.request(place, u)?,
            19 => self.rare(place, u)?,
            _ => {
                for op in std::mem::take(&mut self.late) {
                    self.platform.apply(&op);
                }
            }
        }
        self.answer_probes();
        self.collect_orders();
        Ok(())
    }

    /// The engine restarts, or an agent dies that has a successor.
    fn rare(&mut self, place: usize, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=7)? {
            0 => {
                self.engine.restart();
                // What was being sent to the run that ended is lost with it.
                let frozen = &self.frozen;
                self.on_the_way.retain(|sent| !frozen[sent.place]);
            }
            1 | 2 if place + 1 < self.nodes.len() => self.dead[place] = true,
            _ => {}
        }
        Ok(())
    }

    /// A process that lives, frozen or not, holds its address.
    fn answer_probes(&mut self) {
        for place in 0..self.nodes.len() {
            if !self.is_awake(place) {
                continue;
            }
            for address in std::mem::take(&mut self.nodes[place].probes) {
                let dead = (0..self.nodes.len()).any(|other| {
                    self.dead[other] && address == format!("127.0.0.1:{}", other + 1)
                });
                self.nodes[place].handle(AgentEvent::PredecessorProbed { dead });
            }
        }
    }

    fn tell(&mut self, place: usize) {
        if self.is_awake(place) {
            let wanted = self.wanted.clone();
            self.nodes[place].target("p", 1, &wanted);
        }
    }

    fn request(&mut self, place: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let node = &mut self.nodes[place];
        if let Some((attempt, _)) = node.starts.pop() {
            node.serve(attempt.sequence);
            return Ok(());
        }
        let sequence = u.arbitrary::<u16>()?;
        let incarnation = node.incarnation();
        let model = *u.choose(&MODELS)?;
        let run = model_run(u64::from(sequence), incarnation, model);
        node.frame(frame::Body::Run(run));
        Ok(())
    }

    fn check(&self) {
        assert!(
            u64::from(self.engine.memory_mib()) <= CAPACITY_MIB,
            "the engine is overcommitted"
        );
        // An agent that was replaced and has not heard of it may see what its
        // successor loads besides what it meant to load itself, and one whose
        // reports are behind may see what its predecessor unloaded. Neither
        // orders anything, as `collect_orders` shows.
        let held = self.platform.objects.contains_key("agents/one");
        let epoch = if held {
            self.platform.record().epoch
        } else {
            0
        };
        for (place, node) in self.nodes.iter().enumerate() {
            let in_use = node.in_use_mib();
            let current = self.is_awake(place)
                && node.role.status().epoch == epoch
                && node.role.ledger().is_current();
            assert!(!current || in_use <= CAPACITY_MIB, "{in_use} MiB in use");
        }
    }
}

/// Orders are lost, doubled and late; the platform is away or loses answers;
/// agents freeze, wake and are replaced while they live. Whatever the order of
/// it, no load goes out that the accelerator has no room for.
#[test]
fn no_sequence_of_faults_overcommits() {
    let mut moves = 0;
    for case in 0..cases() {
        let seed = SEED + (case << 32);
        arbtest::arbtest(|u| {
            let mut world = World::new();
            while !u.is_empty() {
                world.step(u)?;
                world.check();
            }
            moves += world
                .nodes
                .iter()
                .map(|n| n.role.counters().loads)
                .sum::<u64>();
            Ok(())
        })
        .seed(seed);
    }
    assert!(
        moves > cases() / 10,
        "only {moves} loads: the cases test nothing"
    );
}
