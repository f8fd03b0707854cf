//! Configuration, membership, planning and draining.

use crate::rig::{Rig, agent_peer, document, entry_peer, options};
use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResponse, PlatformResult};
use role::entry::{EntryAction, EntryEvent};
use schema::link::{self, ConfigChange, ConfigChanges, Goodbye, Gossip, frame};
use schema::timeline::EventKind;
use serde_json::json;

fn change(revision: u64, patch: &serde_json::Value) -> ConfigChange {
    ConfigChange {
        revision,
        patch: patch.to_string().into_bytes(),
    }
}

fn receive_changes(rig: &mut Rig, changes: Vec<ConfigChange>) {
    rig.agents.clear();
    rig.handle(EntryEvent::Frame {
        peer: entry_peer("e2"),
        revision: Revision(0),
        body: frame::Body::ConfigChanges(ConfigChanges {
            changes,
            ..ConfigChanges::default()
        }),
    });
}

fn weight(rig: &Rig) -> f64 {
    rig.role.config().expect("in force").weights().move_cost
}

/// An accepted change must not be undone by late data: an old read, a duplicated frame or
/// an older snapshot. An invalid change has no effect, and the revision never decreases.
#[test]
fn the_configuration_revision_never_decreases() {
    let patch = |cost: f64| json!({"weights": {"attainment": 1.0, "move_cost": cost}});
    let broken = ConfigChange {
        revision: 3,
        patch: b"{".to_vec(),
    };
    let rows: &[(&str, Vec<ConfigChange>, u64, f64)] = &[
        (
            "older and same revisions",
            vec![change(1, &patch(8.0)), change(2, &patch(9.0))],
            2,
            2.0,
        ),
        ("a gap", vec![change(4, &patch(9.0))], 2, 2.0),
        ("not JSON", vec![broken.clone()], 2, 2.0),
        (
            "not shaped as the schema",
            vec![change(3, &json!({"models": 7}))],
            2,
            2.0,
        ),
        (
            "a broken one, then its next",
            vec![broken, change(4, &patch(9.0))],
            2,
            2.0,
        ),
        ("the next", vec![change(3, &patch(3.0))], 3, 3.0),
    ];
    for (name, changes, revision, cost) in rows {
        let mut rig = Rig::new();
        receive_changes(&mut rig, vec![change(2, &patch(2.0))]);
        receive_changes(&mut rig, changes.clone());
        assert_eq!(rig.role.revision(), Revision(*revision), "{name}");
        assert!((weight(&rig) - cost).abs() < f64::EPSILON, "{name}");
    }
    // An old read of the platform: a watch reports an earlier revision.
    let mut rig = Rig::new();
    receive_changes(&mut rig, vec![change(2, &patch(2.0))]);
    let id = rig.actions.iter().rev().find_map(|action| match action {
        EntryAction::CallPlatform(call) => match &call.op {
            PlatformOp::Watch { prefix, .. } if prefix == "config/" => Some(call.id),
            _ => None,
        },
        _ => None,
    });
    let old = (
        "config/000000000001".to_owned(),
        ObjectVersion(1),
        b"{}".to_vec(),
    );
    rig.handle(EntryEvent::PlatformAnswered(PlatformResponse {
        id: id.expect("the configuration is watched"),
        result: PlatformResult::Objects(vec![old], ObjectVersion(0)),
    }));
    assert_eq!(rig.role.revision(), Revision(2));
}

