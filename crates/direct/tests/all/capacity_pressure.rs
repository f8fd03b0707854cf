//! When copies are made in time, and which ones.

use crate::support::{at, cases, name};
use crate::timely_copies::engine;
use direct::{
    Arrival, CapacityPressure, Config, DemandEstimate, DemandPressure, DemandTracker,
    EngineSpec, Limits, LoadPlanner, LoadReason, MoveObstacle, PlacedModel,
    PlannedLoad, Route, RouteKind, UpstreamState, WeightedService,
    targets_differ_widely,
};
use std::collections::BTreeMap;
use std::sync::Arc;

fn upstream(id: &str, models: &[&str]) -> UpstreamState {
    let models = models.iter().map(|model| PlacedModel {
        model: name(model),
        size_mb: 70.0,
        unloading: false,
        since: at(0),
    });
    UpstreamState {
        upstream: name(id),
        domain: name("a"),
        idle: true,
        free_mb: 145.0 - 70.0 * models.len() as f64,
        models: models.collect(),
        local_weights: Vec::new(),
    }
}

/// Demand for a model, by engine time per second, and the pressure on it.
type Demand = (&'static str, f64, DemandPressure);

const fn pressure(refused_ms_per_s: f64, target_ms: u64) -> DemandPressure {
    DemandPressure {
        refused_ms_per_s,
        shortest_target_ms: target_ms,
        longest_run_ms: 500,
    }
}

/// Plans every 100 ms on the same states: for two seconds without pressure, then up to
/// `until_ms` with it. Returns the last plan.
fn last_plan(
    upstreams: &[UpstreamState],
    demand: &[Demand],
    conditions: &CapacityPressure,
    until_ms: u64,
) -> Vec<PlannedLoad> {
    last_plan_on(&engine(), upstreams, demand, conditions, until_ms)
}

fn last_plan_on(
    engine: &EngineSpec,
    upstreams: &[UpstreamState],
    demand: &[Demand],
    conditions: &CapacityPressure,
    until_ms: u64,
) -> Vec<PlannedLoad> {
    let estimate = |ms_per_s: f64| DemandEstimate {
        recent_ms_per_s: ms_per_s,
        sustained_ms_per_s: ms_per_s,
        request_ms: 100.0,
        ..DemandEstimate::default()
    };
    let estimates = demand
        .iter()
        .map(|(model, ms, _)| (name(model), estimate(*ms)));
    let estimates = estimates.collect();
    let pressures = demand
        .iter()
        .map(|(model, _, pressure)| (name(model), *pressure));
    let conditions = CapacityPressure {
        models: pressures.collect(),
        ..conditions.clone()
    };
    let calm = CapacityPressure {
        models: BTreeMap::new(),
        ..conditions.clone()
    };
    let mut planner = LoadPlanner::new(5_000);
    let mut planned = Vec::new();
    for ms in (8_000..=10_000 + until_ms).step_by(100) {
        let pressure = if ms < 10_000 { &calm } else { &conditions };
        planned = planner.plan_under_pressure(
            at(ms),
            engine,
            upstreams,
            &estimates,
            pressure,
        );
    }
    planned
}

fn wide() -> CapacityPressure {
    CapacityPressure {
        targets_differ: true,
        ..CapacityPressure::default()
    }
}

/// Guards against urgent requests that are refused while last copies of models with
/// patient callers hold all places, and against the reverse.
#[test]
fn a_patient_model_gives_way_to_a_refused_urgent_one_and_not_the_reverse() {
    let upstreams = [
        upstream("1", &["m01", "m02"]),
        upstream("2", &["m03", "m04"]),
    ];
    let urgent = ("m01", 4_000.0, pressure(3_000.0, 500));
    let others = ["m02", "m03", "m04"].map(|model| (model, 20.0, pressure(0.0, 8_000)));
    let demand: Vec<Demand> = others.into_iter().chain([urgent]).collect();
    let planned = last_plan(&upstreams, &demand, &wide(), 0);
    assert_eq!(planned.len(), 1, "{planned:?}");
    assert_eq!(&*planned[0].load, "m01");
    assert!(planned[0].unload.is_some());

    let patient = ("m05", 4_000.0, pressure(3_000.0, 8_000));
    let others =
        ["m01", "m02", "m03", "m04"].map(|model| (model, 20.0, pressure(0.0, 500)));
    let demand: Vec<Demand> = others.into_iter().chain([patient]).collect();
    let planned = last_plan(&upstreams, &demand, &wide(), 20_000);
    assert!(planned.is_empty(), "{planned:?}");
}

/// Guards against the unload of a patient model whose own requests are refused: it had
/// 289 requests in two seconds and no holder left.
#[test]
fn a_crowded_patient_model_keeps_its_last_copy_and_gets_one_at_once() {
    let held = upstream("1", &["m02", "m03"]);
    let urgent = ("m01", 4_000.0, pressure(3_000.0, 500));
    let crowded = ["m02", "m03"].map(|model| (model, 900.0, pressure(500.0, 8_000)));
    let demand: Vec<Demand> = crowded.into_iter().chain([urgent]).collect();
    assert!(last_plan(std::slice::from_ref(&held), &demand, &wide(), 0).is_empty());

    let free = upstream("2", &["m70", "m71"]);
    let demand = [crowded[0], ("m04", 50.0, pressure(0.0, 500))];
    let planned = last_plan(&[free], &demand, &wide(), 0);
    assert!(
        planned.iter().any(|load| &*load.load == "m02"),
        "{planned:?}"
    );
}

/// Guards against giving up last copies in the first plan of a day, when most models
/// have had no request yet.
#[test]
fn without_a_second_of_demand_no_spare_copy_is_made() {
    let upstreams: Vec<UpstreamState> = ["1", "2", "3"]
        .map(|id| upstream(id, &["m70", "m71"]))
        .into();
    let demand = BTreeMap::from([(
        name("m70"),
        DemandEstimate {
            recent_ms_per_s: 100.0,
            sustained_ms_per_s: 100.0,
            ..DemandEstimate::default()
        },
    )]);
    let conditions = CapacityPressure {
        models: BTreeMap::from([(name("m70"), pressure(0.0, 500))]),
        ..wide()
    };
    let mut planner = LoadPlanner::new(5_000);
    for ms in (0..1_000).step_by(100) {
        let planned = planner.plan_under_pressure(
            at(ms),
            &engine(),
            &upstreams,
            &demand,
            &conditions,
        );
        assert!(planned.is_empty(), "{planned:?}");
    }
}

/// Guards against orders to an upstream that left one unanswered, while another one
/// answers: each such order kept its model waiting for 1.2 s.
#[test]
fn an_upstream_that_answers_orders_is_preferred() {
    let upstreams = [
        upstream("1", &["m70", "m71"]),
        upstream("2", &["m70", "m71"]),
        upstream("3", &["m01", "m02"]),
    ];
    let demand = [("m01", 1_500.0, pressure(700.0, 500))];
    for silent in ["1", "2"] {
        let conditions = CapacityPressure {
            unanswering: std::iter::once(name(silent)).collect(),
            ..wide()
        };
        let planned = last_plan(&upstreams, &demand, &conditions, 0);
        let copy = planned.iter().find(|load| &*load.load == "m01");
        assert_ne!(&*copy.expect("requests are refused").upstream, silent);
    }
}

/// Guards against loads from the store where the weights are in the host's memory, and
/// against unloads for loads that the store doesn't allow yet.
#[test]
fn loads_are_charged_where_their_weights_are() {
    let mut upstreams = [
        upstream("1", &["m70", "m71"]),
        upstream("2", &["m70", "m71"]),
        upstream("3", &["m01", "m02"]),
    ];
    let demand = [("m01", 2_500.0, pressure(1_700.0, 500))];
    let mut conditions = CapacityPressure {
        reserved_store_loads: 30,
        ..wide()
    };
    assert!(last_plan(&upstreams, &demand, &conditions, 0).is_empty());
    for upstream in &mut upstreams[..2] {
        upstream.local_weights.push(name("m01"));
    }
    conditions.in_memory.insert(name("2"), vec![name("m01")]);
    let planned = last_plan(&upstreams, &demand, &conditions, 0);
    assert_eq!((&*planned[0].upstream, planned[0].from_store), ("2", false));
}

/// Guards against spare copies without end: with an urgent model on the disk of enough
/// upstreams, no further copy is loaded.
#[test]
fn spare_copies_end_when_enough_upstreams_have_the_weights() {
    let ids: Vec<String> = (10..30).map(|id| id.to_string()).collect();
    let upstreams = ids.iter().map(|id| upstream(id, &["m70", "m71"]));
    let mut upstreams: Vec<UpstreamState> = upstreams.collect();
    upstreams[0] = upstream("10", &["m01", "m71"]);
    let demand = [("m01", 200.0, pressure(0.0, 500))];
    let spare = |upstreams: &[UpstreamState]| {
        let planned = last_plan(upstreams, &demand, &wide(), 0);
        assert!(planned.iter().all(|load| load.reason == LoadReason::Spare));
        planned.len()
    };
    assert_eq!(spare(&upstreams), 2);
    for upstream in &mut upstreams[1..3] {
        upstream.local_weights.push(name("m01"));
    }
    assert_eq!(spare(&upstreams), 0);
}

/// Guards against other plans where no callers are patient beside others: only refusals
/// for half a second, while some model is held that nobody requests, change them, and only
/// where loads are short.
#[test]
fn without_lasting_refusals_plans_are_as_before() {
    let moves = |planned: &[PlannedLoad]| -> Vec<(Arc<str>, Arc<str>)> {
        let moves = planned.iter();
        moves
            .map(|load| (Arc::clone(&load.upstream), Arc::clone(&load.load)))
            .collect()
    };
    cases(200, |random| {
        let mut upstreams = Vec::new();
        for id in ["1", "2", "3", "4"] {
            let held =
                [0, 4].map(|from| from + random.int_in_range(0..=3).unwrap_or(0));
            let held = held.map(|model| {
                ["m00", "m01", "m02", "m03", "m04", "m05", "m06", "m07"][model]
            });
            upstreams.push(upstream(id, &held));
        }
        let mut demand = Vec::new();
        for model in ["m00", "m01", "m02", "m04", "m05"] {
            let ms_per_s = f64::from(random.int_in_range(0..=4_000)?);
            demand.push((model, ms_per_s, pressure(ms_per_s / 2.0, 1_000)));
        }
        let calm = demand
            .iter()
            .map(|(model, ms, _)| (*model, *ms, pressure(0.0, 1_000)));
        let calm: Vec<Demand> = calm.collect();
        let conditions = CapacityPressure {
            reserved_store_loads: 20,
            ..CapacityPressure::default()
        };
        let before = last_plan(&upstreams, &calm, &CapacityPressure::default(), 400);
        for demand in [&calm, &demand] {
            let planned = last_plan(&upstreams, demand, &conditions, 400);
            assert_eq!(moves(&planned), moves(&before));
        }
        Ok(())
    });
    let upstreams = [
        upstream("1", &["m01", "m02"]),
        upstream("2", &["m03", "m70"]),
    ];
    let demand = [
        ("m01", 1_100.0, pressure(100.0, 1_000)),
        ("m02", 20.0, pressure(0.0, 1_000)),
        ("m03", 20.0, pressure(0.0, 1_000)),
    ];
    let mut short_loads = engine();
    for model in short_loads.models.values_mut() {
        model.store_load_ms = 1_200;
    }
    let refused = CapacityPressure::default();
    let [at_once, lasting] = [400, 500].map(|until_ms| {
        last_plan_on(&short_loads, &upstreams, &demand, &refused, until_ms)
    });
    assert!(last_plan(&upstreams, &demand, &refused, 500).is_empty());
    assert!(
        at_once.is_empty() && lasting.len() == 1,
        "{at_once:?} {lasting:?}"
    );
    assert_eq!(lasting[0].delay.first_refused_ms_ago, Some(500));
    assert_eq!(lasting[0].delay.blocked_by, Some(MoveObstacle::Cost));
}

/// Guards against values of another entry that are no numbers, negative or extreme.
#[test]
fn pressure_from_another_entry_is_bounded() {
    let mut sum = pressure(100.0, 500);
    for refused in [f64::NAN, f64::NEG_INFINITY, -5.0] {
        sum.add(&pressure(refused, 0));
    }
    assert_eq!(sum, pressure(100.0, 500));
    sum.add(&DemandPressure {
        refused_ms_per_s: f64::INFINITY,
        shortest_target_ms: 300,
        longest_run_ms: u64::MAX,
    });
    assert!(sum.refused_ms_per_s.is_finite());
    assert_eq!((sum.shortest_target_ms, sum.longest_run_ms), (300, 600_000));
}

/// Guards against refusals that count only after seconds, or for seconds too long.
#[test]
fn refusals_count_within_a_quarter_of_a_second_and_fade() {
    let arrival = Arrival {
        prompt_tokens: 2_000,
        answer_tokens: 24,
        time_factor: 1.0,
        latency_target_ms: 500,
    };
    let mut demand = DemandTracker::new();
    demand.update(at(0));
    let refused_at = |demand: &DemandTracker| {
        let pressure = demand.pressures().next();
        pressure.map(|(_, pressure)| pressure)
    };
    for ms in (50..=250).step_by(50) {
        demand.record_arrival(&name("a"), &arrival);
        demand.record_refused(&name("a"), &arrival);
        demand.update(at(ms));
    }
    let refused = refused_at(&demand).expect("it is in demand");
    assert!(refused.is_refused(), "{refused:?}");
    assert_eq!(
        (refused.shortest_target_ms, refused.longest_run_ms),
        (500, 480)
    );
    for ms in (300..=4_000).step_by(50) {
        demand.update(at(ms));
    }
    let later = refused_at(&demand).expect("demand is remembered");
    assert!(!later.is_refused(), "{later:?}");
}

/// Guards against copies in time in a service whose callers are about equally patient.
#[test]
fn targets_differ_widely_from_twelve_times_on() {
    let config_with = |longest_ms: u64| {
        let routes = [("/a/", 500), ("/b/", longest_ms)];
        let routes = routes.map(|(prefix, target_ms)| Route {
            name: name(prefix),
            host: "h".into(),
            prefix: prefix.into(),
            targets: vec![WeightedService {
                service: name("s"),
                weight: 1,
            }],
            kind: RouteKind::Stream,
            timeout_ms: 20_000,
            latency_target_ms: target_ms,
            priority: 0,
            upstreams_max: 2,
            pause_max_ms: 0,
            is_public: true,
        });
        Config::new(1, routes.into(), BTreeMap::new(), Limits::default())
    };
    assert!(!targets_differ_widely(&config_with(5_999), "s"));
    assert!(targets_differ_widely(&config_with(6_000), "s"));
    assert!(!targets_differ_widely(&config_with(6_000), "other"));
}
