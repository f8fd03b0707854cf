//! Reports of keyed requests to agents that wait for lost claims.

use crate::rig::{Rig, SentRun, agent_peer, entry_peer, heartbeat};
use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResponse, PlatformResult};
use role::Peer;
use role::entry::{EntryAction, EntryEvent};
use schema::link::{Gossip, KeyedRun, KeyedRuns, frame};

/// An entry with two agents of a service whose requests are claimed, and one of a model.
fn rig() -> Rig {
    let mut rig = Rig::new();
    rig.agent_in("s1", "desk", "d1", &[]);
    rig.agent_in("s2", "desk", "d1", &[]);
    rig.agent("g1", &["m1"]);
    rig
}

/// Sends a heartbeat of an agent that waits for claims lost before this generation.
/// Returns the report; `None` if the agent is sent none.
fn ask(rig: &mut Rig, agent: &str, generation: u64) -> Option<KeyedRuns> {
    rig.clear();
    let state = rig.agents.get_mut(agent).expect("a known agent");
    state.sequence += 1;
    let mut body = heartbeat(agent, state);
    body.restored_generation = generation;
    rig.frame(agent, frame::Body::Heartbeat(body));
    let mut reported = rig.sent_frames(|peer, body| match (peer, body) {
        (Peer::Agent(id), frame::Body::KeyedRuns(runs)) if id.as_str() == agent => {
            assert_eq!(runs.generation, generation);
            Some(runs.clone())
        }
        _ => None,
    });
    assert!(reported.len() <= 1, "reported more than once");
    reported.pop()
}

fn known_runs(reported: Option<KeyedRuns>) -> Vec<(String, RunStatus)> {
    let runs = reported.expect("the agent is reported").runs.into_iter();
    runs.map(|run| (run.key, RunStatus::from_number(run.ran)))
        .collect()
}

fn link_entry(rig: &mut Rig, id: &str, domain: &str) {
    let peer = entry_peer(id);
    rig.handle(EntryEvent::LinkUp {
        peer: peer.clone(),
        incarnation: Incarnation(9),
    });
    let body = frame::Body::Gossip(Gossip {
        entry: id.to_owned(),
        incarnation: 9,
        sequence: 1,
        failure_domain: domain.to_owned(),
        ..Gossip::default()
    });
    rig.handle(EntryEvent::Frame {
        peer,
        revision: Revision(0),
        body,
    });
}

/// Requests that another entry was sent a copy of, with what is known of them.
fn copies_sent_to(rig: &Rig, entry: &str) -> Vec<KeyedRun> {
    let sent = rig.sent_frames(|peer, body| match (peer, body) {
        (Peer::Entry(id), frame::Body::KeyedRuns(runs)) if id.as_str() == entry => {
            Some(runs.runs.clone())
        }
        _ => None,
    });
    sent.into_iter().flatten().collect()
}

/// Guards against a key that is granted again because its run is not reported to the agents
/// of its pool; against repeated reports; and against reports to other pools.
#[test]
fn a_request_is_reported_to_the_agents_of_its_pool() {
    let mut rig = rig();
    let request = rig.request_orders();
    let run = rig.run(request);
    rig.started(&run);
    let unknown = vec![("k1".to_owned(), RunStatus::Unknown)];
    assert_eq!(known_runs(ask(&mut rig, "s1", 1)), unknown);
    rig.end(&run, 2);
    let ran = vec![("k1".to_owned(), RunStatus::Ran)];
    assert_eq!(known_runs(ask(&mut rig, "s1", 1)), ran);
    assert_eq!(ask(&mut rig, "s1", 1), None, "reported again");
    assert_eq!(known_runs(ask(&mut rig, "s2", 1)), ran);
    assert_eq!(known_runs(ask(&mut rig, "g1", 1)), []);
    assert_eq!(ask(&mut rig, "s1", 0), None, "it waits for nothing");
    assert_eq!(known_runs(ask(&mut rig, "s1", 2)), ran, "a second restore");
}

/// Guards against a restarted agent that lacks the report to its predecessor.
#[test]
fn a_restarted_agent_gets_the_report_again() {
    let mut rig = rig();
    let request = rig.request_orders();
    let run = rig.run(request);
    rig.started(&run);
    rig.end(&run, 2);
    assert_eq!(known_runs(ask(&mut rig, "s1", 1)).len(), 1);
    let agent = rig.agents.get_mut("s1").expect("a known agent");
    (agent.incarnation, agent.sequence) = (2, 0);
    assert_eq!(known_runs(ask(&mut rig, "s1", 1)).len(), 1);
}

