//! Speeds of engines, learned from their streams.

use crate::support::{at, engine, incarnation, name, record, record_with_start};
use direct::{
    AdmissionInput, EngineSpec, EventSampler, Fleet, Place, PlaceDecision,
    PrefillQueue, SelectedUpstream, SelectionError, SelectionInput,
    UpstreamIncarnation, Usage, WaitCheck, WaitQueue, WaitingRequest, admit,
    select_upstream,
};

/// Engines of one service, all of which hold model `a`.
fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ids.iter().map(|id| (1, record(id, &["a"])));
    fleet.apply_list(at(0), 1, listed.collect());
    fleet
}

/// Streams of each engine send an event every so many milliseconds, from one time to
/// another.
fn stream(fleet: &mut Fleet, from_ms: u64, to_ms: u64, engines: &[(&str, u64)]) {
    for ms in from_ms..to_ms {
        for (id, event_ms) in engines {
            if ms.is_multiple_of(*event_ms) {
                fleet.record_event(at(ms), incarnation(id), *event_ms as f64);
            }
        }
    }
}

fn factor(fleet: &Fleet, ms: u64, id: &str) -> f64 {
    fleet.get(id).expect("known").pace_factor(at(ms))
}

fn three_tokens_per_event() -> EngineSpec {
    EngineSpec {
        batch_slots: 64,
        cache_capacity_tokens: 117_504,
        tokens_per_event: 3,
        ..engine(&["a"])
    }
}

/// Two fast engines and a slow one, whose speeds are known from 2 s on.
fn uneven_fleet() -> Fleet {
    let mut fleet = fleet(&["1", "2", "3"]);
    stream(&mut fleet, 0, 2_500, &[("1", 17), ("2", 17), ("3", 42)]);
    fleet
}

#[test]
fn slow_engines_are_told_from_fast_ones() {
    let fleet = uneven_fleet();
    assert!((0.6..0.8).contains(&factor(&fleet, 2_500, "1")));
    assert!((1.5..1.9).contains(&factor(&fleet, 2_500, "3")));
}

/// Errors of measurement make no difference between engines that are equally fast.
#[test]
fn nearly_equal_engines_count_as_equal() {
    let mut fleet = fleet(&["1", "2", "3"]);
    stream(&mut fleet, 0, 3_000, &[("1", 24), ("2", 25), ("3", 27)]);
    for id in ["1", "2", "3"] {
        assert!((factor(&fleet, 3_000, id) - 1.0).abs() < f64::EPSILON);
    }
}

/// A slowdown of 600 ms is over before it could be acted on. If it counted, the engine
/// would be avoided for seconds after it.
#[test]
fn a_short_slowdown_is_not_learned() {
    let mut fleet = uneven_fleet();
    stream(&mut fleet, 2_500, 3_100, &[("1", 42), ("2", 17), ("3", 42)]);
    for ms in [2_600, 2_800, 3_100] {
        assert!((0.6..0.8).contains(&factor(&fleet, ms, "1")), "{ms}");
    }
}

/// An engine that is first seen during a slowdown isn't judged by it alone.
#[test]
fn an_engine_is_not_judged_by_its_first_half_second() {
    let mut fleet = fleet(&["1", "2", "3", "4"]);
    stream(&mut fleet, 0, 2_000, &[("1", 17), ("2", 17), ("3", 17)]);
    stream(&mut fleet, 2_000, 2_600, &[("4", 42)]);
    assert!((factor(&fleet, 2_600, "4") - 1.0).abs() < f64::EPSILON);
}

/// An engine that becomes slow for good is known as slow within seconds.
#[test]
fn a_lasting_slowdown_is_learned() {
    let mut fleet = fleet(&["1", "2", "3", "4"]);
    let equal = [("1", 17), ("2", 17), ("3", 17), ("4", 17)];
    stream(&mut fleet, 0, 4_000, &equal);
    assert!((factor(&fleet, 4_000, "4") - 1.0).abs() < f64::EPSILON);
    let slower = [("1", 17), ("2", 17), ("3", 17), ("4", 42)];
    stream(&mut fleet, 4_000, 9_500, &slower);
    assert!(factor(&fleet, 9_500, "4") > 1.5);
}

