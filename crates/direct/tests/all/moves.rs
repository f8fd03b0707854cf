//! What is loaded where.

use crate::support::{at, cases, engine, name};
use base::prelude::*;
use direct::{
    DemandEstimate, LoadPlanner, LoadReason, PlacedModel, PlannedLoad, UpstreamState,
};
use std::collections::BTreeMap;
use std::sync::Arc;

const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn spot(id: &str, models: &[&str]) -> UpstreamState {
    let groups = models.iter().map(|model| PlacedModel {
        model: name(model),
        size_mb: 70.0,
        unloading: false,
        since: Instant::ZERO,
    });
    UpstreamState {
        upstream: name(id),
        domain: name("east"),
        idle: true,
        free_mb: 215.0 - 70.0 * models.len() as f64,
        models: groups.collect(),
        local_weights: Vec::new(),
    }
}

fn load(ms_per_s: f64) -> DemandEstimate {
    DemandEstimate {
        recent_ms_per_s: ms_per_s,
        sustained_ms_per_s: ms_per_s,
        waiting: 0,
        oldest_wait_ms: 0,
        request_ms: 0.0,
    }
}

fn loads(of: &[(&str, f64)]) -> BTreeMap<Arc<str>, DemandEstimate> {
    of.iter()
        .map(|(model, ms)| (name(model), load(*ms)))
        .collect()
}

fn plan(
    spots: &[UpstreamState],
    loads: &BTreeMap<Arc<str>, DemandEstimate>,
) -> Vec<PlannedLoad> {
    LoadPlanner::new(5_000).plan(at(0), &engine(&MODELS), spots, loads)
}

#[test]
fn a_model_that_overloads_its_holder_gets_a_copy_where_it_disturbs_least() {
    let spots = [
        spot("1", &["a", "b", "c"]),
        spot("2", &["b", "c", "d"]),
        spot("3", &["d", "e", "f"]),
    ];
    let loads = loads(&[("a", 1_500.0), ("b", 200.0), ("e", 100.0)]);
    let choices = plan(&spots, &loads);
    let first = choices.first().expect("a is worth a copy");
    assert_eq!((&*first.load, first.reason), ("a", LoadReason::Busy));
    assert!(first.unload.is_some());
    // The last copies of wanted models stay.
    assert!(
        choices
            .iter()
            .all(|choice| choice.unload.as_deref() != Some("e"))
    );
}

/// A few requests of a rarely used model come at once. A load would take a copy
/// from a model that is used all the time, for demand that is over by then.
#[test]
fn what_a_handful_of_requests_shows_moves_nothing() {
    let spots = [spot("1", &["a", "b", "c"]), spot("2", &["a", "b", "d"])];
    let loads = loads(&[("a", 300.0), ("b", 200.0), ("d", 170.0)]);
    assert!(plan(&spots, &loads).is_empty());
}

/// Two models share one upstream and both are asked for; a third one waits. To
/// take the last copy of a wanted model for it would only swap who is refused.
#[test]
fn the_last_copy_of_a_wanted_model_goes_for_nobody() {
    let spots = [spot("1", &["a", "b", "c"])];
    let mut loads = loads(&[("a", 100.0), ("b", 100.0), ("c", 100.0)]);
    let waiting = DemandEstimate {
        waiting: 9,
        oldest_wait_ms: 100,
        request_ms: 0.0,
        ..load(5_000.0)
    };
    loads.insert(name("f"), waiting);
    assert!(plan(&spots, &loads).is_empty());
}

/// Two upstreams with three places each, where a load takes a second.
struct Places {
    spots: [UpstreamState; 2],
    busy_until_ms: [u64; 2],
}

impl Places {
    const LOAD_MS: u64 = 1_000;

    /// Holds the first six models and has copies of all.
    fn new(all: &[&str]) -> Self {
        let mut spots = [spot("1", &all[..3]), spot("2", &all[3..6])];
        for spot in &mut spots {
            spot.local_weights = all.iter().map(|model| name(model)).collect();
        }
        Self {
            spots,
            busy_until_ms: [0; 2],
        }
    }

    /// Whether a model is held and not just being loaded.
    fn serves(&self, ms: u64, model: &str) -> bool {
        let mut spots = self.spots.iter().zip(self.busy_until_ms);
        spots.any(|(spot, until_ms)| {
            let loading = usize::from(until_ms > ms);
            let mut held = spot.models.iter().rev().skip(loading);
            held.any(|group| &*group.model == model)
        })
    }

