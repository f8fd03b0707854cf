//! Random event sequences against a small fake of agents.

use crate::rig::{Rig, Sent};
use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use base::prelude::*;
use role::entry::{EntryAction, EntryEvent};
use std::collections::{BTreeMap, BTreeSet};

const AGENTS: [&str; 4] = ["a1", "a2", "s1", "s2"];

/// What has to hold over all actions.
#[derive(Default)]
struct Observer {
    read: usize,
    delivered: BTreeMap<RequestId, u64>,
    ended: BTreeSet<RequestId>,
    gone: BTreeSet<RequestId>,
    of_attempt: BTreeMap<AttemptId, RequestId>,
    /// Attempts whose start was announced while they were current.
    started: BTreeSet<RequestId>,
    order_starts: BTreeMap<RequestId, u32>,
    revision: Revision,
    attempts: BTreeMap<AttemptId, Sent>,
}

impl Observer {
    /// `part` is the part that was handed in last, if one was.
    fn observe(&mut self, rig: &Rig, part: Option<(AttemptId, u64, u32)>) {
        for action in &rig.log[self.read..] {
            match action {
                EntryAction::SendRun {
                    request,
                    agent,
                    run,
                } => {
                    assert!(!self.ended.contains(request), "sent after its end");
                    let sent = Sent {
                        agent: agent.to_string(),
                        run: (**run).clone(),
                    };
                    let delivered = self.delivered.get(request).copied().unwrap_or(0);
                    assert_eq!(run.resume_offset, delivered);
                    assert!(self.of_attempt.insert(sent.id(), *request).is_none());
                    self.attempts.insert(sent.id(), sent);
                }
                EntryAction::DeliverPart {
                    request,
                    skip_units,
                } => {
                    let (attempt, offset, units) = part.expect("a part was handed in");
                    assert_eq!(self.of_attempt[&attempt], *request, "of another");
                    let delivered = self.delivered.entry(*request).or_default();
                    assert_eq!(offset + u64::from(*skip_units), *delivered);
                    *delivered = offset + u64::from(units);
                }
                EntryAction::Finish {
                    request,
                    total_units,
                    ..
                } => {
                    let delivered = self.delivered.get(request).copied().unwrap_or(0);
                    assert_eq!(*total_units, delivered);
                    self.end(*request);
                }
                EntryAction::Refuse { request, refusal } => {
                    if refusal.ran == Ran::NotRun {
                        assert!(!self.started.contains(request), "it had started");
                    }
                    self.end(*request);
                }
                _ => {}
            }
        }
        self.read = rig.log.len();
        assert!(rig.role.revision() >= self.revision);
        self.revision = rig.role.revision();
    }

    fn end(&mut self, request: RequestId) {
        assert!(
            !self.gone.contains(&request),
            "an end after the caller went"
        );
        assert!(self.ended.insert(request), "two ends of {request}");
    }

    /// Whether the attempt is the newest of a request in progress: a start
    /// announced for it shows that the request ran.
    fn is_current(&self, id: AttemptId) -> bool {
        let request = self.of_attempt[&id];
        let newest = self.of_attempt.iter().rev().find(|(_, of)| **of == request);
        newest.is_some_and(|(newest, _)| *newest == id)
            && !self.ended.contains(&request)
            && !self.gone.contains(&request)
    }
}

/// Agents that never say `not_run` of what they started.
#[derive(Default)]
struct Gate {
    started: BTreeSet<AttemptId>,
    over: BTreeSet<AttemptId>,
    parts: BTreeMap<AttemptId, u64>,
}