/// If the platform is unavailable at startup, the entry gets the configuration from a
/// peer in its settings. It is not ready before that, and records the outage only once
/// despite repeated calls.
#[test]
fn a_start_during_an_outage_takes_the_configuration_from_a_peer() {
    let mut options = options("e1", 7);
    options.peers = vec![(EntryId::new("e2"), "10.0.0.2:1".to_owned())];
    let mut rig = Rig::without_config(options);
    rig.platform_unavailable = true;
    let connected = rig.actions.iter().any(|action| {
        matches!(action, EntryAction::Connect { peer, .. } if *peer == entry_peer("e2"))
    });
    assert!(connected);
    rig.start();
    rig.advance(3_000);
    let request = rig.request_model("m1");
    assert_eq!(rig.error(request).code, ErrorCode::NotReady);
    rig.handle(EntryEvent::LinkUp {
        peer: entry_peer("e2"),
        incarnation: Incarnation(9),
    });
    let asked = rig.sent_frames(|_, body| match body {
        frame::Body::ConfigAsk(ask) => Some(ask.after_revision),
        _ => None,
    });
    assert_eq!(asked, [0]);
    let ready = |rig: &Rig| {
        let log = rig.actions.iter();
        log.filter(|action| matches!(action, EntryAction::SetReady(true)))
            .count()
    };
    assert_eq!(ready(&rig), 0);
    receive_changes(&mut rig, vec![change(1, &document())]);
    assert_eq!(ready(&rig), 1);
    assert_eq!(rig.events_recorded(EventKind::PlatformAway), 1);
    rig.agent("a1", &["m1"]);
    let request = rig.request_model("m1");
    assert_eq!(rig.runs(request).len(), 1);
    rig.platform_unavailable = false;
    rig.advance(6_000);
    assert_eq!(rig.events_recorded(EventKind::PlatformBack), 1);
}

/// An agent that is silent, disconnected, draining or without its upstream gets no new
/// requests, even if it is the only holder of the model.
#[test]
fn unavailable_agents_get_no_new_requests() {
    type Fault = fn(&mut Rig);
    let rows: &[(&str, Fault)] = &[
        ("link down", |r| r.link_down("a1")),
        ("silent", |r| {
            r.agents.get_mut("a1").expect("known").silent = true;
            r.advance(1_600);
        }),
        ("silent here, heard by another entry", |r| {
            r.agents.get_mut("a1").expect("known").silent = true;
            r.advance(1_600);
            let mut agent = r.agents["a1"].clone();
            agent.sequence += 1;
            relay(r, vec![crate::rig::heartbeat("a1", &agent)]);
        }),
        ("leaving by heartbeat", |r| {
            r.agents.get_mut("a1").expect("known").leaving = true;
            r.send_heartbeat("a1");
        }),
        ("goodbye", |r| {
            let goodbye = Goodbye {
                id: "a1".to_owned(),
                incarnation: 1,
            };
            r.frame("a1", frame::Body::Goodbye(goodbye));
        }),
        ("leaving according to the platform", |r| {
            r.write_object("instances/a1", br#"{"state":"leaving"}"#);
            r.advance(200);
        }),
        (
            "leaving according to the platform, missed by the watch",
            |r| {
                let state = br#"{"state":"leaving"}"#.to_vec();
                r.objects.insert("instances/a1".to_owned(), state);
                r.advance(30_100);
            },
        ),
        ("upstream down", |r| {
            r.agents.get_mut("a1").expect("known").upstream_up = false;
            r.send_heartbeat("a1");
        }),
        ("model gone", |r| {
            r.agents.get_mut("a1").expect("known").models.clear();
            r.send_heartbeat("a1");
        }),
    ];
    for (name, fault) in rows {
        let mut rig = Rig::new();
        rig.agent("a1", &["m1"]);
        let before = rig.request_model("m1");
        assert_eq!(rig.runs(before).len(), 1, "{name}");
        fault(&mut rig);
        let after = rig.request_model("m1");
        assert!(rig.runs(after).is_empty(), "{name}");
    }
}

fn relay(rig: &mut Rig, agents: Vec<link::Heartbeat>) {
    rig.handle(EntryEvent::Frame {
        peer: entry_peer("e2"),
        revision: Revision(0),
        body: frame::Body::Gossip(Gossip {
            entry: "e2".to_owned(),
            incarnation: 9,
            sequence: rig.now.as_us(),
            agents,
            ..Gossip::default()
        }),
    });
}

/// In a drain, running requests are completed and waiting ones are served. New ones are
/// refused as not run. The process exits once, after the last request has ended.
#[test]
fn a_drain_completes_all_requests() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    let running = rig.request_model("m1");
    let run = rig.run(running);
    rig.started(&run);
    rig.part(&run, 0, 2);
    rig.agents.get_mut("a1").expect("known").running = 9;
    rig.send_heartbeat("a1");
    let waiting = rig.request_model("m1");
    rig.handle(EntryEvent::Drain);
    rig.handle(EntryEvent::Drain);
    let new = rig.request_model("m1");
    let error = rig.error(new);
    assert_eq!(
        (error.code, error.ran),
        (ErrorCode::Leaving, RunStatus::NotRun)
    );
    assert!(error.retry_after_ms.is_some());
    rig.advance(1_000);
    assert_eq!(rig.exits(), 0);
    rig.part(&run, 2, 1);
    rig.end(&run, 3);
    assert_eq!(rig.finished(running), Some(3));
    rig.agents.get_mut("a1").expect("known").running = 0;
    rig.send_heartbeat("a1");
    let run = rig.run(waiting);
    rig.started(&run);
    assert_eq!(rig.exits(), 0);
    rig.part(&run, 0, 1);
    rig.end(&run, 1);
    assert_eq!(rig.finished(waiting), Some(1));
    let goodbyes = rig.sent_frames(|peer, body| match body {
        frame::Body::Goodbye(_) => Some(peer.clone()),
        _ => None,
    });
    assert_eq!(goodbyes, [agent_peer("a1")]);
    rig.advance(3_000);
    assert_eq!(rig.exits(), 1);
}