/// Without streams nothing is known of the present speed, and an engine that nothing
/// is sent to could never show that it is fast again.
#[test]
fn a_speed_is_forgotten_without_streams() {
    let fleet = uneven_fleet();
    assert!((factor(&fleet, 13_000, "3") - 1.0).abs() < f64::EPSILON);
}

/// An engine that is known as slow gets only short answers now and then. They must not
/// keep an old speed alive, or it would stay slow for the entry after it has recovered.
#[test]
fn a_speed_that_too_few_events_confirm_is_forgotten() {
    let mut fleet = uneven_fleet();
    for from_ms in (9_000..39_000).step_by(6_000) {
        stream(&mut fleet, from_ms, from_ms + 300, &[("3", 17)]);
        let others = [("1", 17), ("2", 17)];
        stream(&mut fleet, from_ms, from_ms + 6_000, &others);
    }
    assert!((factor(&fleet, 39_000, "3") - 1.0).abs() < f64::EPSILON);
}

/// Reads one event of a stream every so many milliseconds, and returns the samples.
fn samples(sampler: &mut EventSampler, read_ms: &[u64]) -> Vec<f64> {
    let read = read_ms.iter().filter_map(|ms| sampler.record(at(*ms), 1));
    read.collect()
}

/// A caller that reads late delays the events of its stream, which are then read one
/// after the other. Guards against times near zero, by which an engine looks several
/// times as fast.
#[test]
fn events_that_waited_count_with_the_time_of_their_wait() {
    let mut sampler = EventSampler::default();
    // An event is sent every 40 ms. Nothing is read for 800 ms.
    let mut read_ms: Vec<u64> = (0..=200).step_by(40).collect();
    read_ms.extend([1_000; 20]);
    read_ms.extend((1_040..=1_400).step_by(40));
    let samples = samples(&mut sampler, &read_ms);
    assert!(samples.len() >= 4, "{samples:?}");
    for event_ms in samples {
        assert!((event_ms - 40.0).abs() < 0.1, "{event_ms}");
    }
}

/// Guards against events that waited before the first sample, whose times aren't known.
#[test]
fn events_that_waited_at_the_begin_do_not_count() {
    let mut sampler = EventSampler::default();
    let mut read_ms = vec![500; 12];
    read_ms.extend((540..=800).step_by(40));
    let samples = samples(&mut sampler, &read_ms);
    assert!((samples[0] - 40.0).abs() < 0.1, "{samples:?}");
}

/// Guards against a stalled engine that spoils the samples of the time after it, and
/// against events that are lost from one sample to the next.
#[test]
fn a_stalled_engine_gives_one_long_sample() {
    let mut sampler = EventSampler::default();
    let mut read_ms: Vec<u64> = (0..=136).step_by(17).collect();
    read_ms.extend((936..=1_300).step_by(17));
    let samples = samples(&mut sampler, &read_ms);
    let long = samples.iter().filter(|event_ms| **event_ms > 18.0);
    assert_eq!(long.count(), 1, "{samples:?}");
    assert!(samples.len() >= 4, "{samples:?}");
    // Several events that are read at once count all.
    let mut sampler = EventSampler::default();
    let sample = (0..=5).find_map(|read| sampler.record(at(read * 51), 3));
    assert!(sample.is_some_and(|event_ms| (event_ms - 17.0).abs() < 0.1));
}

/// The engine of a new process may run on another machine.
#[test]
fn a_speed_is_lost_with_the_incarnation() {
    let mut fleet = Fleet::new();
    let ids = ["1", "2", "3"];
    let listed = ids.iter().map(|id| (1, record_with_start(id, 10, &["a"])));
    fleet.apply_list(at(0), 1, listed.collect());
    let started = |id, start| UpstreamIncarnation {
        id,
        started_unix_ms: Some(start),
    };
    for ms in 0..2_500 {
        for (id, event_ms) in [("1", 17), ("2", 17), ("3", 42)] {
            if ms % event_ms == 0 {
                fleet.record_event(at(ms), started(id, 10), event_ms as f64);
            }
        }
    }
    assert!(factor(&fleet, 2_500, "3") > 1.5);
    fleet.apply_update(2, record_with_start("3", 20, &["a"]));
    assert!((factor(&fleet, 2_500, "3") - 1.0).abs() < f64::EPSILON);
    // Late events, or a late message, of the earlier incarnation change nothing.
    for ms in (2_501..5_000).step_by(42) {
        fleet.record_event(at(ms), started("3", 10), 42.0);
    }
    assert!((factor(&fleet, 5_000, "3") - 1.0).abs() < f64::EPSILON);
    fleet.set_peer_pace(at(2_501), 1, started("3", 10), 170);
    assert!((factor(&fleet, 2_501, "3") - 1.0).abs() < f64::EPSILON);
}

