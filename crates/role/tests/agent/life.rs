//! Start, heartbeats, configuration and stop.

use crate::stand::*;
use base::prelude::*;
use prost::Message as _;
use role::agent::{AgentEvent, UpstreamEvent};
use schema::link::{
    ConfigAsk, ConfigChange, ConfigChanges, Heartbeat, ResidentState, frame,
};
use schema::store::Member;

const NOW: Instant = Instant::from_ms(1_000);

fn beats(node: &Node) -> Vec<&Heartbeat> {
    let bodies = node.frames.iter().filter_map(|(_, body)| match body {
        frame::Body::Heartbeat(heartbeat) => Some(heartbeat),
        _ => None,
    });
    bodies.collect()
}

fn member(platform: &Platform) -> Option<Member> {
    let (_, value) = platform.objects.get("live/agent/one")?;
    Some(Member::decode(value.as_slice()).expect("the agent registers itself"))
}

/// The platform is away when the agent starts. It takes its configuration from
/// an entry and serves; the epoch follows when the platform is back.
#[test]
fn a_start_without_the_platform_takes_the_configuration_from_an_entry() {
    let mut platform = Platform::new();
    platform.away = true;
    let mut node = Node::start(10, "desk", "127.0.0.1:1", NOW);
    node.pump(&mut platform);
    node.report(&Engine::new());
    node.link_up(ENTRY);
    assert!(!node.ready, "ready without a configuration");
    let asked = |body: &frame::Body| matches!(body, frame::Body::ConfigAsk(_));
    assert!(node.frames.iter().any(|(_, body)| asked(body)));
    let patch = platform.objects["config/000000000001"].1.clone();
    let change = ConfigChange { revision: 1, patch };
    node.frame(frame::Body::ConfigChanges(ConfigChanges {
        changes: vec![change],
        ..ConfigChanges::default()
    }));
    assert!(node.ready);
    assert_eq!(node.role.status().epoch, 0);
    platform.away = false;
    for _ in 0..50 {
        node.pass(100);
        node.pump(&mut platform);
    }
    assert_eq!(node.role.status().epoch, 1);
    assert!(member(&platform).is_some());
}

/// The platform answers late and offers what is in force already, or a change
/// behind a gap: the agent keeps its configuration and asks for what it lacks.
#[test]
fn a_configuration_never_steps_back() {
    let mut platform = Platform::new();
    let mut node = Node::service(10, NOW, &mut platform);
    let change = |revision, text: &str| ConfigChange {
        revision,
        patch: text.as_bytes().to_vec(),
    };
    let cases: [(&str, ConfigChange, u64); 4] = [
        ("behind a gap", change(3, r#"{"deployment": "x"}"#), 1),
        ("the next", change(2, r#"{"deployment": "y"}"#), 2),
        ("in force already", change(1, r#"{"pools": null}"#), 2),
        ("broken", change(3, "{"), 2),
    ];
    for (name, change, revision) in cases {
        node.frame(frame::Body::ConfigChanges(ConfigChanges {
            changes: vec![change],
            ..ConfigChanges::default()
        }));
        assert_eq!(node.role.revision(), Revision(revision), "{name}");
    }
    node.frames.clear();
    node.pass(1_000);
    node.frames.clear();
    node.handle(AgentEvent::Frame {
        entry: EntryId::new(ENTRY),
        revision: Revision(9),
        body: frame::Body::ConfigAsk(ConfigAsk { after_revision: 1 }),
    });
    let sent: Vec<&frame::Body> = node.frames.iter().map(|(_, body)| body).collect();
    assert!(matches!(sent[0], frame::Body::ConfigChanges(c) if c.changes.len() == 1));
    assert!(matches!(sent[1], frame::Body::ConfigAsk(a) if a.after_revision == 2));
}

/// Entries route by heartbeats: they come at their interval, and at once when
/// residency, the upstream's life or leaving change.
#[test]
fn heartbeats_come_at_their_interval_and_on_change() {
    let mut platform = Platform::new();
    let mut engine = Engine::new();
    let mut node = Node::engine(10, "127.0.0.1:1", NOW, &mut platform, &engine);
    node.frames.clear();
    node.pass(10 * HEARTBEAT_MS);
    assert_eq!(beats(&node).len(), 10);

    node.frames.clear();
    node.target("p", 1, &[("a", 1)]);
    let loading = beats(&node)[0].residents[0].state();
    assert_eq!(loading, ResidentState::Loading);
    node.pump(&mut platform);
    node.deliver_orders(&mut engine);
    engine.finish();
    node.frames.clear();
    node.report(&engine);
    let beat = beats(&node)[0];
    assert_eq!(beat.residents[0].state(), ResidentState::Loaded);
    assert!(beat.upstream_up && !beat.leaving);

    node.frames.clear();
    node.upstream(UpstreamEvent::Down);
    assert!(!beats(&node)[0].upstream_up);
    node.frames.clear();
    node.handle(AgentEvent::Drain);
    assert!(beats(&node)[0].leaving);
}

/// A planned stop says so everywhere, cuts nothing off, and takes the process
/// out of the list of live ones last.
#[test]
fn a_stop_finishes_what_runs() {
    let mut platform = Platform::new();
    let mut engine = Engine::new();
    let mut node = Node::engine(10, "127.0.0.1:1", NOW, &mut platform, &engine);
    node.target("p", 1, &[("a", 1)]);
    node.work(300, &mut platform, &mut engine);
    node.frame(frame::Body::Run(model_run(1, 10, "a")));
    node.upstream(UpstreamEvent::Started { attempt: id(1) });
    node.handle(AgentEvent::Drain);
    node.target("p", 1, &[("c", 1)]);
    node.work(1_000, &mut platform, &mut engine);
    assert!(!node.ready && !node.exited);
    assert!(engine.holds("a"), "unloaded in mid answer");
    assert!(member(&platform).is_some_and(|member| member.leaving));
    node.serve(1);
    node.pump(&mut platform);
    assert!(node.exited);
    assert!(node.stops.is_empty());
    assert_eq!(node.end(1).map(|end| end.code), Some(0));
    assert!(member(&platform).is_none());
    let last = node.frames.iter().rev().find_map(|(_, body)| match body {
        frame::Body::Goodbye(goodbye) => Some(goodbye.incarnation),
        _ => None,
    });
    assert_eq!(last, Some(10));
}

/// The platform is away during a stop: the stop does not wait for it for ever.
#[test]
fn a_stop_does_not_wait_for_the_platform() {
    let mut platform = Platform::new();
    let mut node = Node::service(10, NOW, &mut platform);
    platform.away = true;
    node.handle(AgentEvent::Drain);
    for _ in 0..150 {
        node.pass(100);
        node.pump(&mut platform);
    }
    assert!(node.exited);
}

/// An agent that is stopped after its successor has registered leaves the
/// successor's registration alone.
#[test]
fn a_late_stop_leaves_the_successors_registration() {
    let mut platform = Platform::new();
    let mut old = Node::service(10, NOW, &mut platform);
    let _next = Node::service(11, NOW, &mut platform);
    old.handle(AgentEvent::Drain);
    for _ in 0..50 {
        old.pass(100);
        old.pump(&mut platform);
    }
    assert!(old.exited);
    let member = member(&platform).expect("the successor is registered");
    assert_eq!((member.incarnation, member.leaving), (11, false));
}
