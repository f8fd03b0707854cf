//! Requests that can't be served in time are refused early.

use crate::rig::{Rig, document, entry_peer, options};
use base::prelude::*;
use role::entry::{EntryEvent, RequestedResource};
use schema::link::{Demand, Gossip, frame};
use serde_json::json;

fn configured(config: &serde_json::Value) -> Rig {
    let mut rig = Rig::without_config(options("e1", 7));
    rig.publish(1, config);
    rig.start();
    rig
}

fn request_with(rig: &mut Rig, model: &str, deadline_ms: u64, body: u64) -> RequestId {
    let mut incoming =
        rig.incoming(RequestedResource::Model(Some(ModelId::new(model))));
    incoming.deadline_ms = Some(deadline_ms);
    incoming.body_hash = body;
    rig.submit(incoming)
}

fn receive_demands(rig: &mut Rig, demands: Vec<Demand>) {
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

/// Reports an agent with all slots taken.
fn occupy_all_slots(rig: &mut Rig, id: &str) {
    rig.agents.get_mut(id).expect("known").running = 9;
    rig.send_heartbeat(id);
}

/// One reason why a request can't be served before its deadline.
struct Case {
    name: &'static str,
    /// Sets up the situation and returns the request.
    set_up: fn(&mut Rig) -> RequestId,
    /// Time within which the request has to be refused.
    within_ms: u64,
    code: ErrorCode,
    ran: RunStatus,
}

fn make_suspect(rig: &mut Rig) -> RequestId {
    let request = request_with(rig, "m1", 30_000, 666);
    let run = rig.run(request);
    rig.started(&run);
    rig.crash(&run, &[run.run.fingerprint]);
    request
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "a suspect request that crashed the only upstream",
            set_up: |rig| {
                rig.agent("a1", &["m1"]);
                make_suspect(rig)
            },
            within_ms: 0,
            code: ErrorCode::UpstreamLost,
            ran: RunStatus::Ran,
        },
        Case {
            name: "the same request sent again",
            set_up: |rig| {
                rig.agent("a1", &["m1"]);
                make_suspect(rig);
                request_with(rig, "m1", 30_000, 666)
            },
            within_ms: 0,
            code: ErrorCode::ModelUnavailable,
            ran: RunStatus::NotRun,
        },
        Case {
            name: "a suspect request whose model is held only by the upstream it crashed",
            set_up: |rig| {
                rig.agent("a1", &["m1"]);
                rig.agent("a2", &["m2"]);
                make_suspect(rig)
            },
            within_ms: 600,
            code: ErrorCode::UpstreamLost,
            ran: RunStatus::Ran,
        },
        Case {
            name: "a suspect request whose entry's turn comes too late",
            set_up: |rig| {
                rig.agent("a1", &["m1"]);
                rig.agent("a2", &["m1"]);
                receive_demands(rig, Vec::new());
                make_suspect(rig);
                // e1's turn for exclusive runs lasts until 3 s, then e2's begins.
                while rig.now < Instant::from_ms(3_000) {
                    rig.advance(100);
                    receive_demands(rig, Vec::new());
                }
                request_with(rig, "m1", 2_500, 666)
            },
            within_ms: 0,
            code: ErrorCode::Overloaded,
            ran: RunStatus::NotRun,
        },
        Case {
            name: "a request to a service that has been down for long",
            set_up: |rig| {
                rig.agent_in("s1", "desk", "d1", &[]);
                rig.agents.get_mut("s1").expect("known").upstream_up = false;
                rig.advance(6_000);
                let mut incoming =
                    rig.incoming(RequestedResource::Service(ServiceId::new("parts")));
                incoming.deadline_ms = Some(5_000);
                rig.submit(incoming)
            },
            within_ms: 0,
            code: ErrorCode::ModelUnavailable,
            ran: RunStatus::NotRun,
        },
        Case {
            name: "a model that fits on no accelerator",
            set_up: |rig| {
                rig.agent("a1", &[]);
                rig.request_model("huge")
            },
            within_ms: 0,
            code: ErrorCode::ModelUnavailable,
            ran: RunStatus::NotRun,
        },
        Case {
            name: "a load behind many loads awaited at another entry",
            set_up: |rig| {
                rig.agent("a1", &[]);
                let demands = (0..40).map(|n| Demand {
                    model: format!("x{n:02}"),
                    waiting: 1,
                    oldest_wait_ms: 100,
                    ..Demand::default()
                });
                receive_demands(rig, demands.collect());
                rig.advance(600);
                request_with(rig, "m1", 20_000, 1)
            },
            within_ms: 0,
            code: ErrorCode::ModelUnavailable,
            ran: RunStatus::NotRun,
        },
        Case {
            name: "a batch request behind later interactive ones",
            set_up: |rig| {
                rig.agent("a1", &["m1"]);
                occupy_all_slots(rig, "a1");
                let mut incoming =
                    rig.incoming(RequestedResource::Model(Some(ModelId::new("m1"))));
                incoming.profile = Some(ProfileId::new("night"));
                incoming.deadline_ms = Some(8_000);
                let request = rig.submit(incoming);
                assert!(rig.errors(request).is_empty());
                for _ in 0..40 {
                    rig.request_model("m1");
                }
                request
            },
            within_ms: 600,
            code: ErrorCode::Overloaded,
            ran: RunStatus::NotRun,
        },
    ]
}

