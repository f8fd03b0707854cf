//! Which frames are delivered to a caller, and how an answer ends.

use crate::rig::{Rig, SentRun};
use base::prelude::*;
use schema::link::{self, frame};

/// A caller would receive another request's tokens, or tokens twice, if a stale frame
/// were accepted. Each row sends frames about two attempts of one request: `old` was
/// refused by its agent and replaced by `new`. Only units of `new` that follow the
/// delivered ones are delivered.
#[test]
fn only_frames_of_the_current_attempt_count() {
    type Steps = fn(&mut Rig, &SentRun, &SentRun);
    let rows: &[(&str, Steps, &[u32], u64)] = &[
        (
            "in order",
            |r, _, new| {
                r.part(new, 0, 2);
                r.part(new, 2, 3);
            },
            &[0, 0],
            5,
        ),
        (
            "doubled part",
            |r, _, new| {
                r.part(new, 0, 2);
                r.part(new, 0, 2);
                r.part(new, 2, 3);
            },
            &[0, 0],
            5,
        ),
        (
            "overlapping part",
            |r, _, new| {
                r.part(new, 0, 2);
                r.part(new, 1, 4);
            },
            &[0, 1],
            5,
        ),
        (
            "part of the old attempt",
            |r, old, new| {
                r.part(old, 0, 4);
                r.part(new, 0, 5);
            },
            &[0],
            5,
        ),
        (
            "part of the attempt from another agent",
            |r, old, new| {
                let agent = old.agent.clone();
                r.part(
                    &SentRun {
                        agent,
                        ..new.clone()
                    },
                    0,
                    4,
                );
                r.part(new, 0, 5);
            },
            &[0],
            5,
        ),
        (
            "end of the old attempt",
            |r, old, new| {
                r.part(new, 0, 2);
                r.end(old, 2);
                r.part(new, 2, 3);
            },
            &[0, 0],
            5,
        ),
        (
            "error of the old attempt, again",
            |r, old, new| {
                r.refuse(old, ErrorCode::GateFull);
                r.part(new, 0, 5);
            },
            &[0],
            5,
        ),
        (
            "end twice, parts after it",
            |r, _, new| {
                r.part(new, 0, 5);
                r.end(new, 5);
                r.end(new, 5);
                r.part(new, 5, 2);
            },
            &[0],
            5,
        ),
        (
            "empty part",
            |r, _, new| {
                r.part(new, 0, 0);
                r.part(new, 0, 5);
            },
            &[0],
            5,
        ),
        (
            "started twice, late",
            |r, old, new| {
                r.started(old);
                r.part(new, 0, 5);
                r.started(new);
            },
            &[0],
            5,
        ),
    ];
    for (name, steps, skips, total) in rows {
        let mut rig = Rig::new();
        rig.agent("a1", &["m1"]);
        rig.agent("a2", &["m1"]);
        let request = rig.request_model("m1");
        let old = rig.run(request);
        rig.refuse(&old, ErrorCode::GateFull);
        let new = rig.run(request);
        assert_ne!(old.agent, new.agent, "{name}");
        rig.started(&new);
        steps(&mut rig, &old, &new);
        rig.end(&new, *total);
        assert_eq!(rig.skipped_units(request), *skips, "{name}");
        assert_eq!(rig.finished(request), Some(*total), "{name}");
        assert!(rig.errors(request).is_empty(), "{name}");
    }
}

