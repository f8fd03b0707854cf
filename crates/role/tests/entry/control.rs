//! Configuration, membership, planning and draining.

use crate::rig::{Rig, agent_peer, document, entry_peer, options};
use base::prelude::*;
use base::{PlatformAnswer, PlatformOp, PlatformResult, Version};
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

fn offer(rig: &mut Rig, changes: Vec<ConfigChange>) {
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

/// An operator's accepted change must not be undone by what comes late: an old
/// read, a doubled frame, an older snapshot. A broken change leaves all as it
/// was, and the revision never falls.
#[test]
fn the_configuration_never_steps_back() {
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
        offer(&mut rig, vec![change(2, &patch(2.0))]);
        offer(&mut rig, changes.clone());
        assert_eq!(rig.role.revision(), Revision(*revision), "{name}");
        assert!((weight(&rig) - cost).abs() < f64::EPSILON, "{name}");
    }
    // The platform's own old reads: a watch and a snapshot from before.
    let mut rig = Rig::new();
    offer(&mut rig, vec![change(2, &patch(2.0))]);
    let id = rig.log.iter().rev().find_map(|action| match action {
        EntryAction::CallPlatform(call) => match &call.op {
            PlatformOp::Watch { prefix, .. } if prefix == "config/" => Some(call.id),
            _ => None,
        },
        _ => None,
    });
    let old = ("config/000000000001".to_owned(), Version(1), b"{}".to_vec());
    rig.handle(EntryEvent::PlatformAnswered(PlatformAnswer {
        id: id.expect("the configuration is watched"),
        result: PlatformResult::Objects(vec![old], Version(0)),
    }));
    assert_eq!(rig.role.revision(), Revision(2));
}

/// The platform is away when the process starts. It takes the configuration
/// from a peer it knows by its settings, is not ready before, and says once
/// that the platform is away however often it tries.
#[test]
fn a_start_during_an_outage_takes_the_configuration_from_a_peer() {
    let mut options = options("e1", 7);
    options.peers = vec![(EntryId::new("e2"), "10.0.0.2:1".to_owned())];
    let mut rig = Rig::unready(options);
    rig.platform_away = true;
    let dialled = rig.log.iter().any(|action| {
        matches!(action, EntryAction::Connect { peer, .. } if *peer == entry_peer("e2"))
    });
    assert!(dialled);
    rig.start();
    rig.advance(3_000);
    let request = rig.ask("m1");
    assert_eq!(rig.refusal(request).code, Code::NotReady);
    rig.handle(EntryEvent::LinkUp {
        peer: entry_peer("e2"),
        incarnation: Incarnation(9),
    });
    let asked = rig.sent(|_, body| match body {
        frame::Body::ConfigAsk(ask) => Some(ask.after_revision),
        _ => None,
    });
    assert_eq!(asked, [0]);
    let ready = |rig: &Rig| {
        let log = rig.log.iter();
        log.filter(|action| matches!(action, EntryAction::SetReady(true)))
            .count()
    };
    assert_eq!(ready(&rig), 0);
    offer(&mut rig, vec![change(1, &document())]);
    assert_eq!(ready(&rig), 1);
    assert_eq!(rig.traced(EventKind::PlatformAway), 1);
    rig.agent("a1", &["m1"]);
    let request = rig.ask("m1");
    assert_eq!(rig.runs(request).len(), 1);
    rig.platform_away = false;
    rig.advance(6_000);
    assert_eq!(rig.traced(EventKind::PlatformBack), 1);
}

