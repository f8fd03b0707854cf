//! Clocks, order and text of the time line.

use line::{Event, EventFilter, EventKind, EventRecorder, merge, render};
use std::sync::atomic::{AtomicU64, Ordering};

/// 2025-03-01 00:00:00 UTC.
const START_US: u64 = 1_740_787_200_000_000;

fn event(kind: EventKind, detail: &str) -> Event {
    Event {
        kind: kind.into(),
        detail: detail.to_owned(),
        ..Event::default()
    }
}

fn all(recorder: &EventRecorder) -> Vec<Event> {
    recorder.events(&EventFilter::default())
}

// The wall clock of a process is set back, as by a correction, while it runs.
// Its events must keep the order in which they happened.
#[test]
fn the_clock_never_falls() {
    static WALL_US: AtomicU64 = AtomicU64::new(START_US);
    let recorder =
        EventRecorder::with_wall_clock("a", 10, || WALL_US.load(Ordering::SeqCst));
    recorder.record(event(EventKind::ProcessStarted, "first"));
    WALL_US.store(START_US - 3_000_000, Ordering::SeqCst);
    recorder.record(event(EventKind::ProcessReady, "second"));
    let events = all(&recorder);
    assert_eq!(events[0].clock_us, events[1].clock_us);
    assert_eq!((events[0].sequence, events[1].sequence), (0, 1));
    assert_eq!(
        merge(vec![vec![events[1].clone(), events[0].clone()]]),
        events
    );
}

// Two processes whose wall clocks are five seconds apart; the one behind gets a
// frame and acts on it. Read by wall clocks alone, the effect would stand five
// seconds before its cause.
#[test]
fn an_effect_sorts_behind_its_cause() {
    let ahead = EventRecorder::with_wall_clock("ahead", 10, || START_US + 5_000_000);
    let behind = EventRecorder::with_wall_clock("behind", 10, || START_US);
    ahead.record(event(EventKind::RequestSent, "cause"));
    behind.observe(ahead.now_us());
    behind.record(event(EventKind::RequestStarted, "effect"));
    let events = merge(vec![all(&behind), all(&ahead)]);
    let details: Vec<&str> = events.iter().map(|e| e.detail.as_str()).collect();
    assert_eq!(details, ["cause", "effect"]);
    assert!(events[0].clock_us < events[1].clock_us);
}

// A process with a wall clock years ahead, or a broken one, sends frames.
// The others must not follow it: their clocks could not come back.
#[test]
fn a_clock_far_ahead_is_not_followed() {
    let recorder = EventRecorder::with_wall_clock("a", 10, || START_US);
    for far in [START_US + 86_400_000_000, u64::MAX] {
        recorder.observe(far);
        assert_eq!(recorder.now_us(), START_US);
    }
}

#[test]
fn events_and_their_texts_are_bounded() {
    let recorder = EventRecorder::with_wall_clock("a", 3, || START_US);
    for n in 0..10 {
        recorder.record(event(EventKind::LinkUp, &n.to_string()));
    }
    recorder.record(event(EventKind::LinkDown, &"ü".repeat(10_000)));
    let events = all(&recorder);
    let details: Vec<&str> = events.iter().map(|e| e.detail.as_str()).collect();
    assert_eq!(details, ["8", "9", &"ü".repeat(128)]);
    let none = EventRecorder::new("a", 0);
    none.record(event(EventKind::LinkUp, ""));
    assert!(all(&none).is_empty());
}

#[test]
fn the_filter_takes_what_is_asked_for() {
    let recorder = EventRecorder::with_wall_clock("a", 10, || START_US);
    for (request, model) in [("1-1", "m"), ("1-2", "m"), ("", "n")] {
        recorder.record(Event {
            request: request.to_owned(),
            model: model.to_owned(),
            ..Event::default()
        });
    }
    let filter = |since_us, request: Option<&str>, model: Option<&str>| EventFilter {
        since_us,
        request: request.map(str::to_owned),
        model: model.map(str::to_owned),
    };
    let cases = [
        (filter(0, None, None), 3),
        (filter(START_US, None, None), 3),
        (filter(START_US + 1, None, None), 0),
        (filter(0, Some("1-2"), None), 1),
        (filter(0, None, Some("m")), 2),
        (filter(0, Some("1-1"), Some("n")), 0),
    ];
    for (filter, expected) in cases {
        assert_eq!(recorder.events(&filter).len(), expected, "{filter:?}");
    }
}

#[test]
fn events_with_the_same_clock_have_one_order() {
    let a = EventRecorder::with_wall_clock("a", 10, || START_US);
    let b = EventRecorder::with_wall_clock("b", 10, || START_US);
    for recorder in [&a, &b] {
        recorder.record(event(EventKind::LinkUp, "0"));
        recorder.record(event(EventKind::LinkDown, "1"));
    }
    let one = merge(vec![all(&a), all(&b)]);
    let other = merge(vec![all(&b), all(&a)]);
    assert_eq!(one, other);
    assert_eq!(one[1].detail, "1");
}

#[test]
fn text_shows_time_codes_and_no_line_breaks() {
    let mut shown = Event {
        clock_us: START_US + 3_723_000_004,
        process: "entry-1".to_owned(),
        kind: EventKind::RequestFailed.into(),
        request: "1f-2".to_owned(),
        model: "m".to_owned(),
        code: base::ErrorCode::UpstreamLost.number(),
        detail: "one\ntwo".to_owned(),
        ..Event::default()
    };
    assert_eq!(
        render(&shown),
        "2025-03-01T01:02:03.000004Z entry-1 request_failed request=1f-2 model=m \
         code=3001/upstream_lost one two"
    );
    let days = [
        (0, "1970-01-01T00:00:00.000000Z"),
        (951_782_400_000_000, "2000-02-29T00:00:00.000000Z"),
        (START_US - 1, "2025-02-28T23:59:59.999999Z"),
        (1_767_225_599_000_000, "2025-12-31T23:59:59.000000Z"),
    ];
    for (clock_us, text) in days {
        shown.clock_us = clock_us;
        assert!(render(&shown).starts_with(text), "{}", render(&shown));
    }
    shown.clock_us = u64::MAX;
    shown.kind = i32::MAX;
    assert!(render(&shown).contains("unspecified"));
}