/// A truncated answer must never be presented as complete. If an upstream is lost or
/// misreports in the middle of an answer, the answer continues from the delivered offset
/// at another holder, and ends with an error only if no agent can continue it.
#[test]
fn a_broken_answer_is_resumed_or_ends_with_an_error() {
    type Fault = fn(&mut Rig, &SentRun);
    let rows: &[(&str, Fault)] = &[
        ("upstream lost", |r, run| {
            r.fail(run, ErrorCode::UpstreamLost, RunStatus::Ran);
        }),
        ("outcome unknown", |r, run| {
            r.fail(run, ErrorCode::UpstreamLost, RunStatus::Unknown);
        }),
        ("clean end, too short", |r, run| r.end(run, 2)),
        ("clean end, too long", |r, run| r.end(run, 9)),
        ("gap", |r, run| r.part(run, 5, 1)),
        ("link down", |r, run| r.link_down(&run.agent.clone())),
        ("not run, yet it answered", |r, run| {
            r.fail(run, ErrorCode::UpstreamFault, RunStatus::NotRun);
        }),
        ("agent restarted", |r, run| {
            let agent = r.agents.get_mut(&run.agent).expect("known");
            agent.incarnation = 2;
            agent.sequence = 0;
            r.send_heartbeat(&run.agent.clone());
        }),
        ("silence within the answer", |r, run| {
            let id = run.agent.clone();
            r.agents.get_mut(&id).expect("known").silent = false;
            r.advance(6_000);
        }),
    ];
    for (name, fault) in rows {
        let mut rig = Rig::new();
        rig.agent("a1", &["m1"]);
        rig.agent("a2", &["m1"]);
        let request = rig.request_model("m1");
        let first = rig.run(request);
        rig.started(&first);
        rig.part(&first, 0, 3);
        fault(&mut rig, &first);
        assert_eq!(rig.finished(request), None, "{name}");
        let second = rig.run(request);
        assert_ne!(first.id(), second.id(), "{name}");
        assert_ne!(first.agent, second.agent, "{name}");
        assert_eq!(second.run.resume_offset, 3, "{name}");
        rig.part(&first, 3, 9);
        rig.part(&second, 3, 2);
        rig.end(&second, 5);
        assert_eq!(rig.skipped_units(request), [0, 0], "{name}");
        assert_eq!(rig.finished(request), Some(5), "{name}");

        // No other agent holds that version of the model or will: it has changed.
        let mut rig = Rig::new();
        rig.agent("a1", &["m1"]);
        let request = rig.request_model("m1");
        let only = rig.run(request);
        rig.part(&only, 0, 3);
        let change = serde_json::json!({"models": {"m1": {"version": 2}}});
        rig.frame(
            "a1",
            frame::Body::ConfigChanges(link::ConfigChanges {
                changes: vec![link::ConfigChange {
                    revision: 2,
                    patch: change.to_string().into_bytes(),
                }],
                ..link::ConfigChanges::default()
            }),
        );
        rig.agents.get_mut("a1").expect("known").models = vec![("m1".into(), 2)];
        rig.send_heartbeat("a1");
        fault(&mut rig, &only);
        rig.advance(100);
        let error = rig.error(request);
        assert_eq!(error.code, ErrorCode::AnswerBroken, "{name}");
        assert_eq!(error.ran, RunStatus::Ran, "{name}");
        assert_eq!(rig.finished(request), None, "{name}");
    }
}

/// A plain service's bytes may differ from run to run, so an answer must not be combined
/// from two runs.
#[test]
fn a_broken_answer_of_a_service_is_not_continued() {
    let mut rig = Rig::new();
    rig.agent_in("s1", "desk", "d1", &[]);
    rig.agent_in("s2", "desk", "d1", &[]);
    let incoming = rig.incoming(role::entry::RequestedResource::Service(
        ServiceId::new("parts"),
    ));
    let request = rig.submit(incoming);
    let run = rig.run(request);
    rig.part(&run, 0, 10);
    rig.fail(&run, ErrorCode::UpstreamLost, RunStatus::Ran);
    assert_eq!(rig.error(request).code, ErrorCode::AnswerBroken);
    assert_eq!(rig.runs(request).len(), 1);
}

/// When a caller disconnects, its attempt is cancelled at once, and later frames about it
/// are dropped.
#[test]
fn a_disconnected_caller_frees_the_slot() {
    let mut rig = Rig::new();
    rig.agent("a1", &["m1"]);
    let request = rig.request_model("m1");
    let run = rig.run(request);
    rig.started(&run);
    rig.handle(role::entry::EntryEvent::CallerDisconnected { request });
    assert_eq!(rig.cancels(&run), 1);
    rig.part(&run, 0, 1);
    rig.end(&run, 1);
    assert!(rig.skipped_units(request).is_empty());
    assert!(rig.finished(request).is_none() && rig.errors(request).is_empty());
    assert_eq!(rig.role.counters().running, 0);
}