    fn look(&mut self, ms: u64) -> &[UpstreamState] {
        for (spot, until_ms) in self.spots.iter_mut().zip(self.busy_until_ms) {
            spot.idle = until_ms <= ms;
        }
        &self.spots
    }

    fn carry_out(&mut self, ms: u64, choice: &PlannedLoad) {
        let index = usize::from(&*choice.upstream == "2");
        let groups = &mut self.spots[index].models;
        groups.retain(|group| Some(&group.model) != choice.unload.as_ref());
        groups.push(PlacedModel {
            model: Arc::clone(&choice.load),
            size_mb: 70.0,
            unloading: false,
            since: at(ms + Self::LOAD_MS),
        });
        assert!(groups.len() <= 3);
        self.busy_until_ms[index] = ms + Self::LOAD_MS;
    }
}

/// Eight models are asked for all the while, and there are places for six. Those
/// that came first must not keep the places for ever: each model is served again
/// and again, and a place serves for longer than it loads.
#[test]
fn more_wanted_models_than_places_take_turns() {
    const ALL: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    const TICK_MS: u64 = 150;
    let engine = engine(&ALL);
    let mut moves = LoadPlanner::new(5_000);
    let mut places = Places::new(&ALL);
    let mut served_ms: BTreeMap<&str, u64> = BTreeMap::new();
    for ms in (0..60_000).step_by(TICK_MS as usize) {
        let loads = ALL.map(|model| {
            let serves = places.serves(ms, model);
            *served_ms.entry(model).or_default() += TICK_MS * u64::from(serves);
            let load = DemandEstimate {
                waiting: u32::from(!serves),
                oldest_wait_ms: 100,
                request_ms: 0.0,
                ..load(100.0)
            };
            (name(model), load)
        });
        let choices = moves.plan(at(ms), &engine, places.look(ms), &loads.into());
        for choice in &choices {
            places.carry_out(ms, choice);
        }
    }
    for (model, ms) in &served_ms {
        assert!(*ms > 20_000, "{model}: {served_ms:?}");
    }
    let all: u64 = served_ms.values().sum();
    assert!(all > 6 * 60_000 * 3 / 4, "{served_ms:?}");
}

#[test]
fn a_model_that_is_waited_for_is_loaded_even_in_place_of_an_unused_last_copy() {
    let spots = [spot("1", &["a", "b", "c"])];
    let mut loads = loads(&[("a", 100.0), ("b", 100.0)]);
    let waiting = DemandEstimate {
        waiting: 1,
        oldest_wait_ms: 100,
        request_ms: 0.0,
        ..load(10.0)
    };
    loads.insert(name("f"), waiting);
    let choices = plan(&spots, &loads);
    assert_eq!(choices.len(), 1);
    assert_eq!(&*choices[0].load, "f");
    assert_eq!(choices[0].unload.as_deref(), Some("c"));
    assert_eq!(choices[0].reason, LoadReason::Waited);
}

#[test]
fn models_that_nothing_holds_fill_free_room_and_displace_nothing() {
    let choices = plan(
        &[spot("1", &["a"]), spot("2", &["a", "b", "c"])],
        &loads(&[]),
    );
    assert!(choices.iter().all(|choice| choice.unload.is_none()));
    assert!(choices.iter().all(|choice| &*choice.upstream == "1"));
    assert_eq!(choices.len(), 1, "one order at a time");
}

/// The weight store allows two loads a second. Whatever is wanted, no more than
/// its share of the window is ordered, also right after a change of the giver,
/// and a load without an answer counts for as long as it may begin.
#[test]
fn loads_from_the_weight_store_stay_within_its_rate() {
    let engine = engine(&MODELS);
    let mut moves = LoadPlanner::new(5_000);
    let whole = moves.store_loads_left(at(0), &engine);
    assert!((8..=10).contains(&whole));
    for _ in 0..whole {
        moves.record_store_load(at(0));
    }
    assert_eq!(moves.store_loads_left(at(4_900), &engine), 0);
    assert_eq!(moves.store_loads_left(at(5_001), &engine), whole);
    moves.record_unanswered_load(at(5_001));
    assert_eq!(moves.store_loads_left(at(16_000), &engine), whole - 1);
    assert_eq!(moves.store_loads_left(at(18_000), &engine), whole);
    let mut next = LoadPlanner::new(5_000);
    next.assume_window_spent(at(20_000), &engine);
    assert_eq!(next.store_loads_left(at(21_000), &engine), 0);
    assert_eq!(next.store_loads_left(at(25_001), &engine), whole);
}