/// An entry that has just started has no streams, and uses what others have learned.
#[test]
fn an_entry_without_streams_uses_the_values_of_others() {
    let mut fleet = fleet(&["1", "2"]);
    for peer in 0..3 {
        fleet.set_peer_pace(at(0), peer, incarnation("1"), 170);
    }
    assert!((factor(&fleet, 100, "1") - 1.7).abs() < 0.01);
    assert!((factor(&fleet, 100, "2") - 1.0).abs() < f64::EPSILON);
    // The others stop.
    assert!((factor(&fleet, 11_000, "1") - 1.0).abs() < f64::EPSILON);
}

/// Guards against the higher of the two middle values as the median, by which an engine
/// looks slow to an entry as soon as half of the others say so.
#[test]
fn the_median_of_an_even_number_of_values_is_between_them() {
    let mut fleet = fleet(&["1"]);
    for (peer, percent) in [(1, 60), (2, 70), (3, 150), (4, 200)] {
        fleet.set_peer_pace(at(0), peer, incarnation("1"), percent);
    }
    assert!((factor(&fleet, 0, "1") - 1.0).abs() < f64::EPSILON);
    fleet.set_peer_pace(at(0), 2, incarnation("1"), 130);
    assert!((factor(&fleet, 0, "1") - 1.4).abs() < 0.01);
}

/// Guards against an entry without own samples that believes one broken entry, and
/// against a deployment of two or three entries whose values count for nothing.
#[test]
fn one_or_two_values_of_others_are_bounded() {
    let mut fleet = fleet(&["1", "2"]);
    fleet.set_peer_pace(at(0), 1, incarnation("1"), 170);
    assert!((factor(&fleet, 0, "1") - 1.7).abs() < 0.01);
    fleet.set_peer_pace(at(0), 1, incarnation("1"), 500);
    assert!((factor(&fleet, 0, "1") - 2.0).abs() < 0.01);
    fleet.set_peer_pace(at(0), 2, incarnation("1"), 68);
    assert!(factor(&fleet, 0, "1") < 1.5);
    fleet.set_peer_pace(at(0), 3, incarnation("1"), 68);
    assert!((factor(&fleet, 0, "1") - 0.68).abs() < 0.01);
    fleet.set_peer_pace(at(0), 1, incarnation("2"), 20);
    assert!((factor(&fleet, 0, "2") - 0.5).abs() < 0.01);
}

/// Guards against an entry that knows only fast engines and therefore takes one that it
/// never used for as fast.
#[test]
fn an_engine_is_known_from_others_where_the_own_ones_are_equal() {
    let mut fleet = fleet(&["1", "2", "3", "4"]);
    stream(&mut fleet, 0, 3_000, &[("1", 17), ("2", 17), ("3", 17)]);
    for peer in 0..3 {
        fleet.set_peer_pace(at(3_000), peer, incarnation("4"), 170);
        fleet.set_peer_pace(at(3_000), peer, incarnation("1"), 170);
    }
    assert!((factor(&fleet, 3_000, "4") - 1.7).abs() < 0.01);
    // Its own streams say more of an engine that it uses.
    assert!((factor(&fleet, 3_000, "1") - 1.0).abs() < f64::EPSILON);
}