fn step(
    u: &mut Unstructured<'_>,
    rig: &mut Rig,
    seen: &mut Observer,
    gate: &mut Gate,
    requests: &mut Vec<RequestId>,
) -> Result<()> {
    let agent = *u.choose(&AGENTS)?;
    match u.int_in_range(0..=9)? {
        0 | 1 => {
            let request = match u.int_in_range(0..=2)? {
                0 => rig.order(),
                1 => rig.ask("m1"),
                _ => rig.ask("m2"),
            };
            requests.push(request);
        }
        2 => rig.advance(u.int_in_range(1..=4_000)?),
        3 => rig.link_down(agent),
        4 => {
            rig.link_up(agent);
            rig.beat(agent);
        }
        5 => {
            let held = rig.agents.get_mut(agent).expect("known");
            match u.int_in_range(0..=3)? {
                0 => held.silent = !held.silent,
                1 => held.running = u.int_in_range(0..=6)?,
                2 => held.leaving = u.ratio(1, 4)?,
                _ => {
                    held.incarnation += 1;
                    held.sequence = 0;
                }
            }
            rig.beat(agent);
        }
        6 if !requests.is_empty() => {
            let request = *u.choose(requests)?;
            if !seen.ended.contains(&request) {
                seen.gone.insert(request);
            }
            rig.handle(EntryEvent::CallerDisconnected { request });
        }
        _ => return attempt_step(u, rig, seen, gate),
    }
    seen.observe(rig, None);
    Ok(())
}

/// A frame about any attempt ever made, late ones and doubled ones included.
fn attempt_step(
    u: &mut Unstructured<'_>,
    rig: &mut Rig,
    seen: &mut Observer,
    gate: &mut Gate,
) -> Result<()> {
    let sent: Vec<Sent> = seen.attempts.values().cloned().collect();
    if sent.is_empty() {
        return Ok(());
    }
    let run = u.choose(&sent)?.clone();
    let id = run.id();
    let started = gate.started.contains(&id);
    let mut part = None;
    match u.int_in_range(0..=6)? {
        0 if !started => {
            gate.over.insert(id);
            let codes = [Code::GateFull, Code::NotHeld, Code::KeyInProgress];
            rig.refuse(&run, *u.choose(&codes)?);
        }
        1 if !gate.over.contains(&id) => {
            if gate.started.insert(id) && !run.run.idempotent {
                let request = seen.of_attempt[&id];
                *seen.order_starts.entry(request).or_default() += 1;
            }
            if seen.is_current(id) {
                seen.started.insert(seen.of_attempt[&id]);
            }
            rig.started(&run);
        }
        2 | 3 if started => {
            let at = gate.parts.entry(id).or_insert(run.run.resume_offset);
            let units = u.int_in_range(0..=3)?;
            let offset = match u.int_in_range(0..=5)? {
                0 => at.saturating_sub(1),
                1 => *at + 1,
                _ => *at,
            };
            *at = offset + u64::from(units);
            part = Some((id, offset, units));
            rig.part(&run, offset, units);
        }
        4 if started => {
            let total = gate.parts.get(&id).copied().unwrap_or(0);
            rig.end(&run, total + u64::from(u.ratio(1, 8)?));
        }
        5 if started => {
            let codes = [Code::UpstreamLost, Code::UpstreamFault, Code::BadRequest];
            rig.fail(&run, *u.choose(&codes)?, Ran::Ran);
        }
        6 => {
            let ran = match started {
                true => Ran::Ran,
                false => Ran::NotRun,
            };
            gate.over.insert(id);
            rig.revoked(&run, ran);
        }
        _ => {}
    }
    seen.observe(rig, part);
    Ok(())
}

/// Whatever comes in whatever order: no part reaches another request, what a
/// caller has is contiguous, each request ends once, `not_run` is not said of
/// what started, an order starts once, and no request outlives its deadline.
#[test]
fn random_events_break_no_promise() {
    let property = |u: &mut Unstructured<'_>| {
        let mut rig = Rig::new();
        rig.agent("a1", &["m1", "m2"]);
        rig.agent("a2", &["m1"]);
        rig.agent_in("s1", "desk", "d1", &[]);
        rig.agent_in("s2", "desk", "d1", &[]);
        let mut seen = Observer::default();
        let mut gate = Gate::default();
        let mut requests = Vec::new();
        for _ in 0..60 {
            if u.is_empty() {
                break;
            }
            step(u, &mut rig, &mut seen, &mut gate, &mut requests)?;
        }
        rig.advance(61_000);
        seen.observe(&rig, None);
        for request in &requests {
            let over = seen.ended.contains(request) || seen.gone.contains(request);
            assert!(over, "{request} was left without a word");
        }
        assert!(seen.order_starts.values().all(|starts| *starts <= 1));
        let counters = rig.role.counters();
        assert_eq!((counters.running, counters.waiting), (0, 0));
        Ok(())
    };
    for seed in 0..100 {
        arbtest(property).seed(seed << 32 | 0x1_000).run();
    }
}
