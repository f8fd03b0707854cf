//! What an entry holds against requests, and what it tells of it.

use crate::rig::{Rig, document, entry_peer, options};
use base::prelude::*;
use role::Peer;
use role::entry::{EntryAction, EntryEvent, RequestedResource};
use schema::link::{End, Gossip, Suspect, frame};
use schema::timeline::{Event, EventKind};
use serde_json::json;

const DEADLY: u64 = 666;

fn ask(rig: &mut Rig) -> RequestId {
    let mut arrival = rig.arrival(RequestedResource::Model(Some(ModelId::new("m1"))));
    arrival.body_hash = DEADLY;
    rig.arrive(arrival)
}

/// The newest attempt of a request ends with a crash of one run of its upstream.
fn crash(rig: &mut Rig, request: RequestId, upstream_incarnation: u64) -> String {
    let run = rig.run(request);
    rig.started(&run);
    let body = frame::Body::End(End {
        attempt: run.run.attempt,
        code: Code::UpstreamLost.number(),
        ran: Ran::Ran.number(),
        upstream_crashed: true,
        crash_fingerprints: vec![run.run.fingerprint],
        upstream_incarnation,
        ..End::default()
    });
    rig.frame(&run.agent, body);
    run.agent
}

fn events(rig: &Rig, kind: EventKind) -> Vec<Event> {
    let traced = rig.log.iter().filter_map(|action| match action {
        EntryAction::RecordEvent(event) if event.kind == kind as i32 => {
            Some(event.clone())
        }
        _ => None,
    });
    traced.collect()
}

/// Suspects told to the other entry, by gossip.
fn told(rig: &Rig) -> Vec<Vec<Suspect>> {
    rig.sent(|peer, body| match (peer, body) {
        (Peer::Entry(_), frame::Body::Gossip(gossip)) => Some(gossip.suspects.clone()),
        _ => None,
    })
}

fn with_peer() -> Rig {
    let mut rig = Rig::new();
    for agent in ["a1", "a2", "a3"] {
        rig.agent(agent, &["m1"]);
    }
    rig.handle(EntryEvent::LinkUp {
        peer: entry_peer("e2"),
        incarnation: Incarnation(9),
    });
    rig
}

/// A request crashes two upstreams. Operators find each of the two steps as an
/// event, with the request, the upstream and the code that callers get.
#[test]
fn suspicion_and_conviction_are_traced() {
    let mut rig = with_peer();
    let request = ask(&mut rig);
    let first = crash(&mut rig, request, 1);
    let suspected = events(&rig, EventKind::RequestSuspected);
    assert_eq!(suspected.len(), 1);
    assert_eq!(suspected[0].request, request.to_string());
    assert_eq!(suspected[0].peer, first);
    rig.advance(500);
    let second = crash(&mut rig, request, 1);
    assert_ne!(first, second);
    let convicted = events(&rig, EventKind::RequestConvicted);
    assert_eq!(convicted.len(), 1);
    assert_eq!(convicted[0].code, Code::Convicted.number());
    assert_eq!(convicted[0].peer, second);
    assert_eq!(events(&rig, EventKind::RequestSuspected).len(), 1);
    assert_eq!(rig.refusal(request).code, Code::Convicted);
}

