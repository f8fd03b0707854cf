//! Random event sequences with a simple model of agents.

use crate::rig::{Rig, SentRun};
use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use base::prelude::*;
use role::entry::{EntryAction, EntryEvent};
use std::collections::{BTreeMap, BTreeSet};

const AGENTS: [&str; 4] = ["a1", "a2", "s1", "s2"];

/// Checks the invariants over all actions.
#[derive(Default)]
struct Observer {
    checked: usize,
    delivered: BTreeMap<RequestId, u64>,
    ended: BTreeSet<RequestId>,
    disconnected: BTreeSet<RequestId>,
    request_of_attempt: BTreeMap<AttemptId, RequestId>,
    /// Requests with an attempt whose start was reported while it was the current one.
    started: BTreeSet<RequestId>,
    call_starts: BTreeMap<RequestId, u32>,
    revision: Revision,
    attempts: BTreeMap<AttemptId, SentRun>,
}

impl Observer {
    /// Checks the new actions; `part` is the answer part received just before, if any.
    fn observe(&mut self, rig: &Rig, part: Option<(AttemptId, u64, u32)>) {
        for action in &rig.actions[self.checked..] {
            match action {
                EntryAction::SendRun {
                    request,
                    agent,
                    run,
                } => {
                    assert!(!self.ended.contains(request), "sent after its end");
                    let sent = SentRun {
                        agent: agent.to_string(),
                        run: (**run).clone(),
                    };
                    let delivered = self.delivered.get(request).copied().unwrap_or(0);
                    assert_eq!(run.resume_offset, delivered);
                    assert!(
                        self.request_of_attempt
                            .insert(sent.id(), *request)
                            .is_none()
                    );
                    self.attempts.insert(sent.id(), sent);
                }
                EntryAction::DeliverPart {
                    request,
                    skip_units,
                } => {
                    let (attempt, offset, units) = part.expect("a part was received");
                    assert_eq!(
                        self.request_of_attempt[&attempt], *request,
                        "a part of another request"
                    );
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
                EntryAction::Fail { request, error } => {
                    if error.ran == RunStatus::NotRun {
                        assert!(!self.started.contains(request), "it had started");
                    }
                    self.end(*request);
                }
                _ => {}
            }
        }
        self.checked = rig.actions.len();
        assert!(rig.role.revision() >= self.revision);
        self.revision = rig.role.revision();
    }

    fn end(&mut self, request: RequestId) {
        assert!(
            !self.disconnected.contains(&request),
            "an end after the caller disconnected"
        );
        assert!(self.ended.insert(request), "two ends of {request}");
    }

    /// Whether the attempt is the latest of a request in progress, so that its reported
    /// start shows that the request ran.
    fn is_current(&self, id: AttemptId) -> bool {
        let request = self.request_of_attempt[&id];
        let newest = self
            .request_of_attempt
            .iter()
            .rev()
            .find(|(_, of)| **of == request);
        newest.is_some_and(|(newest, _)| *newest == id)
            && !self.ended.contains(&request)
            && !self.disconnected.contains(&request)
    }
}

/// Model of the agents: they never report `not_run` for an attempt they started.
#[derive(Default)]
struct AgentModel {
    started: BTreeSet<AttemptId>,
    over: BTreeSet<AttemptId>,
    parts: BTreeMap<AttemptId, u64>,
}

fn step(
    u: &mut Unstructured<'_>,
    rig: &mut Rig,
    observer: &mut Observer,
    agents: &mut AgentModel,
    requests: &mut Vec<RequestId>,
) -> Result<()> {
    let agent = *u.choose(&AGENTS)?;
    match u.int_in_range(0..=9)? {
        0 | 1 => {
            let request = match u.int_in_range(0..=2)? {
                0 => rig.request_orders(),
                1 => rig.request_model("m1"),
                _ => rig.request_model("m2"),
            };
            requests.push(request);
        }
        2 => rig.advance(u.int_in_range(1..=4_000)?),
        3 => rig.link_down(agent),
        4 => {
            rig.link_up(agent);
            rig.send_heartbeat(agent);
        }
        5 => {
            let agent_state = rig.agents.get_mut(agent).expect("known");
            match u.int_in_range(0..=3)? {
                0 => agent_state.silent = !agent_state.silent,
                1 => agent_state.running = u.int_in_range(0..=6)?,
                2 => agent_state.leaving = u.ratio(1, 4)?,
                _ => {
                    agent_state.incarnation += 1;
                    agent_state.sequence = 0;
                }
            }
            rig.send_heartbeat(agent);
        }
        6 if !requests.is_empty() => {
            let request = *u.choose(requests)?;
            if !observer.ended.contains(&request) {
                observer.disconnected.insert(request);
            }
            rig.handle(EntryEvent::CallerDisconnected { request });
        }
        _ => return attempt_step(u, rig, observer, agents),
    }
    observer.observe(rig, None);
    Ok(())
}

/// Sends a frame about any attempt ever made, including late and duplicate ones.
fn attempt_step(
    u: &mut Unstructured<'_>,
    rig: &mut Rig,
    observer: &mut Observer,
    agents: &mut AgentModel,
) -> Result<()> {
    let sent: Vec<SentRun> = observer.attempts.values().cloned().collect();
    if sent.is_empty() {
        return Ok(());
    }
    let run = u.choose(&sent)?.clone();
    let id = run.id();
    let started = agents.started.contains(&id);
    let mut part = None;
    match u.int_in_range(0..=6)? {
        0 if !started => {
            agents.over.insert(id);
            let codes = [
                ErrorCode::GateFull,
                ErrorCode::NotHeld,
                ErrorCode::KeyInProgress,
            ];
            rig.refuse(&run, *u.choose(&codes)?);
        }
        1 if !agents.over.contains(&id) => {
            if agents.started.insert(id) && !run.run.idempotent {
                let request = observer.request_of_attempt[&id];
                *observer.call_starts.entry(request).or_default() += 1;
            }
            if observer.is_current(id) {
                observer.started.insert(observer.request_of_attempt[&id]);
            }
            rig.started(&run);
        }
        2 | 3 if started => {
            let at = agents.parts.entry(id).or_insert(run.run.resume_offset);
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
            let total = agents.parts.get(&id).copied().unwrap_or(0);
            rig.end(&run, total + u64::from(u.ratio(1, 8)?));
        }
        5 if started => {
            let codes = [
                ErrorCode::UpstreamLost,
                ErrorCode::UpstreamFault,
                ErrorCode::BadRequest,
            ];
            rig.fail(&run, *u.choose(&codes)?, RunStatus::Ran);
        }
        6 => {
            let ran = match started {
                true => RunStatus::Ran,
                false => RunStatus::NotRun,
            };
            agents.over.insert(id);
            rig.revoked(&run, ran);
        }
        _ => {}
    }
    observer.observe(rig, part);
    Ok(())
}

/// For any order of events: no part is delivered to another request, the delivered
/// units are contiguous, each request ends once, `not_run` is not reported for a
/// request that started, a request that is not idempotent starts at most once, and no
/// request outlives its deadline.
#[test]
fn random_events_violate_no_invariant() {
    let property = |u: &mut Unstructured<'_>| {
        let mut rig = Rig::new();
        rig.agent("a1", &["m1", "m2"]);
        rig.agent("a2", &["m1"]);
        rig.agent_in("s1", "desk", "d1", &[]);
        rig.agent_in("s2", "desk", "d1", &[]);
        let mut observer = Observer::default();
        let mut agents = AgentModel::default();
        let mut requests = Vec::new();
        for _ in 0..60 {
            if u.is_empty() {
                break;
            }
            step(u, &mut rig, &mut observer, &mut agents, &mut requests)?;
        }
        rig.advance(61_000);
        observer.observe(&rig, None);
        for request in &requests {
            let over = observer.ended.contains(request)
                || observer.disconnected.contains(request);
            assert!(over, "{request} never ended");
        }
        assert!(observer.call_starts.values().all(|starts| *starts <= 1));
        let counters = rig.role.counters();
        assert_eq!((counters.running, counters.waiting), (0, 0));
        Ok(())
    };
    for seed in 0..100 {
        arbtest(property).seed(seed << 32 | 0x1_000).run();
    }
}
