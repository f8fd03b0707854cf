//! An entry that resumes after a freeze.

use crate::rig::{Rig, entry_peer};
use base::prelude::*;
use base::{PlatformResponse, PlatformResult};
use role::entry::{EntryEvent, RequestedResource};
use schema::link::{Gossip, frame};
use schema::timeline::EventKind;

const FREEZE_MS: u64 = 12_000;

fn receive_gossip(rig: &mut Rig) {
    rig.handle(EntryEvent::Frame {
        peer: entry_peer("e2"),
        revision: Revision(0),
        body: frame::Body::Gossip(Gossip {
            entry: "e2".to_owned(),
            incarnation: 9,
            sequence: rig.now.as_us(),
            ..Gossip::default()
        }),
    });
}

fn freeze(rig: &mut Rig) {
    rig.clear();
    rig.now = rig.now.plus_ms(FREEZE_MS);
}

type Steps = fn(&mut Rig);

/// Events that a resumed process may handle first.
const FIRST_EVENTS: &[(&str, Steps)] = &[
    ("tick", |rig| rig.handle(EntryEvent::Tick)),
    ("gossip", receive_gossip),
    ("answer of the platform", |rig| {
        let (id, result) = (u64::MAX, PlatformResult::Unavailable);
        rig.handle(EntryEvent::PlatformAnswered(PlatformResponse {
            id,
            result,
        }));
        rig.handle(EntryEvent::Tick);
    }),
    ("tick, and a second freeze", |rig| {
        rig.handle(EntryEvent::Tick);
        rig.now = rig.now.plus_ms(3_000);
        rig.handle(EntryEvent::Tick);
    }),
];

/// After a freeze of 12 s, a request arrives before the entry has read the heartbeats in
/// its sockets. By its clock all agents are lost, though they are healthy. The request
/// has to wait until they are heard, and attempts from before the freeze continue.
#[test]
fn a_resumed_entry_reads_its_backlog_before_judging_silence() {
    for (name, first) in FIRST_EVENTS {
        let mut rig = Rig::new();
        rig.agent("a1", &["m1"]);
        rig.agent_in("s1", "desk", "d1", &[]);
        let (running, order) = (rig.request_model("m1"), rig.request_orders());
        for request in [running, order] {
            let run = rig.run(request);
            rig.started(&run);
        }
        let mut incoming =
            rig.incoming(RequestedResource::Model(Some(ModelId::new("m1"))));
        incoming.deadline_ms = Some(4_000);
        let runs = [rig.run(running), rig.run(order)];
        freeze(&mut rig);
        first(&mut rig);
        let request = rig.submit(incoming);
        assert!(rig.errors(request).is_empty(), "{name}");
        rig.send_heartbeats();
        assert_eq!(rig.events_recorded(EventKind::AgentLost), 0, "{name}");
        assert_eq!(rig.events_recorded(EventKind::AgentSuspected), 0, "{name}");
        assert_eq!(rig.run(request).agent, "a1", "{name}");
        rig.part(&runs[0], 0, 3);
        rig.end(&runs[0], 3);
        assert_eq!(rig.finished(running), Some(3), "{name}");
        assert!(rig.runs(order).is_empty() && rig.revokes(&runs[1]) == 0);
    }
}

/// If an agent died during the freeze, no frame of it is in the sockets. Its silence
/// counts from the end of the freeze: it is suspected after three heartbeat intervals and
/// lost after ten. Later silences are counted as usual.
#[test]
fn silence_is_counted_from_the_end_of_a_freeze() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    rig.agents.get_mut("a1").expect("known").silent = true;
    freeze(&mut rig);
    for _ in 0..2 {
        receive_gossip(&mut rig);
    }
    let liveness_events = |rig: &Rig| {
        let kinds = [EventKind::AgentSuspected, EventKind::AgentLost];
        kinds.map(|kind| rig.events_recorded(kind))
    };
    let mut passed_ms = 0;
    for (until_ms, expected) in [(900, [0, 0]), (1_700, [1, 0]), (4_400, [1, 0])] {
        rig.advance(until_ms - passed_ms);
        passed_ms = until_ms;
        assert_eq!(
            liveness_events(&rig),
            expected,
            "{until_ms} ms after the freeze"
        );
    }
    rig.advance(5_300 - passed_ms);
    assert_eq!(liveness_events(&rig), [1, 1]);
    rig.agent("a2", &["m1"]);
    rig.agents.get_mut("a2").expect("known").silent = true;
    rig.advance(1_700);
    assert_eq!(liveness_events(&rig), [2, 1]);
}

/// After a freeze, a request for a model without known holders does not trigger a plan
/// from the outdated view, as other entries have planned meanwhile. The entry plans after
/// the frames in its sockets have been read.
#[test]
fn no_plan_is_made_from_a_view_older_than_the_freeze() {
    let mut rig = Rig::new();
    rig.agent("a1", &[]);
    rig.advance(600);
    let before = rig.role.counters().plans;
    freeze(&mut rig);
    rig.handle(EntryEvent::Tick);
    let request = rig.request_model("m1");
    assert_eq!(rig.role.counters().plans, before);
    assert!(rig.errors(request).is_empty());
    let agent = rig.agents.get_mut("a1").expect("known");
    agent.models = vec![("m1".to_owned(), 1)];
    rig.send_heartbeats();
    assert_eq!(rig.run(request).agent, "a1");
    rig.advance(600);
    assert!(rig.role.counters().plans > before);
}

/// Two entries take turns to start exclusive runs of suspect requests. After a freeze an
/// entry must not consider itself the only one and start a run in the other's turn.
#[test]
fn a_resumed_entry_keeps_to_its_turns() {
    let mut rig = Rig::new();
    for agent in ["a1", "a2"] {
        rig.agent(agent, &["m1"]);
    }
    receive_gossip(&mut rig);
    let request = rig.request_model("m1");
    let run = rig.run(request);
    rig.started(&run);
    // Turns last 3 s; e1 has those that begin at even multiples of 3 s.
    while rig.now < Instant::from_ms(3_500) {
        rig.advance(100);
        receive_gossip(&mut rig);
    }
    rig.crash(&run, &[run.run.fingerprint]);
    assert_eq!(rig.runs(request).len(), 1, "it waits for its turn");
    rig.clear();
    rig.now = Instant::from_ms(16_500);
    rig.handle(EntryEvent::Tick);
    rig.send_heartbeats();
    assert!(rig.runs(request).is_empty());
}
