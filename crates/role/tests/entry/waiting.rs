//! Requests that wait: order, bounds, and planning for them.

use crate::rig::{Rig, document};
use base::prelude::*;
use role::entry::RequestedResource;
use schema::link::frame;
use serde_json::json;
use std::collections::BTreeSet;

fn full(rig: &mut Rig, id: &str, running: u32) {
    rig.agents.get_mut(id).expect("known").running = running;
    rig.beat(id);
}

fn night(rig: &mut Rig) -> RequestId {
    let mut arrival = rig.arrival(RequestedResource::Model(Some(ModelId::new("m1"))));
    arrival.profile = Some(ProfileId::new("night"));
    rig.arrive(arrival)
}

/// Overnight work came first, then a technician asks. When a place is free the
/// technician is served before it.
#[test]
fn the_more_urgent_goes_first() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    full(&mut rig, "a1", 9);
    let late = night(&mut rig);
    let urgent = rig.ask("m1");
    assert_eq!(rig.role.counters().waiting, 2);
    full(&mut rig, "a1", 4);
    assert_eq!(rig.runs(urgent).len(), 1);
    assert!(rig.runs(late).is_empty());
    let run = rig.run(urgent);
    rig.started(&run);
    full(&mut rig, "a1", 3);
    assert_eq!(rig.runs(late).len(), 1);
}

/// The queue is full of overnight work. Desk work takes the place of the last
/// of it, which is refused at once as not run; more overnight work is refused.
#[test]
fn a_full_queue_gives_way_to_urgent_work() {
    let mut rig = Rig::unready(crate::rig::options("e1", 7));
    let mut config = document();
    config["limits"] = json!({"heartbeat_ms": 500, "waiting_max": 2});
    rig.publish(1, &config);
    rig.start();
    rig.agent("a1", &["m1"]);
    full(&mut rig, "a1", 9);
    let (first, second, third) = (night(&mut rig), night(&mut rig), night(&mut rig));
    assert_eq!(rig.refusal(third).code, Code::QueueFull);
    let urgent = rig.ask("m1");
    assert!(rig.refusals(urgent).is_empty() && rig.refusals(first).is_empty());
    let refusal = rig.refusal(second);
    assert_eq!((refusal.code, refusal.ran), (Code::QueueFull, Ran::NotRun));
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(rig.role.counters().waiting, 2);
}

/// Forty models are asked for at once while none is loaded. Each request either
/// waits, with its model wanted somewhere, or is told at once when to come
/// back; none is left without a word, and no target overfills an accelerator.
#[test]
fn forty_models_asked_at_once() {
    let mut rig = Rig::unready(crate::rig::options("e1", 7));
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
    let requests: Vec<RequestId> = names.iter().map(|name| rig.ask(name)).collect();
    rig.advance(600);
    let mut wanted = BTreeSet::new();
    for target in rig.sent(|_, body| match body {
        frame::Body::Target(target) => Some(target.clone()),
        _ => None,
    }) {
        assert!(
            target.models.len() <= 1,
            "70 MiB twice on one of 80: {target:?}"
        );
        wanted.extend(target.models.into_iter().map(|held| held.model));
    }
    assert!(!wanted.is_empty(), "work that waits brings loads about");
    for request in &requests {
        match rig.refusals(*request).as_slice() {
            [] => {}
            [refusal] => {
                assert_eq!(refusal.ran, Ran::NotRun);
                assert!(refusal.retry_after_ms.is_some());
            }
            more => panic!("refused {} times", more.len()),
        }
    }
    // A load ends: those who waited for it are served at once.
    let model = wanted.first().expect("not empty").clone();
    let request = requests[names.iter().position(|n| *n == model).expect("asked")];
    rig.agents.get_mut("a0").expect("known").models = vec![(model, 1)];
    rig.beat("a0");
    assert_eq!(rig.runs(request).len(), 1);
    rig.advance(31_000);
    let waiting = rig.role.counters().waiting;
    assert_eq!(waiting, 0, "nobody waits beyond the deadline");
}

/// Each failure domain would load every model if each planned for the whole
/// demand. A model with little demand is wanted in one domain only.
#[test]
fn one_model_has_one_home() {
    let mut rig = Rig::new();
    rig.agent_in("a1", "gpu", "d1", &[]);
    rig.agent_in("a2", "gpu", "d2", &[]);
    rig.clear();
    rig.ask("m1");
    rig.advance(8_000);
    let homes: BTreeSet<String> = rig
        .sent(|peer, body| match body {
            frame::Body::Target(target) if !target.models.is_empty() => {
                Some(peer.to_string())
            }
            _ => None,
        })
        .into_iter()
        .collect();
    assert_eq!(homes.len(), 1, "{homes:?}");
}

/// What can't be in time is refused when it comes, not when its time is over.
#[test]
fn what_cannot_be_in_time_is_refused_at_once() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m2"]);
    let mut arrival = rig.arrival(RequestedResource::Model(Some(ModelId::new("m1"))));
    arrival.deadline_ms = Some(300);
    let request = rig.arrive(arrival);
    let refusal = rig.refusal(request);
    assert_eq!(refusal.code, Code::ModelUnavailable);
    assert!(refusal.retry_after_ms.is_some_and(|ms| ms > 0));
}