/// The platform is away for so long that the giver's lease lapses; it renews it and
/// orders again. What it loaded a moment before the pause still counts: callers' models
/// would else be loaded at twice the rate that the weight store allows.
#[test]
fn loads_ordered_before_a_pause_count_behind_it() {
    let engine = engine(&MODELS);
    let mut moves = LoadPlanner::new(5_000);
    let whole = moves.store_loads_left(at(0), &engine);
    for _ in 0..whole {
        moves.record_store_load(at(1_000));
    }
    moves.resume();
    assert_eq!(moves.store_loads_left(at(2_000), &engine), 0);
    moves.assume_window_spent(at(500), &engine);
    assert_eq!(moves.store_loads_left(at(5_900), &engine), 0);
    assert_eq!(moves.store_loads_left(at(6_001), &engine), whole);
}

#[test]
fn without_an_allowance_only_what_an_upstream_has_itself_is_loaded() {
    let engine = engine(&MODELS);
    let mut moves = LoadPlanner::new(5_000);
    moves.assume_window_spent(at(0), &engine);
    let mut with_copy = spot("1", &["a"]);
    with_copy.local_weights = vec![name("c")];
    let choices = moves.plan(at(10), &engine, &[with_copy], &loads(&[]));
    assert_eq!(choices.len(), 1);
    assert_eq!(&*choices[0].load, "c");
    assert!(!choices[0].from_store);
}

#[test]
fn no_choice_overfills_a_spot_and_no_busy_spot_is_chosen() {
    let mut busy = spot("1", &["a"]);
    busy.idle = false;
    let spots = [busy, spot("2", &["a", "b"]), spot("3", &["c", "d", "e"])];
    let loads = loads(&[("a", 3_000.0), ("f", 500.0)]);
    for choice in plan(&spots, &loads) {
        assert_ne!(&*choice.upstream, "1");
        let spot = spots.iter().find(|spot| spot.upstream == choice.upstream);
        let freed = if choice.unload.is_some() { 70.0 } else { 0.0 };
        assert!(spot.expect("it is one of them").free_mb + freed >= 70.0);
    }
}

/// Loads that were to come from copies got no answer, and their upstreams started
/// again. The later starts have no copy in memory: each load may come from the
/// store, so it counts until it can't come any more.
#[test]
fn loads_that_outlive_a_start_count_as_loads_from_the_store() {
    let engine = engine(&MODELS);
    let mut moves = LoadPlanner::new(5_000);
    let whole = moves.store_loads_left(at(0), &engine);
    moves.record_surviving_loads(at(0), 3);
    assert_eq!(moves.store_loads_left(at(12_000), &engine), whole - 3);
    assert_eq!(moves.store_loads_left(at(13_000), &engine), whole);
}

/// What an unload costs for each part of an upstream's time that the model took there,
/// and the loss of a last copy, as the plan has them.
const UNLOAD_COST: f64 = 1.0;
const LAST_COPY_LOSS: f64 = 0.5;