/// Guards against a report whose frames were lost with the link.
#[test]
fn an_agent_whose_link_broke_gets_the_report_again() {
    let mut rig = rig();
    let request = rig.request_orders();
    let run = rig.run(request);
    rig.started(&run);
    rig.end(&run, 2);
    assert_eq!(known_runs(ask(&mut rig, "s1", 1)).len(), 1);
    rig.link_down("s1");
    rig.link_up("s1");
    assert_eq!(known_runs(ask(&mut rig, "s1", 1)).len(), 1);
}

/// Guards against a key that stays claimed although its request was not run.
#[test]
fn requests_that_were_not_run_are_not_reported() {
    let mut rig = rig();
    let request = rig.request_orders();
    rig.refuse(&rig.run(request), ErrorCode::GateFull);
    assert_eq!(known_runs(ask(&mut rig, "s2", 1)), []);
    rig.advance(500);
    let request = rig.request_orders();
    let run = rig.run(request);
    rig.started(&run);
    rig.fail(&run, ErrorCode::UpstreamFault, RunStatus::NotRun);
    let reported = ask(&mut rig, "s1", 1);
    assert_eq!(known_runs(reported), []);
}

/// Guards against a key that is granted again because its agent was lost before it could
/// report that it had passed the request on.
#[test]
fn an_attempt_without_an_outcome_may_have_run() {
    let mut rig = rig();
    let request = rig.request_orders();
    let run = rig.run(request);
    rig.link_down(&run.agent);
    let other = if run.agent == "s1" { "s2" } else { "s1" };
    let reported = known_runs(ask(&mut rig, other, 1));
    assert_eq!(reported, [("k1".to_owned(), RunStatus::Unknown)]);
}

/// Guards against a key that is granted again because its agent and its entry were lost
/// together, as with their failure domain.
#[test]
fn another_entry_keeps_a_copy() {
    let mut rig = rig();
    link_entry(&mut rig, "near", "d1");
    link_entry(&mut rig, "far", "d2");
    rig.clear();
    let request = rig.request_orders();
    let run = rig.run(request);
    rig.started(&run);
    rig.end(&run, 2);
    let copies = copies_sent_to(&rig, "far");
    let known: Vec<_> = copies.iter().map(|run| run.ran).collect();
    let (unknown, ran) = (RunStatus::Unknown.number(), RunStatus::Ran.number());
    assert_eq!(known, [unknown, ran]);
    assert!(copies_sent_to(&rig, "near").is_empty());

    let mut keeper = self::rig();
    for run in copies {
        let runs = KeyedRuns {
            runs: vec![run],
            ..KeyedRuns::default()
        };
        keeper.handle(EntryEvent::Frame {
            peer: entry_peer("e9"),
            revision: Revision(0),
            body: frame::Body::KeyedRuns(runs),
        });
    }
    let reported = known_runs(ask(&mut keeper, "s1", 1));
    assert_eq!(reported, [("k1".to_owned(), RunStatus::Ran)]);
}

/// Guards against a log that grows without bound.
#[test]
fn requests_are_reported_for_a_minute() {
    let mut rig = rig();
    let request = rig.request_orders();
    let run = rig.run(request);
    rig.started(&run);
    rig.end(&run, 2);
    rig.advance(59_000);
    assert_eq!(known_runs(ask(&mut rig, "s1", 1)).len(), 1);
    rig.advance(1_000);
    assert_eq!(known_runs(ask(&mut rig, "s2", 1)).len(), 0);
}

/// Guards against an agent that waits for lost claims long after a restore, because it
/// starts only now.
#[test]
fn a_report_says_for_how_long_the_generation_is_known() {
    let mut rig = rig();
    let watch = rig.actions.iter().find_map(|action| match action {
        EntryAction::CallPlatform(call) => {
            matches!(call.op, PlatformOp::Watch { .. }).then_some(call.id)
        }
        _ => None,
    });
    let restored = PlatformResult::Objects(Vec::new(), ObjectVersion::new(1, 1));
    rig.handle(EntryEvent::PlatformAnswered(PlatformResponse {
        id: watch.expect("an open watch"),
        result: restored,
    }));
    rig.advance(3_000);
    let known_ms =
        |reported: Option<KeyedRuns>| reported.map(|reported| reported.known_ms);
    assert_eq!(known_ms(ask(&mut rig, "s1", 1)), Some(3_000));
    assert_eq!(known_ms(ask(&mut rig, "s1", 2)), Some(0), "not known here");
}

