//! Upstreams that answer heartbeats and fail the work given to them.

use crate::rig::{Rig, Sent, entry_peer};
use base::prelude::*;
use role::entry::{EntryEvent, RequestedResource};
use schema::link::{Gossip, UpstreamVerdict, frame};
use schema::timeline::EventKind;

fn ask(rig: &mut Rig, service: &str) -> RequestId {
    let arrival = rig.arrival(RequestedResource::Service(ServiceId::new(service)));
    rig.arrive(arrival)
}

fn call(rig: &mut Rig, service: &str) -> Sent {
    let request = ask(rig, service);
    rig.run(request)
}

fn answer(rig: &mut Rig, run: &Sent) {
    rig.started(run);
    rig.part(run, 0, 1);
    rig.end(run, 1);
}

fn hear(rig: &mut Rig, verdicts: Vec<UpstreamVerdict>) {
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

/// Two plain services; the first fails until it is given up.
fn failing(names: [&str; 2]) -> Rig {
    let mut rig = Rig::new();
    for name in names {
        rig.agent_in(name, "desk", "d1", &[]);
    }
    for _ in 0..60 {
        let request = ask(&mut rig, "parts");
        let run = rig.run(request);
        if run.agent == names[0] {
            rig.started(&run);
            rig.fail(&run, Code::UpstreamFault, Ran::Ran);
        }
        if rig.refusals(request).is_empty() {
            let run = rig.run(request);
            answer(&mut rig, &run);
        }
        rig.advance(1);
    }
    assert_eq!(rig.traced(EventKind::UpstreamFailing), 1);
    rig
}

/// Agents that calls go to over a time, one call each 100 ms, all answered.
fn answered(rig: &mut Rig, service: &str, ms: u64, gossip: bool) -> Vec<String> {
    let mut agents = Vec::new();
    for _ in 0..ms / 100 {
        if gossip {
            hear(rig, Vec::new());
        }
        let run = call(rig, service);
        answer(rig, &run);
        agents.push(run.agent);
        rig.advance(100);
    }
    agents
}

/// Gates refuse, and an upstream crashes again and again. Neither says that the
/// upstream fails its work, so it goes on getting work.
#[test]
fn refusals_and_crashes_are_no_failures() {
    let mut rig = Rig::new();
    rig.agent_in("s1", "desk", "d1", &[]);
    rig.agent_in("s2", "desk", "d1", &[]);
    for _ in 0..30 {
        let run = call(&mut rig, "parts");
        rig.refuse(&run, Code::GateFull);
        let run = call(&mut rig, "parts");
        rig.started(&run);
        rig.crash(&run, &[run.run.fingerprint]);
        rig.advance(10);
    }
    assert_eq!(rig.traced(EventKind::UpstreamFailing), 0);
}

/// A failing service gets one call a second, and the rest goes elsewhere. Once a
/// probe ends well it gets its part again.
#[test]
fn one_probe_a_second_until_it_works() {
    let mut rig = failing(["s1", "s2"]);
    let first = answered(&mut rig, "parts", 900, false);
    assert!(first.iter().all(|agent| agent == "s2"), "{first:?}");
    rig.advance(200);
    let run = call(&mut rig, "parts");
    assert_eq!(run.agent, "s1");
    rig.started(&run);
    // While its outcome is open there is no second.
    let meanwhile = answered(&mut rig, "parts", 2_000, false);
    assert!(meanwhile.iter().all(|agent| agent == "s2"), "{meanwhile:?}");
    answer(&mut rig, &run);
    assert_eq!(rig.traced(EventKind::UpstreamRecovered), 1);
    let after = answered(&mut rig, "parts", 3_000, false);
    assert!(after.iter().filter(|agent| *agent == "s1").count() > 5);
}

/// The link breaks under a probe, so its outcome is never known. The next one is
/// sent all the same, or the service would be out for good.
#[test]
fn a_lost_probe_is_followed_by_another() {
    let mut rig = failing(["s1", "s2"]);
    rig.advance(1_100);
    let run = call(&mut rig, "parts");
    assert_eq!(run.agent, "s1");
    rig.link_down("s1");
    rig.link_up("s1");
    rig.advance(1_100);
    let next = call(&mut rig, "parts");
    assert_eq!(next.agent, "s1");
}

/// Another entry is the one to probe. This one sends nothing to the failing
/// service, until for ten seconds no word of a probe has come: the other may get
/// no calls to probe with.
#[test]
fn the_prober_probes_and_others_stand_in_for_it() {
    let entries = ["e1", "e2"].map(EntryId::new);
    let of_other = |name: &String| {
        let agent = AgentId::new(name);
        route::probing_entry(&agent, &entries) == Some(&entries[1])
    };
    let name = (0..).map(|n| format!("s{n}")).find(of_other);
    let name = name.expect("one of many");
    let mut rig = failing([&name, "other"]);
    let agents = answered(&mut rig, "parts", 9_000, true);
    assert!(!agents.contains(&name), "{agents:?}");
    let agents = answered(&mut rig, "parts", 2_000, true);
    assert!(agents.contains(&name), "{agents:?}");
    assert_eq!(rig.traced(EventKind::UpstreamRecovered), 1);
}

/// A call that must not run twice is not used to probe as long as others can be:
/// its outcome would be unknown. Where there are no others it is, after ten
/// seconds.
#[test]
fn orders_are_the_last_to_probe() {
    let mut rig = failing(["s1", "s2"]);
    let agents = answered(&mut rig, "orders", 9_000, false);
    assert!(agents.iter().all(|agent| agent == "s2"), "{agents:?}");
    let agents = answered(&mut rig, "orders", 2_000, false);
    assert!(agents.iter().any(|agent| agent == "s1"), "{agents:?}");
}

/// The retry budget is used up, and a probe fails. The caller whose request was
/// taken for it gets the answer from elsewhere: it was a probe for the fleet's
/// sake, and there is one a second.
#[test]
fn a_failed_probe_costs_its_caller_nothing() {
    let mut rig = failing(["s1", "s2"]);
    loop {
        let request = ask(&mut rig, "parts");
        let run = rig.run(request);
        rig.started(&run);
        rig.fail(&run, Code::AnswerBroken, Ran::Ran);
        if !rig.refusals(request).is_empty() {
            break;
        }
        // The only other service is tried again after a moment.
        rig.advance(200);
        let run = rig.run(request);
        answer(&mut rig, &run);
    }
    rig.advance(1_100);
    let request = ask(&mut rig, "parts");
    let run = rig.run(request);
    assert_eq!(run.agent, "s1");
    rig.started(&run);
    rig.fail(&run, Code::UpstreamFault, Ran::Ran);
    let run = rig.run(request);
    assert_eq!(run.agent, "s2");
    answer(&mut rig, &run);
    assert_eq!(rig.finished(request), Some(1));
}

/// Another entry's verdict counts here at once, and so does its end; an older
/// word that comes late does not bring it back.
#[test]
fn a_verdict_is_shared() {
    let mut rig = Rig::new();
    rig.agent_in("s1", "desk", "d1", &[]);
    rig.agent_in("s2", "desk", "d1", &[]);
    let word = |version, open| UpstreamVerdict {
        agent: "s1".to_owned(),
        version,
        open,
    };
    hear(&mut rig, vec![word(1, true)]);
    let agents = answered(&mut rig, "parts", 900, false);
    assert!(agents.iter().all(|agent| agent == "s2"), "{agents:?}");
    hear(&mut rig, vec![word(2, false)]);
    rig.advance(1);
    hear(&mut rig, vec![word(1, true)]);
    let agents = answered(&mut rig, "parts", 3_000, false);
    assert!(agents.iter().filter(|agent| *agent == "s1").count() > 5);
    assert_eq!(rig.traced(EventKind::UpstreamFailing), 1);
    assert_eq!(rig.traced(EventKind::UpstreamRecovered), 1);
}

/// A service takes calls and never answers, while its agent's heartbeats go on.
/// Five calls that stall are as good a reason as five errors.
#[test]
fn stalls_count_as_failures() {
    let mut rig = Rig::new();
    rig.agent_in("s1", "desk", "d1", &[]);
    for _ in 0..5 {
        let run = call(&mut rig, "parts");
        rig.started(&run);
    }
    rig.advance(5_300);
    assert_eq!(rig.traced(EventKind::UpstreamFailing), 1);
}