/// An agent that is silent, cut off, leaving or without its upstream gets no
/// new work, though it holds the model and nobody else does.
#[test]
fn no_new_work_for_an_agent_that_can_not_take_it() {
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
            r.beat("a1");
        }),
        ("goodbye", |r| {
            let goodbye = Goodbye {
                id: "a1".to_owned(),
                incarnation: 1,
            };
            r.frame("a1", frame::Body::Goodbye(goodbye));
        }),
        ("leaving by the platform's word", |r| {
            r.put("instances/a1", br#"{"state":"leaving"}"#);
            r.advance(200);
        }),
        ("leaving by the platform's word, missed by the watch", |r| {
            let word = br#"{"state":"leaving"}"#.to_vec();
            r.objects.insert("instances/a1".to_owned(), word);
            r.advance(30_100);
        }),
        ("upstream down", |r| {
            r.agents.get_mut("a1").expect("known").upstream_up = false;
            r.beat("a1");
        }),
        ("model gone", |r| {
            r.agents.get_mut("a1").expect("known").models.clear();
            r.beat("a1");
        }),
    ];
    for (name, fault) in rows {
        let mut rig = Rig::new();
        rig.agent("a1", &["m1"]);
        let before = rig.ask("m1");
        assert_eq!(rig.runs(before).len(), 1, "{name}");
        fault(&mut rig);
        let after = rig.ask("m1");
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

/// A planned stop: what runs is answered whole, what waits is served, new work
/// is refused as not run, and the process ends once, when it is empty.
#[test]
fn a_drain_cuts_nothing_off() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    let running = rig.ask("m1");
    let run = rig.run(running);
    rig.started(&run);
    rig.part(&run, 0, 2);
    rig.agents.get_mut("a1").expect("known").running = 9;
    rig.beat("a1");
    let waiting = rig.ask("m1");
    rig.handle(EntryEvent::Drain);
    rig.handle(EntryEvent::Drain);
    let new = rig.ask("m1");
    let refusal = rig.refusal(new);
    assert_eq!((refusal.code, refusal.ran), (Code::Leaving, Ran::NotRun));
    assert!(refusal.retry_after_ms.is_some());
    rig.advance(1_000);
    assert_eq!(rig.exits(), 0);
    rig.part(&run, 2, 1);
    rig.end(&run, 3);
    assert_eq!(rig.finished(running), Some(3));
    rig.agents.get_mut("a1").expect("known").running = 0;
    rig.beat("a1");
    let run = rig.run(waiting);
    rig.started(&run);
    assert_eq!(rig.exits(), 0);
    rig.part(&run, 0, 1);
    rig.end(&run, 1);
    assert_eq!(rig.finished(waiting), Some(1));
    let goodbyes = rig.sent(|peer, body| match body {
        frame::Body::Goodbye(_) => Some(peer.clone()),
        _ => None,
    });
    assert_eq!(goodbyes, [agent_peer("a1")]);
    rig.advance(3_000);
    assert_eq!(rig.exits(), 1);
}

/// Of two entries one plans a cell. When it stops, or is silent, the other
/// takes over within seconds.
#[test]
fn planning_is_handed_over() {
    for stops in [true, false] {
        let mut rig = Rig::new();
        rig.agent("a1", &[]);
        rig.advance(600);
        let cells = rig.role.status().planned_cells;
        assert_eq!(cells, ["gpu/d1/0"], "alone it plans");
        // Some entry ranks before this one.
        let cell = "gpu/d1/0";
        let mine = live::rendezvous_rank(cell, "e1");
        let names = (2..).map(|n| format!("e{n}"));
        let before = names
            .into_iter()
            .find(|name| live::rendezvous_rank(cell, name) > mine);
        let before = before.expect("there is always another name");
        let mut gossip = Gossip {
            entry: before.clone(),
            incarnation: 9,
            sequence: 1,
            ..Gossip::default()
        };
        let hear = |rig: &mut Rig, gossip: &Gossip| {
            rig.handle(EntryEvent::Frame {
                peer: entry_peer(&before),
                revision: Revision(0),
                body: frame::Body::Gossip(gossip.clone()),
            });
        };
        hear(&mut rig, &gossip);
        rig.advance(600);
        assert!(rig.role.status().planned_cells.is_empty());
        gossip.sequence += 1;
        gossip.leaving = stops;
        hear(&mut rig, &gossip);
        rig.advance(if stops { 600 } else { 2_600 });
        assert_eq!(rig.role.status().planned_cells, [cell]);
    }
}

/// An operator asks where a model is and why.
#[test]
fn a_model_is_explained() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    rig.ask("m2");
    rig.advance(600);
    let held = rig.role.explain_model("m1").join("\n");
    assert!(held.contains("a1 holds version 1"), "{held}");
    let asked = rig.role.explain_model("m2").join("\n");
    assert!(asked.contains("1 waiting"), "{asked}");
    let unknown = rig.role.explain_model("m9").join("\n");
    assert!(unknown.contains("no model"), "{unknown}");
}