/// Guards against a key that is granted again because the platform lost its claim: the
/// earlier run is reported to the agent that gets the resend. A run that may turn out not to
/// run, or whose agent is not known to have claimed the key, is not reported: the key may be
/// free.
#[test]
fn an_earlier_run_is_reported_before_the_resend() {
    type Outcome = fn(&mut Rig, &SentRun);
    let outcomes: [(&str, Outcome, bool); 5] = [
        (
            "ended",
            |rig, run| (rig.started(run), rig.end(run, 2)).1,
            true,
        ),
        (
            "lost after its start",
            |rig, run| (rig.started(run), rig.link_down(&run.agent)).1,
            true,
        ),
        ("running", |rig, run| rig.started(run), false),
        (
            "refused by its upstream",
            |rig, run| {
                rig.started(run);
                rig.fail(run, ErrorCode::UpstreamFault, RunStatus::NotRun);
            },
            false,
        ),
        ("lost", |rig, run| rig.link_down(&run.agent), false),
    ];
    for (name, bring_about, is_reported) in outcomes {
        let mut rig = rig();
        let request = rig.request_orders();
        let run = rig.run(request);
        bring_about(&mut rig, &run);
        rig.advance(500);
        rig.clear();
        let resend = rig.request_orders();
        let agent = rig.run(resend).agent;
        let report = rig.actions.iter().position(|action| match action {
            EntryAction::SendFrame { peer, body } => {
                let is_report = matches!(body, frame::Body::KeyedRuns(runs)
                    if runs.generation == 0 && runs.runs[0].key == "k1");
                is_report && *peer == agent_peer(&agent)
            }
            _ => false,
        });
        let sent = rig.actions.iter().position(|action| {
            matches!(action, EntryAction::SendRun { request, .. } if *request == resend)
        });
        assert_eq!(report.is_some(), is_reported, "{name}");
        assert!(report.is_none_or(|at| Some(at) < sent), "{name}: too late");
    }
}

/// Guards against a run that is forgotten because a later attempt with its key was lost.
#[test]
fn a_lost_resend_does_not_hide_an_earlier_run() {
    let mut rig = rig();
    let request = rig.request_orders();
    let run = rig.run(request);
    rig.started(&run);
    rig.end(&run, 2);
    let resend = rig.request_orders();
    let agent = rig.run(resend).agent;
    rig.link_down(&agent);
    let other = if agent == "s1" { "s2" } else { "s1" };
    let reported = known_runs(ask(&mut rig, other, 1));
    assert_eq!(reported, [("k1".to_owned(), RunStatus::Ran)]);
}

/// Guards against a report that is larger than a frame may be, and against one that counts
/// as complete before its last frame.
#[test]
fn a_large_report_is_sent_in_several_frames() {
    const RUNS: usize = 20_000;
    const KEPT: usize = 8_192;
    let mut rig = rig();
    let runs = (0..RUNS).map(|number| KeyedRun {
        caller: "c1".to_owned(),
        key: format!("key-{number}"),
        pool: "desk".to_owned(),
        ran: RunStatus::Ran.number(),
        ..KeyedRun::default()
    });
    let body = frame::Body::KeyedRuns(KeyedRuns {
        runs: runs.collect(),
        ..KeyedRuns::default()
    });
    rig.handle(EntryEvent::Frame {
        peer: entry_peer("e9"),
        revision: Revision(0),
        body,
    });
    rig.clear();
    let mut body = heartbeat("s1", &rig.agents["s1"]);
    (body.sequence, body.restored_generation) = (100, 1);
    rig.frame("s1", frame::Body::Heartbeat(body));
    let frames = rig.sent_frames(|peer, body| match body {
        frame::Body::KeyedRuns(runs) if *peer == agent_peer("s1") => Some(runs.clone()),
        _ => None,
    });
    let (last, before) = frames.split_last().expect("a report");
    assert_eq!(last.generation, 1);
    assert!(before.iter().all(|frame| frame.generation == 0));
    assert!(frames.iter().all(|frame| frame.runs.len() <= 1_024));
    let reported: usize = frames.iter().map(|frame| frame.runs.len()).sum();
    assert_eq!(reported, KEPT);
}
