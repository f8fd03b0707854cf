//! Predicted waits for model loads.

use crate::rig::{Rig, document, heartbeat, options};
use base::prelude::*;
use role::entry::RequestedResource;
use schema::link::{Resident, ResidentState, frame};
use serde_json::json;

/// Loads take 3 s, and one starts per second; `ad` is an adapter of `m1`.
fn rig_with_slow_store() -> Rig {
    let mut config = document();
    config["adapters"] = json!({"ad": {"base": "m1", "size_mib": 1, "version": 1}});
    config["store"] = json!({
        "loads_per_s": 1.0, "full_speed_loads": 8, "load_time_ms": 3_000});
    config["weights"] = json!({"wait_max_ms": 20_000, "min_residence_ms": 5_000});
    let mut models = vec!["m1".to_owned(), "m2".to_owned(), "ad".to_owned()];
    for n in 0..8 {
        let name = format!("x{n}");
        config["models"][&name] = json!({"size_mib": 70, "version": 1, "pool": "gpu"});
        models.push(name);
    }
    config["profiles"]["desk"]["models"] = json!(models);
    let mut rig = Rig::without_config(options("e1", 7));
    rig.publish(1, &config);
    rig.start();
    rig
}

/// Submits a request with a deadline; returns whether it was refused at once.
fn refused_at_once(rig: &mut Rig, model: &str, deadline_ms: u64) -> bool {
    let mut incoming =
        rig.incoming(RequestedResource::Model(Some(ModelId::new(model))));
    incoming.deadline_ms = Some(deadline_ms);
    let request = rig.submit(incoming);
    let errors = rig.errors(request);
    let all_with_retry_delay =
        errors.iter().all(|error| error.retry_after_ms.is_some());
    assert!(all_with_retry_delay, "{errors:?}");
    !errors.is_empty()
}

/// An adapter whose base is not loaded takes two loads. A request with time for only one
/// is refused, whether or not others wait for the adapter. With the base loaded, one load
/// is enough.
#[test]
fn an_adapter_waits_for_its_base() {
    for (loaded, expected) in [(&[][..], true), (&["m1"][..], false)] {
        let mut rig = rig_with_slow_store();
        rig.agent("a1", loaded);
        assert_eq!(refused_at_once(&mut rig, "ad", 5_000), expected);
        assert!(!refused_at_once(&mut rig, "ad", 20_000));
        rig.advance(600);
        assert_eq!(
            refused_at_once(&mut rig, "ad", 5_000),
            expected,
            "in the forecast"
        );
    }
}

/// Eight models are requested at once. The weight store starts one load per second, so the
/// last requests need longer deadlines.
#[test]
fn a_burst_of_loads_starts_one_after_another() {
    let mut rig = rig_with_slow_store();
    for n in 0..8 {
        rig.agent(&format!("a{n}"), &[]);
    }
    rig.advance(600);
    let asked: Vec<bool> = (0..8)
        .map(|n| refused_at_once(&mut rig, &format!("x{n}"), 7_000))
        .collect();
    assert!(!asked[0] && !asked[2], "{asked:?}");
    assert!(asked[7], "{asked:?}");
}

/// A load that far exceeds the configured load time is not predicted to end soon, so a
/// request with a short deadline is refused at once.
#[test]
fn an_overdue_load_is_predicted_to_stay_overdue() {
    for (age_ms, expected) in [(1_000, false), (20_000, true)] {
        let mut rig = rig_with_slow_store();
        rig.agent("a1", &[]);
        rig.advance(25_000);
        let agent = rig.agents.get_mut("a1").expect("known");
        agent.sequence += 1;
        let mut heartbeat = heartbeat("a1", agent);
        heartbeat.residents = vec![Resident {
            model: "m1".to_owned(),
            version: 1,
            accelerator: 0,
            state: ResidentState::Loading as i32,
            size_mib: 70,
            age_ms,
        }];
        rig.frame("a1", frame::Body::Heartbeat(heartbeat));
        assert_eq!(refused_at_once(&mut rig, "m1", 5_000), expected, "{age_ms}");
    }
}

/// If a load predicted to end within four seconds has not begun after ten, the prediction
/// for the next request is longer than four seconds.
#[test]
fn a_wait_longer_than_predicted_extends_the_prediction() {
    let mut rig = rig_with_slow_store();
    rig.agent("a1", &[]);
    assert!(!refused_at_once(&mut rig, "m1", 30_000));
    assert!(!refused_at_once(&mut rig, "m1", 5_000));
    rig.advance(10_000);
    assert!(refused_at_once(&mut rig, "m1", 5_000));
}

