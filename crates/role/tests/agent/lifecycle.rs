//! Start, heartbeats, configuration and shutdown.

use crate::fixtures::*;
use base::prelude::*;
use prost::Message as _;
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::{
    ConfigAsk, ConfigChange, ConfigChanges, Heartbeat, ResidentState, frame,
};
use schema::store::Member;

const NOW: Instant = Instant::from_ms(1_000);

fn heartbeats(agent: &TestAgent) -> Vec<&Heartbeat> {
    let bodies = agent.frames.iter().filter_map(|(_, body)| match body {
        frame::Body::Heartbeat(heartbeat) => Some(heartbeat),
        _ => None,
    });
    bodies.collect()
}

fn member(platform: &Platform) -> Option<Member> {
    let (_, value) = platform.objects.get("live/agent/one")?;
    Some(Member::decode(value.as_slice()).expect("the agent registers itself"))
}

/// The platform is unavailable when the agent starts. The agent gets its
/// configuration from an entry and serves; it takes the epoch once the platform
/// is back.
#[test]
fn a_start_without_the_platform_takes_the_configuration_from_an_entry() {
    let mut platform = Platform::new();
    platform.unavailable = true;
    let mut agent = TestAgent::start(10, "desk", "127.0.0.1:1", NOW);
    agent.answer_all_calls(&mut platform);
    agent.report_from(&Engine::new());
    agent.link_up(ENTRY);
    assert!(!agent.ready, "ready without a configuration");
    let asked = |body: &frame::Body| matches!(body, frame::Body::ConfigAsk(_));
    assert!(agent.frames.iter().any(|(_, body)| asked(body)));
    let patch = platform.objects["config/000000000001"].1.clone();
    let change = ConfigChange { revision: 1, patch };
    agent.receive_frame(frame::Body::ConfigChanges(ConfigChanges {
        changes: vec![change],
        ..ConfigChanges::default()
    }));
    assert!(agent.ready);
    assert_eq!(agent.role.status().epoch, 0);
    platform.unavailable = false;
    for _ in 0..50 {
        agent.advance_time(100);
        agent.answer_all_calls(&mut platform);
    }
    assert_eq!(agent.role.status().epoch, 1);
    assert!(member(&platform).is_some());
}