/// A message of a broken entry must not move the load of all others.
#[test]
fn wrong_values_of_one_entry_change_little() {
    let mut fleet = uneven_fleet();
    let own = factor(&fleet, 2_500, "1");
    for value in [0, 19, 501, u32::MAX] {
        fleet.set_peer_pace(at(2_500), 9, incarnation("1"), value);
        assert!(
            (factor(&fleet, 2_500, "1") - own).abs() < f64::EPSILON,
            "{value}"
        );
    }
    for peer in 0..3 {
        fleet.set_peer_pace(at(2_500), peer, incarnation("1"), 68);
    }
    fleet.set_peer_pace(at(2_500), 9, incarnation("1"), 500);
    assert!((factor(&fleet, 2_500, "1") - own).abs() < 0.05);
    // More entries than are kept change nothing.
    for peer in 100..1_000 {
        fleet.set_peer_pace(at(2_500), peer, incarnation("1"), 68);
    }
    assert!((factor(&fleet, 2_500, "1") - own).abs() < 0.05);
}

fn add_usage(fleet: &mut Fleet, id: &str, tokens: u64, streams: u32) {
    let upstream = fleet.get_mut(id).expect("known");
    let stream = Usage {
        running: 1,
        ..Usage::default()
    };
    for _ in 0..streams {
        upstream.request_sent(at(2_490), &stream);
        upstream.first_answer_received(&PrefillQueue::EMPTY);
    }
    let unread = Usage {
        running: 1,
        prefill: PrefillQueue::single(0, tokens),
        kv_tokens: tokens,
    };
    if tokens > 0 {
        upstream.request_sent(at(2_490), &unread);
    }
}

fn selected(fleet: &Fleet, prompt_tokens: u64) -> Result<String, SelectionError> {
    let engine = three_tokens_per_event();
    let input = SelectionInput {
        is_ordered: false,
        now: at(2_500),
        service: "oracle",
        engine: Some(&engine),
        model: Some(("a", None)),
        prompt_parts: &[],
        priority: 0,
        prompt_tokens,
        time_factor: 1.0,
        kv_tokens: prompt_tokens,
        excluded: &[name("2")],
        origin: None,
        domain: "east",
        random: 42,
    };
    select_upstream(fleet, &input).map(|selected| selected.id.to_string())
}

/// Load is sent in proportion to speed: a fast engine with a short queue answers before
/// a slow one without any.
#[test]
fn a_fast_engine_is_preferred_until_its_queue_is_longer() {
    let mut fleet = uneven_fleet();
    assert_eq!(selected(&fleet, 1_500).as_deref(), Ok("1"));
    add_usage(&mut fleet, "1", 1_500, 0);
    assert_eq!(selected(&fleet, 1_500).as_deref(), Ok("1"));
    add_usage(&mut fleet, "1", 3_000, 0);
    assert_eq!(selected(&fleet, 1_500).as_deref(), Ok("3"));
}

/// Selects an upstream with known speeds and without, for fleets with these prompt
/// tokens to prefill.
fn selected_with_and_without(
    tokens: [u64; 3],
    streams: u32,
    random: u64,
) -> [SelectedUpstream; 2] {
    let engine = three_tokens_per_event();
    let input = SelectionInput {
        is_ordered: false,
        now: at(2_500),
        service: "oracle",
        engine: Some(&engine),
        model: Some(("a", None)),
        prompt_parts: &[],
        priority: 0,
        prompt_tokens: 2_000,
        time_factor: 1.0,
        kv_tokens: 2_000,
        excluded: &[],
        origin: None,
        domain: "east",
        random,
    };
    [uneven_fleet(), fleet(&["1", "2", "3"])].map(|mut fleet| {
        for (id, tokens) in ["1", "2", "3"].iter().zip(tokens) {
            add_usage(&mut fleet, id, tokens, streams);
        }
        select_upstream(&fleet, &input).expect("free")
    })
}

/// The same for one of many loads.
fn selected_at_load(number: u64) -> [SelectedUpstream; 2] {
    let tokens = [1, 2, 3].map(|index| number * 7_919 * index % 9_001);
    selected_with_and_without(tokens, (number % 5) as u32, number)
}

/// Admission judges by the time at equal speeds. If it were longer than the time that is
/// expected without any knowledge of speeds, requests would be refused that are served
/// without it.
#[test]
fn known_speeds_refuse_nothing() {
    for number in 0..200u64 {
        let [selected, expected] = selected_at_load(number);
        assert!(
            selected.equal_pace_ms <= expected.first_answer_ms,
            "{number}"
        );
        let queue_ms = expected.first_answer_ms - expected.own_prefill_ms;
        assert!(selected.equal_pace_queue_ms <= queue_ms, "{number}");
    }
}

