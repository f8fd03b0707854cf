//! Requests that wait and can't be run in time: they are told at once.

use crate::rig::{Rig, document, entry_peer, options};
use base::prelude::*;
use role::entry::{EntryEvent, RequestedResource};
use schema::link::{Demand, Gossip, frame};
use serde_json::json;

fn configured(config: &serde_json::Value) -> Rig {
    let mut rig = Rig::unready(options("e1", 7));
    rig.publish(1, config);
    rig.start();
    rig
}

fn ask_with(rig: &mut Rig, model: &str, deadline_ms: u64, body: u64) -> RequestId {
    let mut arrival = rig.arrival(RequestedResource::Model(Some(ModelId::new(model))));
    arrival.deadline_ms = Some(deadline_ms);
    arrival.body_hash = body;
    rig.arrive(arrival)
}

fn hear(rig: &mut Rig, demands: Vec<Demand>) {
    rig.handle(EntryEvent::Frame {
        peer: entry_peer("e2"),
        revision: Revision(0),
        body: frame::Body::Gossip(Gossip {
            entry: "e2".to_owned(),
            incarnation: 9,
            sequence: rig.now.as_us(),
            demands,
            ..Gossip::default()
        }),
    });
}

fn full(rig: &mut Rig, id: &str) {
    rig.agents.get_mut(id).expect("known").running = 9;
    rig.beat(id);
}

/// One way in which a request can't be run before its deadline.
struct Case {
    name: &'static str,
    /// Brings it about and returns the request.
    bring: fn(&mut Rig) -> RequestId,
    /// Time within which the caller has to be told.
    within_ms: u64,
    code: Code,
    ran: Ran,
}

fn suspect(rig: &mut Rig) -> RequestId {
    let request = ask_with(rig, "m1", 30_000, 666);
    let run = rig.run(request);
    rig.started(&run);
    rig.crash(&run, &[run.run.fingerprint]);
    request
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "a suspect that crashed the only upstream",
            bring: |rig| {
                rig.agent("a1", &["m1"]);
                suspect(rig)
            },
            within_ms: 0,
            code: Code::UpstreamLost,
            ran: Ran::Ran,
        },
        Case {
            name: "the same sent again",
            bring: |rig| {
                rig.agent("a1", &["m1"]);
                suspect(rig);
                ask_with(rig, "m1", 30_000, 666)
            },
            within_ms: 0,
            code: Code::ModelUnavailable,
            ran: Ran::NotRun,
        },
        Case {
            name: "a suspect whose model is held only where it crashed",
            bring: |rig| {
                rig.agent("a1", &["m1"]);
                rig.agent("a2", &["m2"]);
                suspect(rig)
            },
            within_ms: 600,
            code: Code::UpstreamLost,
            ran: Ran::Ran,
        },
        Case {
            name: "a suspect whose turn comes too late",
            bring: |rig| {
                rig.agent("a1", &["m1"]);
                rig.agent("a2", &["m1"]);
                hear(rig, Vec::new());
                suspect(rig);
                // The turn is e1's until 3 s after the start, then e2's.
                while rig.now < Instant::from_ms(3_000) {
                    rig.advance(100);
                    hear(rig, Vec::new());
                }
                ask_with(rig, "m1", 2_500, 666)
            },
            within_ms: 0,
            code: Code::Overloaded,
            ran: Ran::NotRun,
        },
        Case {
            name: "a call of a service that has been down for long",
            bring: |rig| {
                rig.agent_in("s1", "desk", "d1", &[]);
                rig.agents.get_mut("s1").expect("known").upstream_up = false;
                rig.advance(6_000);
                let mut arrival =
                    rig.arrival(RequestedResource::Service(ServiceId::new("parts")));
                arrival.deadline_ms = Some(5_000);
                rig.arrive(arrival)
            },
            within_ms: 0,
            code: Code::ModelUnavailable,
            ran: Ran::NotRun,
        },
        Case {
            name: "a model that fits on no accelerator",
            bring: |rig| {
                rig.agent("a1", &[]);
                rig.ask("huge")
            },
            within_ms: 0,
            code: Code::ModelUnavailable,
            ran: Ran::NotRun,
        },
        Case {
            name: "a load behind many that others wait for",
            bring: |rig| {
                rig.agent("a1", &[]);
                let demands = (0..40).map(|n| Demand {
                    model: format!("x{n:02}"),
                    waiting: 1,
                    oldest_wait_ms: 100,
                    ..Demand::default()
                });
                hear(rig, demands.collect());
                rig.advance(600);
                ask_with(rig, "m1", 20_000, 1)
            },
            within_ms: 0,
            code: Code::ModelUnavailable,
            ran: Ran::NotRun,
        },
        Case {
            name: "urgent work that came later stands before it",
            bring: |rig| {
                rig.agent("a1", &["m1"]);
                full(rig, "a1");
                let mut arrival =
                    rig.arrival(RequestedResource::Model(Some(ModelId::new("m1"))));
                arrival.profile = Some(ProfileId::new("night"));
                arrival.deadline_ms = Some(8_000);
                let request = rig.arrive(arrival);
                assert!(rig.refusals(request).is_empty());
                for _ in 0..40 {
                    rig.ask("m1");
                }
                request
            },
            within_ms: 600,
            code: Code::Overloaded,
            ran: Ran::NotRun,
        },
    ]
}

