//! Randomized test: two agents of one service run each idempotency key at most
//! once.

use super::{SEED, cases};
use crate::fixtures::*;
use arbtest::arbitrary::{Result, Unstructured};
use base::prelude::*;
use base::{PlatformOp, PlatformResult};
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::frame;
use std::collections::BTreeMap;

/// Two agents of one service, a platform that loses answers, and few keys. Each
/// key must run at most once, and an attempt that was refused as `not_run` must
/// not have run.
#[test]
fn no_sequence_of_faults_runs_a_key_twice() {
    let mut total_runs = 0;
    for case in 0..cases() {
        let seed = SEED + 1 + (case << 32);
        arbtest::arbtest(|u| {
            let mut simulation = TwoAgents::new();
            while !u.is_empty() {
                simulation.step(u)?;
                simulation.check();
            }
            total_runs += simulation.runs.len();
            Ok(())
        })
        .seed(seed);
    }
    assert!(total_runs > 0, "no request was run: the cases test nothing");
}

/// Two agents of one service, and the platform they share.
struct TwoAgents {
    platform: Platform,
    agents: Vec<TestAgent>,
    sequence: u64,
    /// Attempts handed to the service, by key.
    runs: BTreeMap<String, Vec<u64>>,
    /// Attempts in progress at each agent.
    running: Vec<Vec<u64>>,
    /// Writes that take effect later.
    delayed_writes: Vec<PlatformOp>,
}

impl TwoAgents {
    fn new() -> Self {
        let mut platform = Platform::new();
        let now = Instant::from_ms(1_000);
        let agents = (0..2)
            .map(|index| TestAgent::beside_service(10 + index, now, &mut platform));
        let agents = agents.collect();
        Self {
            platform,
            agents,
            sequence: 0,
            runs: BTreeMap::new(),
            running: vec![Vec::new(); 2],
            delayed_writes: Vec::new(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let index = u.choose_index(2)?;
        match u.int_in_range(0..=11)? {
            0..=4 => self.answer(index, u)?,
            5 | 6 => self.send_request(index, u)?,
            7 => self.agents[index].advance_time(u.int_in_range(1..=3_000)?),
            8 => self.end(index, u)?,
            9 => {
                for op in std::mem::take(&mut self.delayed_writes) {
                    self.platform.apply(&op);
                }
            }
            10 => {
                self.agents[index].link_down(ENTRY);
                self.agents[index].link_up(ENTRY);
            }
            _ => {
                let incarnation = 20 + self.sequence;
                self.sequence += 1;
                let now = self.agents[index].now;
                self.running[index].clear();
                let mut agent =
                    TestAgent::beside_service(incarnation, now, &mut self.platform);
                agent.now = now;
                self.agents[index] = agent;
            }
        }
        self.collect(index);
        Ok(())
    }

    fn answer(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(call) = self.agents[index].calls.pop_front() else {
            return Ok(());
        };
        let result = match u.int_in_range(0..=7)? {
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
        self.agents[index].answer_call(call.id, result);
        Ok(())
    }

    fn send_request(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        self.sequence += 1;
        let key = ["x", "y", "z"][u.choose_index(3)?];
        let incarnation = self.agents[index].incarnation();
        let run = service_run(self.sequence, incarnation, key);
        self.agents[index].receive_frame(frame::Body::Run(run));
        Ok(())
    }

    fn end(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(attempt) = self.running[index].pop() else {
            return Ok(());
        };
        let agent = &mut self.agents[index];
        match u.int_in_range(0..=2)? {
            0 => agent.upstream_event(UpstreamEvent::Failed {
                attempt: attempt_id(attempt),
                ran: RunStatus::Ran,
                status: 500,
                broken: false,
            }),
            1 => agent.handle(AgentEvent::Upstream(UpstreamEvent::Down)),
            _ => agent.complete_attempt(attempt),
        }
        if !agent.ready {
            agent.report_from(&Engine::new());
        }
        Ok(())
    }

    fn collect(&mut self, index: usize) {
        for (attempt, run) in self.agents[index].starts.drain(..) {
            self.running[index].push(attempt.sequence);
            let runs = self.runs.entry(run.idempotency_key).or_default();
            runs.push(attempt.sequence);
        }
    }

    fn check(&self) {
        for (key, runs) in &self.runs {
            assert_eq!(runs.len(), 1, "key {key} was run by {runs:?}");
            for agent in &self.agents {
                assert_eq!(agent.refusal(runs[0]), None, "refused although it was run");
            }
        }
    }
}