/// A request that can't be served before its deadline is refused early with a retry
/// delay, and does not wait until the deadline. Each case is a reason why it can't.
#[test]
fn unservable_requests_are_refused_at_once() {
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
        let request = (case.set_up)(&mut rig);
        rig.advance(case.within_ms);
        let errors = rig.errors(request);
        assert_eq!(errors.len(), 1, "{}: {errors:?}", case.name);
        let error = errors[0];
        assert_eq!(
            (error.code, error.ran),
            (case.code, case.ran),
            "{}",
            case.name
        );
        assert!(
            error.retry_after_ms.is_some_and(|ms| ms > 0),
            "{}",
            case.name
        );
    }
}

/// Requests that waited for a model's load have missed their first-token target. If the
/// holder has no capacity when the load ends, they keep waiting, while a new request is
/// refused for that target.
#[test]
fn requests_that_waited_for_a_load_are_exempt_from_the_first_token_target() {
    let mut config = document();
    config["profiles"]["desk"]["first_token_ms"] = json!(1_400);
    let mut rig = configured(&config);
    rig.agent("a1", &[]);
    let waited: Vec<RequestId> = (0..8).map(|_| rig.request_model("m1")).collect();
    rig.advance(2_000);
    rig.agents.get_mut("a1").expect("known").models = vec![("m1".to_owned(), 1)];
    occupy_all_slots(&mut rig, "a1");
    let new = rig.request_model("m1");
    let error = rig.error(new);
    assert_eq!(
        error.code,
        ErrorCode::Overloaded,
        "a new request would miss its target"
    );
    rig.advance(600);
    assert!(waited.iter().all(|request| rig.errors(*request).is_empty()));
    rig.agents.get_mut("a1").expect("known").running = 0;
    rig.send_heartbeat("a1");
    assert_eq!(rig.runs(waited[0]).len(), 1);
}

/// The waiting requests of one caller may take up two thirds of the queue. Those beyond
/// are refused, so that another caller's request still finds room.
#[test]
fn one_caller_does_not_fill_the_queue() {
    let mut config = document();
    config["limits"] = json!({"heartbeat_ms": 500, "waiting_max": 12});
    let other = json!({"key_sha256": conf::sha256_hex("other"), "concurrent_max": 500});
    config["callers"]["c2"] = other;
    let mut rig = configured(&config);
    rig.agent("a1", &[]);
    let burst: Vec<RequestId> = (0..12).map(|_| rig.request_model("m1")).collect();
    let refused = burst
        .iter()
        .filter(|request| !rig.errors(**request).is_empty());
    assert_eq!(refused.count(), 4);
    let error = rig.error(burst[11]);
    assert_eq!(
        (error.code, error.ran),
        (ErrorCode::CallerLimit, RunStatus::NotRun)
    );
    assert!(error.retry_after_ms.is_some());
    let mut incoming = rig.incoming(RequestedResource::Model(Some(ModelId::new("m1"))));
    incoming.credential = access::Credential::from_key("other");
    let request = rig.submit(incoming);
    assert!(rig.errors(request).is_empty());
    // Requests that were sent no longer count towards the limit.
    rig.agents.get_mut("a1").expect("known").models = vec![("m1".to_owned(), 1)];
    rig.send_heartbeat("a1");
    assert!(rig.role.counters().waiting < 9);
    occupy_all_slots(&mut rig, "a1");
    let again = rig.request_model("m1");
    assert!(rig.errors(again).is_empty());
}

/// When the deadline passes while a request runs, the error has a retry delay, unless
/// the request is not idempotent and has no idempotency key.
#[test]
fn a_missed_deadline_comes_with_a_retry_delay() {
    for (idempotent, key) in [(true, false), (false, true), (false, false)] {
        let mut rig = Rig::new();
        rig.agent_in("s1", "desk", "d1", &[]);
        let service = if idempotent { "parts" } else { "orders" };
        let mut incoming =
            rig.incoming(RequestedResource::Service(ServiceId::new(service)));
        incoming.deadline_ms = Some(1_000);
        incoming.idempotency_key = key.then(|| "k1".to_owned());
        let request = rig.submit(incoming);
        let run = rig.run(request);
        rig.started(&run);
        rig.advance(1_100);
        let error = rig.error(request);
        assert_eq!(error.ran, RunStatus::Ran);
        assert_eq!(error.retry_after_ms.is_some(), idempotent || key);
    }
}