/// A request that can't be run before its deadline is not held to it: its caller
/// hears at once when to come back, and can go elsewhere. Rows: why it can't.
#[test]
fn what_can_not_be_run_is_refused_at_once() {
    for case in cases() {
        let mut config = document();
        let huge = json!({"size_mib": 90, "version": 1, "pool": "gpu"});
        config["models"]["huge"] = huge;
        for n in 0..40 {
            let model = json!({"size_mib": 70, "version": 1, "pool": "gpu"});
            config["models"][format!("x{n:02}")] = model;
        }
        let models = config["models"].as_object().expect("a map").clone();
        config["profiles"]["desk"]["models"] = json!(models.keys().collect::<Vec<_>>());
        let mut rig = configured(&config);
        let request = (case.bring)(&mut rig);
        rig.advance(case.within_ms);
        let refusals = rig.refusals(request);
        assert_eq!(refusals.len(), 1, "{}: {refusals:?}", case.name);
        let refusal = refusals[0];
        assert_eq!(
            (refusal.code, refusal.ran),
            (case.code, case.ran),
            "{}",
            case.name
        );
        assert!(
            refusal.retry_after_ms.is_some_and(|ms| ms > 0),
            "{}",
            case.name
        );
    }
}

/// Technicians wait for a model's load and so are later than the first token was
/// expected. When the load is done the holder is full for a moment. They go on
/// waiting: refused now they would have waited in vain.
#[test]
fn one_that_waited_for_a_load_is_not_refused_for_its_first_token() {
    let mut config = document();
    config["profiles"]["desk"]["first_token_ms"] = json!(1_400);
    let mut rig = configured(&config);
    rig.agent("a1", &[]);
    let waited: Vec<RequestId> = (0..8).map(|_| rig.ask("m1")).collect();
    rig.advance(2_000);
    rig.agents.get_mut("a1").expect("known").models = vec![("m1".to_owned(), 1)];
    full(&mut rig, "a1");
    let new = rig.ask("m1");
    let refusal = rig.refusal(new);
    assert_eq!(refusal.code, Code::Overloaded, "a new one would be late");
    rig.advance(600);
    assert!(waited.iter().all(|held| rig.refusals(*held).is_empty()));
    rig.agents.get_mut("a1").expect("known").running = 0;
    rig.beat("a1");
    assert_eq!(rig.runs(waited[0]).len(), 1);
}

/// One caller's burst waits for a model. It takes two thirds of the queue and
/// is told so beyond that; another caller still finds room.
#[test]
fn one_caller_does_not_fill_the_queue() {
    let mut config = document();
    config["limits"] = json!({"heartbeat_ms": 500, "waiting_max": 12});
    let other = json!({"key_sha256": conf::key_hash("other"), "concurrent_max": 500});
    config["callers"]["c2"] = other;
    let mut rig = configured(&config);
    rig.agent("a1", &[]);
    let burst: Vec<RequestId> = (0..12).map(|_| rig.ask("m1")).collect();
    let refused = burst.iter().filter(|held| !rig.refusals(**held).is_empty());
    assert_eq!(refused.count(), 4);
    let refusal = rig.refusal(burst[11]);
    assert_eq!(
        (refusal.code, refusal.ran),
        (Code::CallerLimit, Ran::NotRun)
    );
    assert!(refusal.retry_after_ms.is_some());
    let mut arrival = rig.arrival(RequestedResource::Model(Some(ModelId::new("m1"))));
    arrival.credential = access::Credential::from_key("other");
    let request = rig.arrive(arrival);
    assert!(rig.refusals(request).is_empty());
    // What was sent has left the queue: the share is free again.
    rig.agents.get_mut("a1").expect("known").models = vec![("m1".to_owned(), 1)];
    rig.beat("a1");
    assert!(rig.role.counters().waiting < 9);
    full(&mut rig, "a1");
    let again = rig.ask("m1");
    assert!(rig.refusals(again).is_empty());
}

/// The deadline passes while the request runs, or while it waits. The caller is
/// told when to come back, unless a call without a key may have run.
#[test]
fn a_deadline_says_when_to_come_back() {
    for (idempotent, key) in [(true, false), (false, true), (false, false)] {
        let mut rig = Rig::new();
        rig.agent_in("s1", "desk", "d1", &[]);
        let service = if idempotent { "parts" } else { "orders" };
        let mut arrival =
            rig.arrival(RequestedResource::Service(ServiceId::new(service)));
        arrival.deadline_ms = Some(1_000);
        arrival.idempotency_key = key.then(|| "k1".to_owned());
        let request = rig.arrive(arrival);
        let run = rig.run(request);
        rig.started(&run);
        rig.advance(1_100);
        let refusal = rig.refusal(request);
        assert_eq!(refusal.ran, Ran::Ran);
        assert_eq!(refusal.retry_after_ms.is_some(), idempotent || key);
    }
}