/// The agent is offered a configuration change that is already in force, that
/// follows a gap, or that can't be decoded. It keeps its configuration and asks
/// for the missing changes.
#[test]
fn a_configuration_revision_never_decreases() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    let change = |revision, text: &str| ConfigChange {
        revision,
        patch: text.as_bytes().to_vec(),
    };
    let cases: [(&str, ConfigChange, u64); 4] = [
        ("after a gap", change(3, r#"{"deployment": "x"}"#), 1),
        ("the next", change(2, r#"{"deployment": "y"}"#), 2),
        ("in force already", change(1, r#"{"pools": null}"#), 2),
        ("undecodable", change(3, "{"), 2),
    ];
    for (name, change, revision) in cases {
        agent.receive_frame(frame::Body::ConfigChanges(ConfigChanges {
            changes: vec![change],
            ..ConfigChanges::default()
        }));
        assert_eq!(agent.role.revision(), Revision(revision), "{name}");
    }
    agent.frames.clear();
    agent.advance_time(1_000);
    agent.frames.clear();
    agent.handle(AgentEvent::Frame {
        entry: EntryId::new(ENTRY),
        revision: Revision(9),
        body: frame::Body::ConfigAsk(ConfigAsk { after_revision: 1 }),
    });
    let sent: Vec<&frame::Body> = agent.frames.iter().map(|(_, body)| body).collect();
    assert!(matches!(sent[0], frame::Body::ConfigChanges(c) if c.changes.len() == 1));
    assert!(matches!(sent[1], frame::Body::ConfigAsk(a) if a.after_revision == 2));
}

/// Entries route by heartbeats: they are sent at their interval, and at once
/// when residents, the upstream's availability or the leaving flag change.
#[test]
fn heartbeats_come_at_their_interval_and_on_change() {
    let mut platform = Platform::new();
    let mut engine = Engine::new();
    let mut agent =
        TestAgent::beside_engine(10, "127.0.0.1:1", NOW, &mut platform, &engine);
    agent.frames.clear();
    agent.advance_time(10 * HEARTBEAT_MS);
    assert_eq!(heartbeats(&agent).len(), 10);

    agent.frames.clear();
    agent.receive_target("p", 1, &[("a", 1)]);
    let loading = heartbeats(&agent)[0].residents[0].state();
    assert_eq!(loading, ResidentState::Loading);
    agent.answer_all_calls(&mut platform);
    agent.deliver_orders(&mut engine);
    engine.finish_orders();
    agent.frames.clear();
    agent.report_from(&engine);
    let heartbeat = heartbeats(&agent)[0];
    assert_eq!(heartbeat.residents[0].state(), ResidentState::Loaded);
    assert!(heartbeat.upstream_up && !heartbeat.leaving);

    agent.frames.clear();
    agent.upstream_event(UpstreamEvent::Down);
    assert!(!heartbeats(&agent)[0].upstream_up);
    agent.frames.clear();
    agent.handle(AgentEvent::Drain);
    assert!(heartbeats(&agent)[0].leaving);
}

/// A graceful shutdown is announced to entries and platform, interrupts no
/// attempt, and removes the process from the list of live processes last.
#[test]
fn a_stop_finishes_running_attempts() {
    let mut platform = Platform::new();
    let mut engine = Engine::new();
    let mut agent =
        TestAgent::beside_engine(10, "127.0.0.1:1", NOW, &mut platform, &engine);
    agent.receive_target("p", 1, &[("a", 1)]);
    agent.run_for(300, &mut platform, &mut engine);
    agent.receive_frame(frame::Body::Run(model_run(1, 10, "a")));
    agent.upstream_event(UpstreamEvent::Started {
        attempt: attempt_id(1),
    });
    agent.handle(AgentEvent::Drain);
    agent.receive_target("p", 1, &[("c", 1)]);
    agent.run_for(1_000, &mut platform, &mut engine);
    assert!(!agent.ready && !agent.exited);
    assert!(engine.has_loaded("a"), "unloaded during an answer");
    assert!(member(&platform).is_some_and(|member| member.leaving));
    agent.complete_attempt(1);
    agent.answer_all_calls(&mut platform);
    assert!(agent.exited);
    assert!(agent.stops.is_empty());
    assert_eq!(agent.end_frame(1).map(|end| end.code), Some(0));
    assert!(member(&platform).is_none());
    let last = agent.frames.iter().rev().find_map(|(_, body)| match body {
        frame::Body::Goodbye(goodbye) => Some(goodbye.incarnation),
        _ => None,
    });
    assert_eq!(last, Some(10));
}

/// The platform is unavailable during a shutdown, which does not wait for it
/// indefinitely.
#[test]
fn a_stop_does_not_wait_for_the_platform() {
    let mut platform = Platform::new();
    let mut agent = TestAgent::beside_service(10, NOW, &mut platform);
    platform.unavailable = true;
    agent.handle(AgentEvent::Drain);
    for _ in 0..150 {
        agent.advance_time(100);
        agent.answer_all_calls(&mut platform);
    }
    assert!(agent.exited);
}

/// An agent that shuts down after its successor has registered leaves the
/// successor's registration unchanged.
#[test]
fn a_late_stop_leaves_the_successors_registration() {
    let mut platform = Platform::new();
    let mut old = TestAgent::beside_service(10, NOW, &mut platform);
    let _next = TestAgent::beside_service(11, NOW, &mut platform);
    old.handle(AgentEvent::Drain);
    for _ in 0..50 {
        old.advance_time(100);
        old.answer_all_calls(&mut platform);
    }
    assert!(old.exited);
    let member = member(&platform).expect("the successor is registered");
    assert_eq!((member.incarnation, member.leaving), (11, false));
}
