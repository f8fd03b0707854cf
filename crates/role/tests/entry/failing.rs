//! Circuit breakers of upstreams that are reported up but fail their requests.

use crate::rig::{Rig, SentRun, entry_peer};
use base::prelude::*;
use role::entry::{EntryEvent, RequestedResource};
use schema::link::{Gossip, UpstreamVerdict, frame};
use schema::timeline::EventKind;

fn submit_service_request(rig: &mut Rig, service: &str) -> RequestId {
    let incoming = rig.incoming(RequestedResource::Service(ServiceId::new(service)));
    rig.submit(incoming)
}

fn send_service_request(rig: &mut Rig, service: &str) -> SentRun {
    let request = submit_service_request(rig, service);
    rig.run(request)
}

fn answer(rig: &mut Rig, run: &SentRun) {
    rig.started(run);
    rig.part(run, 0, 1);
    rig.end(run, 1);
}

fn receive_breaker_states(rig: &mut Rig, verdicts: Vec<UpstreamVerdict>) {
    rig.handle(EntryEvent::Frame {
        peer: entry_peer("e2"),
        revision: Revision(0),
        body: frame::Body::Gossip(Gossip {
            entry: "e2".to_owned(),
            incarnation: 9,
            sequence: rig.now.as_us(),
            verdicts,
            ..Gossip::default()
        }),
    });
}

/// Two upstreams of plain services; the first fails until its breaker opens.
fn rig_with_failing(names: [&str; 2]) -> Rig {
    let mut rig = Rig::new();
    for name in names {
        rig.agent_in(name, "desk", "d1", &[]);
    }
    for _ in 0..60 {
        let request = submit_service_request(&mut rig, "parts");
        let run = rig.run(request);
        if run.agent == names[0] {
            rig.started(&run);
            rig.fail(&run, ErrorCode::UpstreamFault, RunStatus::Ran);
        }
        if rig.errors(request).is_empty() {
            let run = rig.run(request);
            answer(&mut rig, &run);
        }
        rig.advance(1);
    }
    assert_eq!(rig.events_recorded(EventKind::UpstreamFailing), 1);
    rig
}

/// Agents that requests are sent to during `ms`, one request every 100 ms, all
/// answered.
fn answer_requests(rig: &mut Rig, service: &str, ms: u64, gossip: bool) -> Vec<String> {
    let mut agents = Vec::new();
    for _ in 0..ms / 100 {
        if gossip {
            receive_breaker_states(rig, Vec::new());
        }
        let run = send_service_request(rig, service);
        answer(rig, &run);
        agents.push(run.agent);
        rig.advance(100);
    }
    agents
}

/// Refusals by agents and crashes of the upstream do not count as failures for the circuit
/// breaker, so the upstream keeps getting requests.
#[test]
fn refusals_and_crashes_do_not_open_the_breaker() {
    let mut rig = Rig::new();
    rig.agent_in("s1", "desk", "d1", &[]);
    rig.agent_in("s2", "desk", "d1", &[]);
    for _ in 0..30 {
        let run = send_service_request(&mut rig, "parts");
        rig.refuse(&run, ErrorCode::GateFull);
        let run = send_service_request(&mut rig, "parts");
        rig.started(&run);
        rig.crash(&run, &[run.run.fingerprint]);
        rig.advance(10);
    }
    assert_eq!(rig.events_recorded(EventKind::UpstreamFailing), 0);
}

/// A failing upstream gets one probe per second, and the other requests go to the other
/// one. After a successful probe it gets its share again.
#[test]
fn one_probe_per_second_until_recovery() {
    let mut rig = rig_with_failing(["s1", "s2"]);
    let first = answer_requests(&mut rig, "parts", 900, false);
    assert!(first.iter().all(|agent| agent == "s2"), "{first:?}");
    rig.advance(200);
    let run = send_service_request(&mut rig, "parts");
    assert_eq!(run.agent, "s1");
    rig.started(&run);
    // No second probe is sent while the outcome of this one is unknown.
    let meanwhile = answer_requests(&mut rig, "parts", 2_000, false);
    assert!(meanwhile.iter().all(|agent| agent == "s2"), "{meanwhile:?}");
    answer(&mut rig, &run);
    assert_eq!(rig.events_recorded(EventKind::UpstreamRecovered), 1);
    let after = answer_requests(&mut rig, "parts", 3_000, false);
    assert!(after.iter().filter(|agent| *agent == "s1").count() > 5);
}