/// Another entry's word makes a suspect a convict. What waits here is refused
/// by that word, not by the next heartbeat, and the event is recorded once.
#[test]
fn a_word_from_a_peer_ends_the_wait() {
    let mut rig = with_peer();
    let (request, before) = (ask(&mut rig), rig.ask("m1"));
    // Another suspect of the model runs alone, so this one waits.
    crash(&mut rig, before, 1);
    assert!(rig.run(before).run.alone);
    let first = crash(&mut rig, request, 2);
    assert!(rig.refusals(request).is_empty() && rig.runs(request).len() == 1);
    rig.advance(20);
    let word = told(&rig).pop().expect("told at once");
    let fingerprint = rig.run(request).run.fingerprint;
    let mut suspects = word.into_iter();
    let suspect = suspects.find(|held| held.fingerprint == fingerprint);
    let mut suspect = suspect.expect("both are told");
    let other = if first == "a1" { "a2" } else { "a1" };
    suspect.crashes[0].agent = other.to_owned();
    for sequence in 1..=2 {
        rig.handle(EntryEvent::Frame {
            peer: entry_peer("e2"),
            revision: Revision(0),
            body: frame::Body::Gossip(Gossip {
                entry: "e2".to_owned(),
                incarnation: 9,
                sequence,
                suspects: vec![suspect.clone()],
                ..Gossip::default()
            }),
        });
    }
    let refusal = rig.refusal(request);
    assert_eq!((refusal.code, refusal.ran), (Code::Convicted, Ran::Ran));
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(events(&rig, EventKind::RequestConvicted).len(), 1);
    let later = ask(&mut rig);
    let refusal = rig.refusal(later);
    assert_eq!((refusal.code, refusal.ran), (Code::Convicted, Ran::NotRun));
}

/// A crash happens a millisecond after gossip was sent. The other entries hear
/// of it within 20 ms all the same: until then they would start copies of the
/// request among others.
#[test]
fn a_crash_is_told_at_once() {
    let mut rig = with_peer();
    let (first, second) = (ask(&mut rig), rig.ask("m1"));
    crash(&mut rig, first, 1);
    rig.advance(1);
    let before = told(&rig).len();
    crash(&mut rig, second, 2);
    rig.advance(20);
    let since = &told(&rig)[before..];
    assert!(
        since.iter().any(|suspects| suspects.len() == 2),
        "{since:?}"
    );
}

/// One upstream dies twice, in two of its runs; the agent beside it goes on.
/// Entries tell both crashes, and the second is no repeated report of the first.
#[test]
fn two_crashes_of_one_upstream_are_two() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    rig.handle(EntryEvent::LinkUp {
        peer: entry_peer("e2"),
        incarnation: Incarnation(9),
    });
    // A copy was on its way when the first died, so both ran there.
    let (first, second) = (ask(&mut rig), ask(&mut rig));
    crash(&mut rig, first, 41);
    crash(&mut rig, second, 42);
    rig.advance(30);
    let last = told(&rig).pop().expect("told");
    let runs: Vec<u64> = last[0]
        .crashes
        .iter()
        .map(|crash| crash.upstream_incarnation)
        .collect();
    assert_eq!(runs, [41, 42]);
    assert!(!last[0].convicted, "the upstream may be broken itself");
}

/// An operator shortens the time for which verdicts hold. The next verdict ends
/// after the new time.
#[test]
fn the_length_of_a_verdict_follows_the_configuration() {
    for (patch, expected_ms) in
        [(json!({}), 600_000), (json!({"verdict_ms": 9_000}), 9_000)]
    {
        let mut rig = Rig::unready(options("e1", 7));
        rig.publish(1, &document());
        rig.start();
        rig.publish(2, &json!({"limits": patch}));
        rig.advance(10_500);
        assert_eq!(rig.role.revision(), Revision(2));
        rig.agent("a1", &["m1"]);
        let request = ask(&mut rig);
        crash(&mut rig, request, 1);
        let refusal = rig.refusal(request);
        assert_eq!(refusal.retry_after_ms, Some(expected_ms));
    }
}

/// A change that can't be read is shown as rejected and not as applied.
#[test]
fn a_rejected_change_is_traced_as_such() {
    let mut rig = Rig::new();
    rig.clear();
    let key = conf::revision_key(Revision(2));
    rig.objects.insert(key, b"{ not json".to_vec());
    rig.advance(10_500);
    assert_eq!(rig.traced(EventKind::ConfigApplied), 0);
    assert!(rig.traced(EventKind::ConfigRejected) > 0);
    assert_eq!(rig.role.revision(), Revision(1));
}
