//! The world of one run: processes, links, upstreams, platform and callers.

mod action;
mod caller;
mod check;
mod link;
mod platform;
mod process;
mod queue;
mod step;
mod upstream;

use base::prelude::*;
use std::collections::BTreeMap;

use crate::outcome::Outcome;
use crate::script::Script;
use caller::Callers;
use link::Links;
use platform::FakePlatform;
use process::{AgentNode, EntryNode};
use queue::{Happening, Queue};
use upstream::Upstream;

/// Wall clock at the origin of a run; any constant will do.
pub(crate) const UNIX_MS_AT_ZERO: u64 = 1_790_000_000_000;

/// Most happenings in one run; a machine that asks for a tick without end would
/// otherwise never come to the end of the script.
const HAPPENINGS_MAX: u64 = 5_000_000;

/// Everything there is during a run.
#[derive(Debug)]
pub(crate) struct World<'s> {
    script: &'s Script,
    now: Instant,
    queue: Queue,
    platform: FakePlatform,
    entries: BTreeMap<String, EntryNode>,
    agents: BTreeMap<String, AgentNode>,
    upstreams: BTreeMap<String, Upstream>,
    links: Links,
    callers: Callers,
    event_counts: BTreeMap<String, u64>,
    crash_bodies: Vec<String>,
    starts: u64,
    outcome: Outcome,
}

/// Runs a script to its end.
pub fn run(script: &Script) -> Outcome {
    let mut world = World::new(script);
    world.start();
    let mut count = 0;
    while let Some((at, happening)) = world.queue.take() {
        if at > script.end {
            break;
        }
        count += 1;
        if count > HAPPENINGS_MAX {
            world.fail("the run has no end");
            break;
        }
        world.now = at;
        world.happen(happening);
    }
    world.now = script.end;
    world.check_promises();
    world.outcome
}

impl<'s> World<'s> {
    fn new(script: &'s Script) -> Self {
        let upstreams = script.instances.iter().map(|instance| {
            let upstream = Upstream::new(instance, &script.fleet);
            (instance.name.clone(), upstream)
        });
        Self {
            script,
            now: Instant::ZERO,
            queue: Queue::default(),
            platform: FakePlatform::new(&script.fleet),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            upstreams: upstreams.collect(),
            links: Links::default(),
            callers: Callers::default(),
            event_counts: BTreeMap::new(),
            crash_bodies: Vec::new(),
            starts: 0,
            outcome: Outcome::default(),
        }
    }

    fn start(&mut self) {
        for index in 0..self.script.steps.len() {
            let at = self.script.steps[index].at;
            self.queue.add(at, Happening::Step(index));
        }
        for instance in &self.script.instances {
            self.start_agent(&instance.name, &instance.name);
        }
        for entry in self.script.entries.iter().filter(|entry| !entry.later) {
            self.start_entry(&entry.name);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Step(index) => self.step(index),
            Happening::Tick { process, start } => self.tick(&process, start),
            Happening::Dial { entry, start, peer } => self.dial(&entry, start, &peer),
            Happening::Passage { link, to, passage } => self.pass(link, &to, passage),
            Happening::PlatformCall {
                process,
                start,
                call,
            } => self.platform_call(process, start, call),
            Happening::PlatformResponse {
                process,
                start,
                answer,
            } => self.platform_answer(&process, start, answer),
            Happening::WatchEnd { id } => self.watch_end(id),
            Happening::Poll { process, start } => self.poll(&process, start),
            Happening::Agent {
                process,
                start,
                event,
                payload,
            } => self.agent_event(&process, start, *event, payload),
            Happening::HandOver(hand_over) => self.hand_over(hand_over),
            Happening::EngineStep { instance, run } => self.engine_step(&instance, run),
            Happening::ServiceDone { instance, attempt } => {
                self.service_done(&instance, attempt);
            }
            Happening::Order {
                instance,
                from,
                order,
                answered,
            } => self.order_arrives(&instance, &from, &order, answered),
            Happening::OrderDone {
                instance,
                run,
                order,
            } => self.order_done(&instance, run, order),
            Happening::UpstreamBack { instance } => self.upstream_back(&instance),
        }
    }

    fn log(&mut self, who: &str, what: &str) {
        let ms = self.now.as_us() as f64 / 1_000.0;
        self.outcome.log.push(format!("{ms:>12.3} {who} {what}"));
    }

    fn fail(&mut self, what: &str) {
        let ms = self.now.as_ms();
        self.outcome.failures.push(format!("at {ms} ms: {what}"));
    }
}