/// If the link breaks during a probe, its outcome never becomes known. The next probe must
/// still be sent, or the upstream would stay excluded forever.
#[test]
fn a_lost_probe_is_followed_by_another() {
    let mut rig = rig_with_failing(["s1", "s2"]);
    rig.advance(1_100);
    let run = send_service_request(&mut rig, "parts");
    assert_eq!(run.agent, "s1");
    rig.link_down("s1");
    rig.link_up("s1");
    rig.advance(1_100);
    let next = send_service_request(&mut rig, "parts");
    assert_eq!(next.agent, "s1");
}

/// If another entry is the one to probe, this one sends nothing to the failing upstream
/// until ten seconds have passed without a change of the breaker: the other entry may
/// get no requests to probe with.
#[test]
fn other_entries_probe_if_the_prober_does_not() {
    let entries = ["e1", "e2"].map(EntryId::new);
    let of_other = |name: &String| {
        let agent = AgentId::new(name);
        route::probing_entry(&agent, &entries) == Some(&entries[1])
    };
    let name = (0..).map(|n| format!("s{n}")).find(of_other);
    let name = name.expect("one of many");
    let mut rig = rig_with_failing([&name, "other"]);
    let agents = answer_requests(&mut rig, "parts", 9_000, true);
    assert!(!agents.contains(&name), "{agents:?}");
    let agents = answer_requests(&mut rig, "parts", 2_000, true);
    assert!(agents.contains(&name), "{agents:?}");
    assert_eq!(rig.events_recorded(EventKind::UpstreamRecovered), 1);
}

/// A request that is not idempotent is not used as a probe, since its outcome would be
/// unknown if it failed. If no other requests come, it is used after ten seconds.
#[test]
fn non_idempotent_calls_probe_last() {
    let mut rig = rig_with_failing(["s1", "s2"]);
    let agents = answer_requests(&mut rig, "orders", 9_000, false);
    assert!(agents.iter().all(|agent| agent == "s2"), "{agents:?}");
    let agents = answer_requests(&mut rig, "orders", 2_000, false);
    assert!(agents.iter().any(|agent| agent == "s1"), "{agents:?}");
}

/// A request whose probe failed is retried elsewhere even if the retry budget is
/// exhausted: it probed on behalf of all entries, at most once per second.
#[test]
fn a_failed_probe_is_retried_outside_the_budget() {
    let mut rig = rig_with_failing(["s1", "s2"]);
    loop {
        let request = submit_service_request(&mut rig, "parts");
        let run = rig.run(request);
        rig.started(&run);
        rig.fail(&run, ErrorCode::AnswerBroken, RunStatus::Ran);
        if !rig.errors(request).is_empty() {
            break;
        }
        // The only other upstream is tried again after a backoff.
        rig.advance(200);
        let run = rig.run(request);
        answer(&mut rig, &run);
    }
    rig.advance(1_100);
    let request = submit_service_request(&mut rig, "parts");
    let run = rig.run(request);
    assert_eq!(run.agent, "s1");
    rig.started(&run);
    rig.fail(&run, ErrorCode::UpstreamFault, RunStatus::Ran);
    let run = rig.run(request);
    assert_eq!(run.agent, "s2");
    answer(&mut rig, &run);
    assert_eq!(rig.finished(request), Some(1));
}

/// A breaker opened or closed by another entry takes effect here at once. An older state
/// that arrives late is ignored.
#[test]
fn breaker_state_is_shared() {
    let mut rig = Rig::new();
    rig.agent_in("s1", "desk", "d1", &[]);
    rig.agent_in("s2", "desk", "d1", &[]);
    let verdict = |version, open| UpstreamVerdict {
        agent: "s1".to_owned(),
        version,
        open,
    };
    receive_breaker_states(&mut rig, vec![verdict(1, true)]);
    let agents = answer_requests(&mut rig, "parts", 900, false);
    assert!(agents.iter().all(|agent| agent == "s2"), "{agents:?}");
    receive_breaker_states(&mut rig, vec![verdict(2, false)]);
    rig.advance(1);
    receive_breaker_states(&mut rig, vec![verdict(1, true)]);
    let agents = answer_requests(&mut rig, "parts", 3_000, false);
    assert!(agents.iter().filter(|agent| *agent == "s1").count() > 5);
    assert_eq!(rig.events_recorded(EventKind::UpstreamFailing), 1);
    assert_eq!(rig.events_recorded(EventKind::UpstreamRecovered), 1);
}

/// A service accepts requests and never answers, while its agent's heartbeats continue.
/// Five stalled requests open the breaker, like five errors.
#[test]
fn stalls_count_as_failures() {
    let mut rig = Rig::new();
    rig.agent_in("s1", "desk", "d1", &[]);
    for _ in 0..5 {
        let run = send_service_request(&mut rig, "parts");
        rig.started(&run);
    }
    rig.advance(5_300);
    assert_eq!(rig.events_recorded(EventKind::UpstreamFailing), 1);
}