/// The place by the times at the learned speed alone.
fn place_at_learned_speed(selected: &SelectedUpstream) -> Place<'_> {
    Place {
        upstream: &selected.id,
        queue_ms: (selected.first_answer_ms - selected.own_prefill_ms) as u64,
        prefill_ms: selected.own_prefill_ms as u64,
        mean_prefill_ms: 100,
        unread_ms: selected.unread_ms as u64,
    }
}

/// Whether a request that arrived 200 ms ago is refused at the place without an order and
/// in the order of urgency, and whether a patient one has to wait.
fn refusals(target_ms: u64, place: &Place<'_>) -> [bool; 3] {
    let (arrived_at, now) = (at(2_300), at(2_500));
    let deadline = arrived_at.plus_ms(4 * target_ms);
    let admission = AdmissionInput {
        now,
        arrived_at,
        latency_target_ms: target_ms,
        first_answer_deadline: deadline,
        queue_ms: place.queue_ms,
        prefill_ms: place.prefill_ms,
        mean_prefill_ms: place.mean_prefill_ms,
        is_corrected: false,
        at_engine: true,
    };
    let request = WaitingRequest {
        arrived_at,
        since: arrived_at,
        priority: 0,
        latency_target_ms: target_ms,
        admitted_target_ms: target_ms,
        urgent_target_ms: target_ms,
        first_answer_deadline: deadline,
        engine_ms: 100,
        share_rank: 0,
        body_bytes: 0,
    };
    let patient = WaitingRequest {
        latency_target_ms: 40 * target_ms,
        admitted_target_ms: 40 * target_ms,
        first_answer_deadline: arrived_at.plus_ms(160 * target_ms),
        ..request
    };
    let check = WaitCheck {
        place: Some(*place),
        entries: 1,
        share_rank: 0,
        random: 0,
    };
    let mut queue = WaitQueue::default();
    let must_wait = !queue.takes_at_once(now, &patient, place);
    let id = queue.join(now, request, 0).expect("the queue is empty");
    let decision = queue.decide(now, id, &check);
    let is_refused = matches!(decision, PlaceDecision::Refuse(_));
    [admit(&admission).is_err(), is_refused, must_wait]
}

/// Guards against requests that are refused, or patient ones that have to wait, only
/// because an engine is known to be slow or fast.
#[test]
fn known_speeds_refuse_no_request_that_is_sent_without_them() {
    let mut refused_less = [0; 2];
    for (number, target_ms) in (0..200).flat_map(|number| {
        (400..2_000)
            .step_by(100)
            .map(move |target_ms| (number, target_ms))
    }) {
        let [selected, equal] = selected_at_load(number);
        let refused = refusals(target_ms, &selected.place(100.0));
        let without = refusals(target_ms, &place_at_learned_speed(&equal));
        let by_speed = refusals(target_ms, &place_at_learned_speed(&selected));
        for (kind, count) in refused_less.iter_mut().enumerate() {
            assert!(
                refused[kind] <= by_speed[kind],
                "{number} {target_ms} {kind}"
            );
            *count += usize::from(!refused[kind] && by_speed[kind]);
        }
        assert!(refused[2] <= by_speed[2], "{number} {target_ms}");
        // Which engine has little left to prefill depends on the one that is selected.
        assert!(refused[0] <= without[0], "{number} {target_ms}");
        assert!(refused[1] <= without[1], "{number} {target_ms}");
    }
    assert!(refused_less.iter().all(|count| *count > 0));
}

/// Guards against patient requests that wait for an engine with little left to prefill
/// because it is known as slow, and against others that wait because it is fast.
#[test]
fn a_patient_request_takes_a_place_that_is_free_at_either_speed() {
    let [slow, _] = selected_with_and_without([12_000, 12_000, 2_400], 0, 42);
    assert_eq!(&*slow.id, "3");
    let [fast, _] = selected_with_and_without([4_000, 12_000, 12_000], 0, 42);
    assert_eq!(&*fast.id, "1");
    for selected in [slow, fast] {
        let [.., must_wait] = refusals(1_000, &selected.place(100.0));
        assert!(!must_wait, "{}", selected.id);
    }
}
