//! Two agents of one service, which run a key once at most.

use super::{SEED, cases};
use crate::stand::*;
use arbtest::arbitrary::{Result, Unstructured};
use base::prelude::*;
use base::{PlatformOp, PlatformResult};
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::frame;
use std::collections::BTreeMap;

/// Two agents of one service, a platform that loses answers, and few keys: each
/// key is run once at most, and one that was refused as `not_run` was not run
/// by that attempt.
#[test]
fn no_sequence_of_faults_runs_a_key_twice() {
    let mut runs_in_all = 0;
    for case in 0..cases() {
        let seed = SEED + 1 + (case << 32);
        arbtest::arbtest(|u| {
            let mut keys = Keys::new();
            while !u.is_empty() {
                keys.step(u)?;
                keys.check();
            }
            runs_in_all += keys.runs.len();
            Ok(())
        })
        .seed(seed);
    }
    assert!(runs_in_all > 0, "no call was run: the cases test nothing");
}

/// Two agents of one service.
struct Keys {
    platform: Platform,
    nodes: Vec<Node>,
    sequence: u64,
    /// Calls handed over, by key.
    runs: BTreeMap<String, Vec<u64>>,
    /// Calls in progress at each agent.
    open: Vec<Vec<u64>>,
    /// Writes whose effect comes late.
    late: Vec<PlatformOp>,
}

impl Keys {
    fn new() -> Self {
        let mut platform = Platform::new();
        let now = Instant::from_ms(1_000);
        let nodes = (0..2).map(|n| Node::service(10 + n, now, &mut platform));
        let nodes = nodes.collect();
        Self {
            platform,
            nodes,
            sequence: 0,
            runs: BTreeMap::new(),
            open: vec![Vec::new(); 2],
            late: Vec::new(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let place = u.choose_index(2)?;
        match u.int_in_range(0..=11)? {
            0..=4 => self.answer(place, u)?,
            5 | 6 => self.call(place, u)?,
            7 => self.nodes[place].pass(u.int_in_range(1..=3_000)?),
            8 => self.end(place, u)?,
            9 => {
                for op in std::mem::take(&mut self.late) {
                    self.platform.apply(&op);
                }
            }
            10 => {
                self.nodes[place].link_down(ENTRY);
                self.nodes[place].link_up(ENTRY);
            }
            _ => {
                let incarnation = 20 + self.sequence;
                self.sequence += 1;
                let now = self.nodes[place].now;
                self.open[place].clear();
                let mut node = Node::service(incarnation, now, &mut self.platform);
                node.now = now;
                self.nodes[place] = node;
            }
        }
        self.collect(place);
        Ok(())
    }

    fn answer(&mut self, place: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(call) = self.nodes[place].calls.pop_front() else {
            return Ok(());
        };
        let result = match u.int_in_range(0..=7)? {
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
        self.nodes[place].answer(call.id, result);
        Ok(())
    }

    fn call(&mut self, place: usize, u: &mut Unstructured<'_>) -> Result<()> {
        self.sequence += 1;
        let key = ["x", "y", "z"][u.choose_index(3)?];
        let incarnation = self.nodes[place].incarnation();
        let run = service_run(self.sequence, incarnation, key);
        self.nodes[place].frame(frame::Body::Run(run));
        Ok(())
    }

    fn end(&mut self, place: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(attempt) = self.open[place].pop() else {
            return Ok(());
        };
        let node = &mut self.nodes[place];
        match u.int_in_range(0..=2)? {
            0 => node.upstream(UpstreamEvent::Failed {
                attempt: id(attempt),
                ran: Ran::Ran,
                status: 500,
                broken: false,
            }),
            1 => node.handle(AgentEvent::Upstream(UpstreamEvent::Down)),
            _ => node.serve(attempt),
        }
        if !node.ready {
            node.report(&Engine::new());
        }
        Ok(())
    }

    fn collect(&mut self, place: usize) {
        for (attempt, run) in self.nodes[place].starts.drain(..) {
            self.open[place].push(attempt.sequence);
            let runs = self.runs.entry(run.idempotency_key).or_default();
            runs.push(attempt.sequence);
        }
    }

    fn check(&self) {
        for (key, runs) in &self.runs {
            assert_eq!(runs.len(), 1, "key {key} was run by {runs:?}");
            for node in &self.nodes {
                assert_eq!(node.refusal(runs[0]), None, "refused, yet run");
            }
        }
    }
}
