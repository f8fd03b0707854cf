//! Simulation of one run: processes, links, upstreams, platform and callers.

mod action;
mod caller;
mod event_queue;
mod invariants;
mod link;
mod platform;
mod process;
mod script_step;
mod upstream;

use base::prelude::*;
use std::collections::BTreeMap;

use crate::outcome::Outcome;
use crate::script::Script;
use caller::Callers;
use event_queue::{EventQueue, SimEvent};
use link::Links;
use platform::FakePlatform;
use process::{AgentProcess, EntryProcess};
use upstream::FakeUpstream;

/// Wall-clock time at the start of a run, in Unix milliseconds. The value is
/// arbitrary.
pub(crate) const UNIX_MS_AT_ZERO: u64 = 1_790_000_000_000;

/// Maximum number of events in one run. It stops a run in which a state machine
/// requests one tick after another without end.
const EVENTS_MAX: u64 = 5_000_000;

/// State of one run.
#[derive(Debug)]
pub(crate) struct Simulation<'s> {
    script: &'s Script,
    now: Instant,
    events: EventQueue,
    platform: FakePlatform,
    entries: BTreeMap<String, EntryProcess>,
    agents: BTreeMap<String, AgentProcess>,
    upstreams: BTreeMap<String, FakeUpstream>,
    links: Links,
    callers: Callers,
    /// Number of timeline events by kind.
    event_counts: BTreeMap<String, u64>,
    /// Request bodies that crash the engine that runs them.
    crash_bodies: Vec<String>,
    /// Number of the latest process start.
    last_incarnation: u64,
    outcome: Outcome,
}

/// Runs a script until its end time and checks the invariants.
pub fn run(script: &Script) -> Outcome {
    let mut simulation = Simulation::new(script);
    simulation.start_processes();
    let mut count = 0;
    while let Some((at, sim_event)) = simulation.events.pop_next() {
        if at > script.end {
            break;
        }
        count += 1;
        if count > EVENTS_MAX {
            simulation.record_failure("the run exceeds the maximum number of events");
            break;
        }
        simulation.now = at;
        simulation.handle_event(sim_event);
    }
    simulation.now = script.end;
    simulation.check_invariants();
    simulation.outcome
}

impl<'s> Simulation<'s> {
    fn new(script: &'s Script) -> Self {
        let upstreams = script.instances.iter().map(|instance| {
            let upstream = FakeUpstream::new(instance, &script.fleet);
            (instance.name.clone(), upstream)
        });
        Self {
            script,
            now: Instant::ZERO,
            events: EventQueue::default(),
            platform: FakePlatform::new(&script.fleet),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            upstreams: upstreams.collect(),
            links: Links::default(),
            callers: Callers::default(),
            event_counts: BTreeMap::new(),
            crash_bodies: Vec::new(),
            last_incarnation: 0,
            outcome: Outcome::default(),
        }
    }

    fn start_processes(&mut self) {
        for index in 0..self.script.steps.len() {
            let at = self.script.steps[index].at;
            self.events.schedule(at, SimEvent::ScriptStep(index));
        }
        for instance in &self.script.instances {
            self.start_agent(&instance.name, &instance.name);
        }
        for entry in self
            .script
            .entries
            .iter()
            .filter(|entry| !entry.starts_later)
        {
            self.start_entry(&entry.name);
        }
    }

    fn handle_event(&mut self, sim_event: SimEvent) {
        match sim_event {
            SimEvent::ScriptStep(index) => self.run_step(index),
            SimEvent::Tick {
                process,
                incarnation,
            } => self.run_tick(&process, incarnation),
            SimEvent::Dial {
                entry,
                incarnation,
                peer,
            } => self.dial(&entry, incarnation, &peer),
            SimEvent::LinkMessage { link, to, message } => {
                self.deliver_link_message(link, &to, message);
            }
            SimEvent::PlatformCallArrives {
                process,
                incarnation,
                call,
            } => self.platform_call_arrives(process, incarnation, call),
            SimEvent::PlatformResponseArrives {
                process,
                incarnation,
                response,
            } => self.platform_response_arrives(&process, incarnation, response),
            SimEvent::WatchTimeout { id } => self.answer_watch(id),
            SimEvent::PollUpstream {
                process,
                incarnation,
            } => self.poll_upstream(&process, incarnation),
            SimEvent::AgentEvent {
                process,
                incarnation,
                event,
                payload,
            } => self.deliver_agent_event(&process, incarnation, *event, payload),
            SimEvent::AttemptArrives(attempt_start) => {
                self.attempt_arrives(attempt_start);
            }
            SimEvent::EngineStep {
                instance,
                upstream_incarnation,
            } => self.engine_step(&instance, upstream_incarnation),
            SimEvent::ServiceCallCompletes { instance, attempt } => {
                self.service_call_completes(&instance, attempt);
            }
            SimEvent::OrderArrives {
                instance,
                from,
                order,
                answered,
            } => self.order_arrives(&instance, &from, &order, answered),
            SimEvent::OrderCompletes {
                instance,
                upstream_incarnation,
                order,
            } => self.order_completes(&instance, upstream_incarnation, order),
            SimEvent::UpstreamRestarts { instance } => {
                self.upstream_restarts(&instance);
            }
        }
    }

    fn log(&mut self, who: &str, what: &str) {
        let ms = self.now.as_us() as f64 / 1_000.0;
        self.outcome.log.push(format!("{ms:>12.3} {who} {what}"));
    }

    fn record_failure(&mut self, what: &str) {
        let ms = self.now.as_ms();
        self.outcome.failures.push(format!("at {ms} ms: {what}"));
    }
}
