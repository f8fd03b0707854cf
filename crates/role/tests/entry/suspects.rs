//! Suspect and convicted requests: timeline events, gossip and refusals.

use crate::rig::{Rig, document, entry_peer, options};
use base::prelude::*;
use role::Peer;
use role::entry::{EntryAction, EntryEvent, RequestedResource};
use schema::link::{End, Gossip, Suspect, frame};
use schema::timeline::{Event, EventKind};
use serde_json::json;

const POISON_BODY_HASH: u64 = 666;

fn send_poison(rig: &mut Rig) -> RequestId {
    let mut incoming = rig.incoming(RequestedResource::Model(Some(ModelId::new("m1"))));
    incoming.body_hash = POISON_BODY_HASH;
    rig.submit(incoming)
}

/// Ends the latest attempt of a request with a crash of the given upstream incarnation.
/// Returns the agent.
fn crash(rig: &mut Rig, request: RequestId, upstream_incarnation: u64) -> String {
    let run = rig.run(request);
    rig.started(&run);
    let body = frame::Body::End(End {
        attempt: run.run.attempt,
        code: ErrorCode::UpstreamLost.number(),
        ran: RunStatus::Ran.number(),
        upstream_crashed: true,
        crash_fingerprints: vec![run.run.fingerprint],
        upstream_incarnation,
        ..End::default()
    });
    rig.frame(&run.agent, body);
    run.agent
}

fn events(rig: &Rig, kind: EventKind) -> Vec<Event> {
    let recorded = rig.actions.iter().filter_map(|action| match action {
        EntryAction::RecordEvent(event) if event.kind == kind as i32 => {
            Some(event.clone())
        }
        _ => None,
    });
    recorded.collect()
}

/// Suspects in each gossip message sent.
fn gossiped_suspects(rig: &Rig) -> Vec<Vec<Suspect>> {
    rig.sent_frames(|peer, body| match (peer, body) {
        (Peer::Entry(_), frame::Body::Gossip(gossip)) => Some(gossip.suspects.clone()),
        _ => None,
    })
}

fn rig_with_peer() -> Rig {
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

/// When a request crashes two upstreams, the timeline has an event for each step, with
/// the request, the agent and the code that callers get.
#[test]
fn suspicion_and_conviction_are_recorded() {
    let mut rig = rig_with_peer();
    let request = send_poison(&mut rig);
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
    assert_eq!(
        convicted[0].code,
        ErrorCode::RequestCrashedUpstreams.number()
    );
    assert_eq!(convicted[0].peer, second);
    assert_eq!(events(&rig, EventKind::RequestSuspected).len(), 1);
    assert_eq!(rig.error(request).code, ErrorCode::RequestCrashedUpstreams);
}

/// When gossip of another entry convicts a suspect request, a waiting copy is refused at
/// once and not at the next heartbeat. The event is recorded once.
#[test]
fn a_conviction_by_a_peer_ends_the_wait() {
    let mut rig = rig_with_peer();
    let (request, before) = (send_poison(&mut rig), rig.request_model("m1"));
    // Another suspect request has the model's exclusive run, so this one waits.
    crash(&mut rig, before, 1);
    assert!(rig.run(before).run.alone);
    let first = crash(&mut rig, request, 2);
    assert!(rig.errors(request).is_empty() && rig.runs(request).len() == 1);
    rig.advance(20);
    let gossip = gossiped_suspects(&rig).pop().expect("gossiped at once");
    let fingerprint = rig.run(request).run.fingerprint;
    let mut suspects = gossip.into_iter();
    let suspect = suspects.find(|suspect| suspect.fingerprint == fingerprint);
    let mut suspect = suspect.expect("both are in the gossip");
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
    let error = rig.error(request);
    assert_eq!(
        (error.code, error.ran),
        (ErrorCode::RequestCrashedUpstreams, RunStatus::Ran)
    );
    assert!(error.retry_after_ms.is_some());
    assert_eq!(events(&rig, EventKind::RequestConvicted).len(), 1);
    let later = send_poison(&mut rig);
    let error = rig.error(later);
    assert_eq!(
        (error.code, error.ran),
        (ErrorCode::RequestCrashedUpstreams, RunStatus::NotRun)
    );
}

/// A crash right after a gossip message is still gossiped within 20 ms. Until then the
/// other entries would run copies of the request next to other requests.
#[test]
fn a_crash_is_gossiped_at_once() {
    let mut rig = rig_with_peer();
    let (first, second) = (send_poison(&mut rig), rig.request_model("m1"));
    crash(&mut rig, first, 1);
    rig.advance(1);
    let before = gossiped_suspects(&rig).len();
    crash(&mut rig, second, 2);
    rig.advance(20);
    let since = &gossiped_suspects(&rig)[before..];
    assert!(
        since.iter().any(|suspects| suspects.len() == 2),
        "{since:?}"
    );
}

/// Crashes of two incarnations of one upstream, with the same agent incarnation, are both
/// gossiped: the second is not taken for a repeated report of the first.
#[test]
fn two_crashes_of_one_upstream_are_distinguished() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    rig.handle(EntryEvent::LinkUp {
        peer: entry_peer("e2"),
        incarnation: Incarnation(9),
    });
    // A copy was in transit at the first crash, so both ran there.
    let (first, second) = (send_poison(&mut rig), send_poison(&mut rig));
    crash(&mut rig, first, 41);
    crash(&mut rig, second, 42);
    rig.advance(30);
    let last = gossiped_suspects(&rig).pop().expect("gossiped");
    let runs: Vec<u64> = last[0]
        .crashes
        .iter()
        .map(|crash| crash.upstream_incarnation)
        .collect();
    assert_eq!(runs, [41, 42]);
    assert!(!last[0].convicted, "the upstream may be broken itself");
}

/// A change of `verdict_ms` applies to the next verdict.
#[test]
fn the_length_of_a_verdict_follows_the_configuration() {
    for (patch, expected_ms) in
        [(json!({}), 600_000), (json!({"verdict_ms": 9_000}), 9_000)]
    {
        let mut rig = Rig::without_config(options("e1", 7));
        rig.publish(1, &document());
        rig.start();
        rig.publish(2, &json!({"limits": patch}));
        rig.advance(10_500);
        assert_eq!(rig.role.revision(), Revision(2));
        rig.agent("a1", &["m1"]);
        let request = send_poison(&mut rig);
        crash(&mut rig, request, 1);
        let error = rig.error(request);
        assert_eq!(error.retry_after_ms, Some(expected_ms));
    }
}

/// A change that can't be decoded is recorded as rejected and not as applied.
#[test]
fn a_rejected_change_is_recorded_as_rejected() {
    let mut rig = Rig::new();
    rig.clear();
    let key = conf::revision_key(Revision(2));
    rig.objects.insert(key, b"{ not json".to_vec());
    rig.advance(10_500);
    assert_eq!(rig.events_recorded(EventKind::ConfigApplied), 0);
    assert!(rig.events_recorded(EventKind::ConfigRejected) > 0);
    assert_eq!(rig.role.revision(), Revision(1));
}
