//! Waiting requests: order, limits, and the plans made for them.

use crate::rig::{Rig, document};
use base::prelude::*;
use role::entry::RequestedResource;
use schema::link::frame;
use serde_json::json;
use std::collections::BTreeSet;

fn set_running(rig: &mut Rig, id: &str, running: u32) {
    rig.agents.get_mut(id).expect("known").running = running;
    rig.send_heartbeat(id);
}

fn batch_request(rig: &mut Rig) -> RequestId {
    let mut incoming = rig.incoming(RequestedResource::Model(Some(ModelId::new("m1"))));
    incoming.profile = Some(ProfileId::new("night"));
    rig.submit(incoming)
}

/// An interactive request is sent before a batch request that has waited longer, as soon
/// as a slot is free.
#[test]
fn higher_priority_is_served_first() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    set_running(&mut rig, "a1", 9);
    let batch = batch_request(&mut rig);
    let urgent = rig.request_model("m1");
    assert_eq!(rig.role.counters().waiting, 2);
    set_running(&mut rig, "a1", 4);
    assert_eq!(rig.runs(urgent).len(), 1);
    assert!(rig.runs(batch).is_empty());
    let run = rig.run(urgent);
    rig.started(&run);
    set_running(&mut rig, "a1", 3);
    assert_eq!(rig.runs(batch).len(), 1);
}

/// If the queue is full of batch requests, an interactive request evicts the last of
/// them, which is refused at once as not run. Further batch requests are refused.
#[test]
fn a_full_queue_evicts_lower_priority() {
    let mut rig = Rig::without_config(crate::rig::options("e1", 7));
    let mut config = document();
    config["limits"] = json!({"heartbeat_ms": 500, "waiting_max": 2});
    rig.publish(1, &config);
    rig.start();
    rig.agent("a1", &["m1"]);
    set_running(&mut rig, "a1", 9);
    let (first, second, third) = (
        batch_request(&mut rig),
        batch_request(&mut rig),
        batch_request(&mut rig),
    );
    assert_eq!(rig.error(third).code, ErrorCode::QueueFull);
    let urgent = rig.request_model("m1");
    assert!(rig.errors(urgent).is_empty() && rig.errors(first).is_empty());
    let error = rig.error(second);
    assert_eq!(
        (error.code, error.ran),
        (ErrorCode::QueueFull, RunStatus::NotRun)
    );
    assert!(error.retry_after_ms.is_some());
    assert_eq!(rig.role.counters().waiting, 2);
}

/// Forty models are requested at once while none is loaded. Each request either waits or
/// is refused with a retry delay, none outlives its deadline, and no target exceeds the
/// memory of an accelerator.
#[test]
fn forty_models_requested_at_once() {
    let mut rig = Rig::without_config(crate::rig::options("e1", 7));
    let mut config = document();
    let names: Vec<String> = (0..40).map(|n| format!("x{n:02}")).collect();
    for name in &names {
        let model = json!({"size_mib": 70, "version": 1, "pool": "gpu"});
        config["models"][name] = model;
    }
    config["profiles"]["desk"]["models"] = json!(names);
    rig.publish(1, &config);
    rig.start();
    for index in 0..6 {
        let domain = ["d1", "d2"][index % 2];
        rig.agent_in(&format!("a{index}"), "gpu", domain, &[]);
    }
    rig.clear();
    let requests: Vec<RequestId> =
        names.iter().map(|name| rig.request_model(name)).collect();
    rig.advance(600);
    let mut planned = BTreeSet::new();
    for target in rig.sent_frames(|_, body| match body {
        frame::Body::Target(target) => Some(target.clone()),
        _ => None,
    }) {
        assert!(
            target.models.len() <= 1,
            "70 MiB twice on one of 80: {target:?}"
        );
        planned.extend(target.models.into_iter().map(|model| model.model));
    }
    assert!(!planned.is_empty(), "waiting requests cause loads");
    for request in &requests {
        match rig.errors(*request).as_slice() {
            [] => {}
            [error] => {
                assert_eq!(error.ran, RunStatus::NotRun);
                assert!(error.retry_after_ms.is_some());
            }
            more => panic!("refused {} times", more.len()),
        }
    }
    // When a load ends, the requests that waited for it are sent at once.
    let model = planned.first().expect("not empty").clone();
    let request = requests[names.iter().position(|n| *n == model).expect("asked")];
    rig.agents.get_mut("a0").expect("known").models = vec![(model, 1)];
    rig.send_heartbeat("a0");
    assert_eq!(rig.runs(request).len(), 1);
    rig.advance(31_000);
    let waiting = rig.role.counters().waiting;
    assert_eq!(waiting, 0, "no request waits beyond its deadline");
}

/// If each planning cell planned for the whole demand, each would load every model. A
/// model with little demand is planned on one agent only.
#[test]
fn a_model_is_assigned_to_one_cell() {
    let mut rig = Rig::new();
    rig.agent_in("a1", "gpu", "d1", &[]);
    rig.agent_in("a2", "gpu", "d2", &[]);
    rig.clear();
    rig.request_model("m1");
    rig.advance(8_000);
    let holders: BTreeSet<String> = rig
        .sent_frames(|peer, body| match body {
            frame::Body::Target(target) if !target.models.is_empty() => {
                Some(peer.to_string())
            }
            _ => None,
        })
        .into_iter()
        .collect();
    assert_eq!(holders.len(), 1, "{holders:?}");
}

/// A request that can't meet its deadline is refused on arrival, not at the deadline.
#[test]
fn requests_that_would_miss_their_deadline_are_refused_at_once() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m2"]);
    let mut incoming = rig.incoming(RequestedResource::Model(Some(ModelId::new("m1"))));
    incoming.deadline_ms = Some(300);
    let request = rig.submit(incoming);
    let error = rig.error(request);
    assert_eq!(error.code, ErrorCode::ModelUnavailable);
    assert!(error.retry_after_ms.is_some_and(|ms| ms > 0));
}