/// How a load that a request waits for continues.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LoadCourse {
    /// It ends 12 s after its start, with a configured load time of 3 s.
    Ends,
    /// It never ends.
    Stays,
    /// It failed, and no agent is loading the model any more.
    Fails,
    /// Its agent becomes silent.
    Silent,
    /// Its upstream crashes, while the agent still reports the load.
    Crashes,
    /// Its agent drains.
    Leaves,
}

fn report_load(rig: &mut Rig, state: Option<ResidentState>, age_ms: u64) {
    let agent = rig.agents.get_mut("a1").expect("known");
    agent.sequence += 1;
    let mut heartbeat = heartbeat("a1", agent);
    let resident = state.map(|state| Resident {
        model: "m1".to_owned(),
        version: 1,
        accelerator: 0,
        state: state as i32,
        size_mib: 70,
        age_ms,
    });
    heartbeat.residents.extend(resident);
    rig.frame("a1", frame::Body::Heartbeat(heartbeat));
}

/// A request waits for a load that takes four times the configured load time. While the
/// agent reports the load as in progress, the request waits up to its deadline; a later
/// request, whose predicted wait is as long again, is refused at once. If nothing is
/// loading, or no agent reports it, the waiting request is refused long before its
/// deadline.
#[test]
fn a_load_in_progress_is_waited_for() {
    const DEADLINE_MS: u64 = 14_000;
    let rows = [
        (LoadCourse::Ends, None),
        (LoadCourse::Stays, Some(13_500..=DEADLINE_MS)),
        (LoadCourse::Fails, Some(8_000..=11_000)),
        (LoadCourse::Silent, Some(8_000..=12_500)),
        (LoadCourse::Crashes, Some(8_000..=11_000)),
        (LoadCourse::Leaves, Some(8_000..=11_000)),
    ];
    for (load, refusal_bounds) in rows {
        let mut rig = rig_with_slow_store();
        rig.agent("a1", &[]);
        rig.agents.get_mut("a1").expect("known").silent = true;
        let mut incoming =
            rig.incoming(RequestedResource::Model(Some(ModelId::new("m1"))));
        incoming.deadline_ms = Some(DEADLINE_MS);
        let request = rig.submit(incoming);
        let (mut refused_after_ms, mut later) = (None, None);
        for passed_ms in (250..DEADLINE_MS + 1_000).step_by(250) {
            rig.advance(250);
            let in_progress = passed_ms < 8_000;
            rig.agents.get_mut("a1").expect("known").upstream_up =
                in_progress || load != LoadCourse::Crashes;
            rig.agents.get_mut("a1").expect("known").leaving =
                !in_progress && load == LoadCourse::Leaves;
            match (load, in_progress) {
                (LoadCourse::Ends, _) if passed_ms >= 12_500 => {
                    report_load(&mut rig, Some(ResidentState::Loaded), 0);
                }
                (LoadCourse::Fails, false) => report_load(&mut rig, None, 0),
                (LoadCourse::Silent, false) => {}
                _ => {
                    report_load(&mut rig, Some(ResidentState::Loading), passed_ms);
                }
            }
            if passed_ms == 7_500 {
                later = Some(refused_at_once(&mut rig, "m1", 4_000));
            }
            if let Some(run) = rig.runs(request).pop() {
                rig.started(&run);
                rig.end(&run, 0);
            }
            if refused_after_ms.is_none() && !rig.errors(request).is_empty() {
                refused_after_ms = Some(passed_ms);
            }
        }
        assert_eq!(later, Some(true), "{load:?}");
        assert_eq!(
            rig.runs(request).len(),
            usize::from(load == LoadCourse::Ends)
        );
        match refusal_bounds {
            None => assert_eq!(refused_after_ms, None, "{load:?}"),
            Some(bounds) => {
                let refused_after_ms = refused_after_ms.expect("it is refused");
                assert!(
                    bounds.contains(&refused_after_ms),
                    "{load:?} {refused_after_ms}"
                );
                let error = rig.error(request);
                assert_eq!(error.code, ErrorCode::ModelUnavailable, "{load:?}");
                assert!(error.retry_after_ms > Some(1_000), "{load:?}");
            }
        }
    }
}
