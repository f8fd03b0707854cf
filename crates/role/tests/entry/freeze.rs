//! An entry that stood still and wakes.

use crate::rig::{Rig, entry_peer};
use base::prelude::*;
use base::{PlatformAnswer, PlatformResult};
use role::entry::{EntryEvent, RequestedResource};
use schema::link::{Gossip, frame};
use schema::timeline::EventKind;

const FREEZE_MS: u64 = 12_000;

fn hear(rig: &mut Rig) {
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

type Play = fn(&mut Rig);

/// Events that a woken process may see first.
const FIRST: &[(&str, Play)] = &[
    ("tick", |rig| rig.handle(EntryEvent::Tick)),
    ("gossip", hear),
    ("answer of the platform", |rig| {
        let (id, result) = (u64::MAX, PlatformResult::Away);
        rig.handle(EntryEvent::PlatformAnswered(PlatformAnswer { id, result }));
        rig.handle(EntryEvent::Tick);
    }),
    ("tick, and a second freeze", |rig| {
        rig.handle(EntryEvent::Tick);
        rig.now = rig.now.plus_ms(3_000);
        rig.handle(EntryEvent::Tick);
    }),
];

/// An entry stands still for 12 s and is asked in the moment it wakes, before it
/// has read the heartbeats that wait in its sockets. By its clock all agents are
/// lost; they are well. The request waits for their word and is sent, and what
/// ran before is not given up.
#[test]
fn an_entry_that_wakes_reads_before_it_judges() {
    for (name, first) in FIRST {
        let mut rig = Rig::new();
        rig.agent("a1", &["m1"]);
        rig.agent_in("s1", "desk", "d1", &[]);
        let (running, order) = (rig.ask("m1"), rig.order());
        for request in [running, order] {
            let run = rig.run(request);
            rig.started(&run);
        }
        let mut arrival =
            rig.arrival(RequestedResource::Model(Some(ModelId::new("m1"))));
        arrival.deadline_ms = Some(4_000);
        let runs = [rig.run(running), rig.run(order)];
        freeze(&mut rig);
        first(&mut rig);
        let asked = rig.arrive(arrival);
        assert!(rig.refusals(asked).is_empty(), "{name}");
        rig.beat_all();
        assert_eq!(rig.traced(EventKind::AgentLost), 0, "{name}");
        assert_eq!(rig.traced(EventKind::AgentSuspected), 0, "{name}");
        assert_eq!(rig.run(asked).agent, "a1", "{name}");
        rig.part(&runs[0], 0, 3);
        rig.end(&runs[0], 3);
        assert_eq!(rig.finished(running), Some(3), "{name}");
        assert!(rig.runs(order).is_empty() && rig.revokes(&runs[1]) == 0);
    }
}

/// The agent died while the entry stood still, so nothing of it waits in any
/// socket. Its silence counts from the wake: it is suspected after three
/// heartbeats and lost after ten, as any other. Later silence counts as ever.
#[test]
fn silence_is_counted_from_the_wake() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    rig.agents.get_mut("a1").expect("known").silent = true;
    freeze(&mut rig);
    for _ in 0..2 {
        hear(&mut rig);
    }
    let verdicts = |rig: &Rig| {
        let kinds = [EventKind::AgentSuspected, EventKind::AgentLost];
        kinds.map(|kind| rig.traced(kind))
    };
    let mut passed_ms = 0;
    for (until_ms, expected) in [(900, [0, 0]), (1_700, [1, 0]), (4_400, [1, 0])] {
        rig.advance(until_ms - passed_ms);
        passed_ms = until_ms;
        assert_eq!(verdicts(&rig), expected, "{until_ms} ms after the wake");
    }
    rig.advance(5_300 - passed_ms);
    assert_eq!(verdicts(&rig), [1, 1]);
    rig.agent("a2", &["m1"]);
    rig.agents.get_mut("a2").expect("known").silent = true;
    rig.advance(1_700);
    assert_eq!(verdicts(&rig), [2, 1]);
}

/// An entry that wakes and hears a request for a model that nobody held when it
/// fell asleep makes no plan of what it knew then: others have planned since. It
/// plans once what waited in its sockets has been read.
#[test]
fn no_plan_is_made_on_the_view_from_before() {
    let mut rig = Rig::new();
    rig.agent("a1", &[]);
    rig.advance(600);
    let before = rig.role.counters().plans;
    freeze(&mut rig);
    rig.handle(EntryEvent::Tick);
    let request = rig.ask("m1");
    assert_eq!(rig.role.counters().plans, before);
    assert!(rig.refusals(request).is_empty());
    let held = rig.agents.get_mut("a1").expect("known");
    held.models = vec![("m1".to_owned(), 1)];
    rig.beat_all();
    assert_eq!(rig.run(request).agent, "a1");
    rig.advance(600);
    assert!(rig.role.counters().plans > before);
}

/// Two entries take turns to start what crashes upstreams. One of them stands
/// still; when it wakes, it does not take itself for the only one and start a
/// suspect in the other's turn.
#[test]
fn a_woken_entry_keeps_to_its_turns() {
    let mut rig = Rig::new();
    for agent in ["a1", "a2"] {
        rig.agent(agent, &["m1"]);
    }
    hear(&mut rig);
    let request = rig.ask("m1");
    let run = rig.run(request);
    rig.started(&run);
    // Turns of 3 s: e1 has those that begin at even multiples of it.
    while rig.now < Instant::from_ms(3_500) {
        rig.advance(100);
        hear(&mut rig);
    }
    rig.crash(&run, &[run.run.fingerprint]);
    assert_eq!(rig.runs(request).len(), 1, "it waits for the turn");
    rig.clear();
    rig.now = Instant::from_ms(16_500);
    rig.handle(EntryEvent::Tick);
    rig.beat_all();
    assert!(rig.runs(request).is_empty());
}