/// Only one entry plans a cell. When it drains or falls silent, the other one takes over
/// within seconds.
#[test]
fn planning_fails_over_to_another_entry() {
    for stops in [true, false] {
        let mut rig = Rig::new();
        rig.agent("a1", &[]);
        rig.advance(600);
        let cells = rig.role.status().planned_cells;
        assert_eq!(cells, ["gpu/d1/0"], "the only entry plans");
        // An entry that ranks before this one.
        let cell = "gpu/d1/0";
        let own_weight = live::rendezvous_rank(cell, "e1");
        let names = (2..).map(|n| format!("e{n}"));
        let before = names
            .into_iter()
            .find(|name| live::rendezvous_rank(cell, name) > own_weight);
        let before = before.expect("there is always another name");
        let mut gossip = Gossip {
            entry: before.clone(),
            incarnation: 9,
            sequence: 1,
            ..Gossip::default()
        };
        let send_gossip = |rig: &mut Rig, gossip: &Gossip| {
            rig.handle(EntryEvent::Frame {
                peer: entry_peer(&before),
                revision: Revision(0),
                body: frame::Body::Gossip(gossip.clone()),
            });
        };
        send_gossip(&mut rig, &gossip);
        rig.advance(600);
        assert!(rig.role.status().planned_cells.is_empty());
        gossip.sequence += 1;
        gossip.leaving = stops;
        send_gossip(&mut rig, &gossip);
        rig.advance(if stops { 600 } else { 2_600 });
        assert_eq!(rig.role.status().planned_cells, [cell]);
    }
}

/// `/explain` reports where a model is held, and the requests that wait for one.
#[test]
fn a_model_is_explained() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    rig.request_model("m2");
    rig.advance(600);
    let held = rig.role.explain_model("m1").join("\n");
    assert!(held.contains("a1 holds version 1"), "{held}");
    let asked = rig.role.explain_model("m2").join("\n");
    assert!(asked.contains("1 waiting"), "{asked}");
    let unknown = rig.role.explain_model("m9").join("\n");
    assert!(unknown.contains("no model"), "{unknown}");
}
