//! Predictions for work that waits for a load.

use crate::rig::{Rig, document, heartbeat, options};
use base::prelude::*;
use role::entry::RequestedResource;
use schema::link::{Resident, ResidentState, frame};
use serde_json::json;

/// Loads take 3 s and start one a second; `ad` is an adapter of `m1`.
fn rig() -> Rig {
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
    let mut rig = Rig::unready(options("e1", 7));
    rig.publish(1, &config);
    rig.start();
    rig
}

/// Asks with a deadline; whether it was refused at once.
fn refused(rig: &mut Rig, model: &str, deadline_ms: u64) -> bool {
    let mut arrival = rig.arrival(RequestedResource::Model(Some(ModelId::new(model))));
    arrival.deadline_ms = Some(deadline_ms);
    let request = rig.arrive(arrival);
    let refusals = rig.refusals(request);
    let told = refusals
        .iter()
        .all(|refusal| refusal.retry_after_ms.is_some());
    assert!(told, "{refusals:?}");
    !refusals.is_empty()
}

/// An adapter is asked for while nobody holds its base. It takes two loads, and a
/// caller who has time for one only is told so, whether or not others wait for
/// the adapter. With the base in place one load is enough.
#[test]
fn an_adapter_waits_for_its_base() {
    for (held, expected) in [(&[][..], true), (&["m1"][..], false)] {
        let mut rig = rig();
        rig.agent("a1", held);
        assert_eq!(refused(&mut rig, "ad", 5_000), expected);
        assert!(!refused(&mut rig, "ad", 20_000));
        rig.advance(600);
        assert_eq!(refused(&mut rig, "ad", 5_000), expected, "foreseen");
    }
}

/// Eight models are asked for in the same instant. The store starts one load a
/// second, so the callers of the last have to have the time for it.
#[test]
fn a_burst_of_loads_starts_one_after_another() {
    let mut rig = rig();
    for n in 0..8 {
        rig.agent(&format!("a{n}"), &[]);
    }
    rig.advance(600);
    let asked: Vec<bool> = (0..8)
        .map(|n| refused(&mut rig, &format!("x{n}"), 7_000))
        .collect();
    assert!(!asked[0] && !asked[2], "{asked:?}");
    assert!(asked[7], "{asked:?}");
}

/// A load takes far longer than loads do. It is not said to be done in a moment:
/// who has no time is told at once.
#[test]
fn a_late_load_is_expected_to_stay_late() {
    for (age_ms, expected) in [(1_000, false), (20_000, true)] {
        let mut rig = rig();
        rig.agent("a1", &[]);
        rig.advance(25_000);
        let agent = rig.agents.get_mut("a1").expect("known");
        agent.sequence += 1;
        let mut beat = heartbeat("a1", agent);
        beat.residents = vec![Resident {
            model: "m1".to_owned(),
            version: 1,
            accelerator: 0,
            state: ResidentState::Loading as i32,
            size_mib: 70,
            age_ms,
        }];
        rig.frame("a1", frame::Body::Heartbeat(beat));
        assert_eq!(refused(&mut rig, "m1", 5_000), expected, "{age_ms}");
    }
}

/// A load was foreseen within four seconds and has not begun after ten. The next
/// caller is not told four seconds again.
#[test]
fn a_wait_longer_than_foreseen_is_told() {
    let mut rig = rig();
    rig.agent("a1", &[]);
    assert!(!refused(&mut rig, "m1", 30_000));
    assert!(!refused(&mut rig, "m1", 5_000));
    rig.advance(10_000);
    assert!(refused(&mut rig, "m1", 5_000));
}

/// What becomes of a load that a request has waited for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Load {
    /// It ends 12 s after its start, though loads take 3 s.
    Ends,
    /// It goes on and on.
    Stays,
    /// It failed, and nobody loads the model any more.
    Fails,
    /// Its agent falls silent.
    Silent,
    /// Its upstream crashes; what was loaded there is told as before.
    Crashes,
    /// Its agent leaves.
    Leaves,
}

fn report(rig: &mut Rig, state: Option<ResidentState>, age_ms: u64) {
    let agent = rig.agents.get_mut("a1").expect("known");
    agent.sequence += 1;
    let mut beat = heartbeat("a1", agent);
    let resident = state.map(|state| Resident {
        model: "m1".to_owned(),
        version: 1,
        accelerator: 0,
        state: state as i32,
        size_mib: 70,
        age_ms,
    });
    beat.residents.extend(resident);
    rig.frame("a1", frame::Body::Heartbeat(beat));
}

/// A request waits for a load that takes four times as long as loads do. While
/// its holder reports the load as under way, the request is not refused with the
/// end in sight, but waits up to its deadline; who comes later and would have to
/// wait as long again is told at once. When nothing is loading, or nobody says
/// so, the one that waits is refused long before its deadline.
#[test]
fn a_load_in_progress_is_waited_for() {
    const DEADLINE_MS: u64 = 14_000;
    let rows = [
        (Load::Ends, None),
        (Load::Stays, Some(13_500..=DEADLINE_MS)),
        (Load::Fails, Some(8_000..=11_000)),
        (Load::Silent, Some(8_000..=12_500)),
        (Load::Crashes, Some(8_000..=11_000)),
        (Load::Leaves, Some(8_000..=11_000)),
    ];
    for (load, refused_at) in rows {
        let mut rig = rig();
        rig.agent("a1", &[]);
        rig.agents.get_mut("a1").expect("known").silent = true;
        let mut arrival =
            rig.arrival(RequestedResource::Model(Some(ModelId::new("m1"))));
        arrival.deadline_ms = Some(DEADLINE_MS);
        let request = rig.arrive(arrival);
        let (mut told_at, mut later) = (None, None);
        for passed_ms in (250..DEADLINE_MS + 1_000).step_by(250) {
            rig.advance(250);
            let under_way = passed_ms < 8_000;
            rig.agents.get_mut("a1").expect("known").upstream_up =
                under_way || load != Load::Crashes;
            rig.agents.get_mut("a1").expect("known").leaving =
                !under_way && load == Load::Leaves;
            match (load, under_way) {
                (Load::Ends, _) if passed_ms >= 12_500 => {
                    report(&mut rig, Some(ResidentState::Loaded), 0);
                }
                (Load::Fails, false) => report(&mut rig, None, 0),
                (Load::Silent, false) => {}
                _ => {
                    report(&mut rig, Some(ResidentState::Loading), passed_ms);
                }
            }
            if passed_ms == 7_500 {
                later = Some(refused(&mut rig, "m1", 4_000));
            }
            if let Some(run) = rig.runs(request).pop() {
                rig.started(&run);
                rig.end(&run, 0);
            }
            if told_at.is_none() && !rig.refusals(request).is_empty() {
                told_at = Some(passed_ms);
            }
        }
        assert_eq!(later, Some(true), "{load:?}");
        assert_eq!(rig.runs(request).len(), usize::from(load == Load::Ends));
        match refused_at {
            None => assert_eq!(told_at, None, "{load:?}"),
            Some(bounds) => {
                let told_at = told_at.expect("it is told");
                assert!(bounds.contains(&told_at), "{load:?} {told_at}");
                let refusal = rig.refusal(request);
                assert_eq!(refusal.code, Code::ModelUnavailable, "{load:?}");
                assert!(refusal.retry_after_ms > Some(1_000), "{load:?}");
            }
        }
    }
}