/// Fall of the sum of the squares of all upstreams' loads by a move, by definition:
/// each copy takes its part of what is expected of its model, and what a displaced copy
/// is kept for goes to the others.
fn fall_by_definition(
    spots: &[UpstreamState],
    loads: &BTreeMap<Arc<str>, DemandEstimate>,
    choice: &PlannedLoad,
) -> f64 {
    let holders = |model: &Arc<str>| -> Vec<usize> {
        let holds = |spot: &UpstreamState| {
            spot.models.iter().any(|group| group.model == *model)
        };
        (0..spots.len())
            .filter(|index| holds(&spots[*index]))
            .collect()
    };
    let part = |work_ms: f64, copies: usize| work_ms / 1_000.0 / copies.max(1) as f64;
    let expected = |model: &Arc<str>| {
        loads
            .get(model)
            .map_or(0.0, DemandEstimate::expected_ms_per_s)
    };
    let kept = |model: &Arc<str>| {
        loads
            .get(model)
            .map_or(0.0, DemandEstimate::retention_ms_per_s)
    };
    let mut before = vec![0.0; spots.len()];
    for (index, spot) in spots.iter().enumerate() {
        for group in &spot.models {
            let copies = holders(&group.model).len();
            before[index] += part(expected(&group.model), copies);
        }
    }
    let to = spots
        .iter()
        .position(|spot| spot.upstream == choice.upstream);
    let to = to.expect("it is one of them");
    let mut after = before.clone();
    let of = holders(&choice.load);
    let more = part(expected(&choice.load), of.len() + 1);
    for holder in &of {
        after[*holder] += more - part(expected(&choice.load), of.len());
    }
    after[to] += more;
    let mut cost = 0.0;
    if let Some(victim) = &choice.unload {
        let of = holders(victim);
        let share = part(kept(victim), of.len());
        for holder in &of {
            after[*holder] += part(kept(victim), of.len() - 1) - share;
        }
        after[to] -= part(kept(victim), of.len() - 1);
        cost = share * UNLOAD_COST;
        if of.len() == 1 {
            cost += LAST_COPY_LOSS;
        }
    }
    let squares = |loads: &[f64]| loads.iter().map(|load| load * load).sum::<f64>();
    squares(&before) - squares(&after) - cost
}

/// What a move relieves is taken from sums that are kept, and has to be the fall of
/// the sum of the squares of all loads, whoever else holds the two models.
#[test]
fn the_relief_of_a_move_is_the_fall_of_the_squares_of_all_loads() {
    let moved = std::cell::Cell::new([0, 0]);
    cases(400, |random| {
        let mut spots = Vec::new();
        for index in 0..4 {
            let held = [0, 2, 4].map(|at| at + random.int_in_range(0..=1).unwrap_or(0));
            let held = held.map(|model| MODELS[model]);
            let free = random.int_in_range(0..=5)? == 0;
            let held = if free { &held[..2] } else { &held[..] };
            spots.push(spot(&index.to_string(), held));
        }
        // Steady and heavy, so that demand is what was seen and not expected to
        // move on.
        let mut loads = BTreeMap::new();
        for model in MODELS {
            loads.insert(name(model), load(random.int_in_range(400..=9_000)? as f64));
        }
        let choices = plan(&spots, &loads);
        let first = choices.first();
        let Some(first) = first.filter(|first| first.reason == LoadReason::Busy) else {
            return Ok(());
        };
        let fall = fall_by_definition(&spots, &loads, first);
        assert!((fall - first.relief).abs() < 1e-6, "{fall}, {first:?}");
        let mut counts = moved.get();
        counts[usize::from(first.unload.is_some())] += 1;
        moved.set(counts);
        Ok(())
    });
    let [into_room, in_place] = moved.get();
    assert!(into_room > 30 && in_place > 30, "{into_room}, {in_place}");
}

/// Demand moves on among the models while a load takes longer than the move. Where it
/// went three models further the last time, the copy that is made ahead is that of the
/// model three behind; where it went to the next, that of the next.
#[test]
fn copies_are_made_for_the_model_that_demand_moves_on_to() {
    let mut engine = engine(&MODELS);
    for spec in engine.models.values_mut() {
        spec.store_load_ms = 6_000;
    }
    let spots: Vec<UpstreamState> = MODELS
        .iter()
        .map(|model| spot(model, &[*model, "x", "y"]))
        .chain(["7", "8", "9"].map(|free| spot(free, &["x", "y"])))
        .collect();
    let ahead_after = |risen: &str| {
        let mut moves = LoadPlanner::new(5_000);
        let shares = [3_600.0, 1_200.0, 1_100.0, 1_000.0, 900.0, 800.0];
        let before: Vec<(&str, f64)> = MODELS.into_iter().zip(shares).collect();
        moves.plan(at(0), &engine, &spots, &loads(&before));
        let moved = before.iter().map(|(model, share)| match *model {
            "a" => ("a", 0.0),
            model if model == risen => (model, 3_600.0),
            model => (model, *share),
        });
        let moved: Vec<(&str, f64)> = moved.collect();
        let choices = moves.plan(at(4_000), &engine, &spots, &loads(&moved));
        let ahead = choices.iter().filter(|choice| &*choice.load != risen);
        ahead.map(|choice| choice.load.to_string()).next()
    };
    let near = ahead_after("b").expect("there is room");
    let far = ahead_after("d").expect("there is room");
    assert_eq!((near.as_str(), far.as_str()), ("c", "e"));
}
