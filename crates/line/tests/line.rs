//! Clocks, ordering and formatting of timeline events.

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

fn all_events(recorder: &EventRecorder) -> Vec<Event> {
    recorder.events(&EventFilter::default())
}

// The wall clock is set back while the process runs. Events must keep the order in
// which they happened.
#[test]
fn the_clock_never_goes_backwards() {
    static WALL_US: AtomicU64 = AtomicU64::new(START_US);
    let recorder =
        EventRecorder::with_wall_clock("a", 10, || WALL_US.load(Ordering::SeqCst));
    recorder.record(event(EventKind::ProcessStarted, "first"));
    WALL_US.store(START_US - 3_000_000, Ordering::SeqCst);
    recorder.record(event(EventKind::ProcessReady, "second"));
    let events = all_events(&recorder);
    assert_eq!(events[0].clock_us, events[1].clock_us);
    assert_eq!((events[0].sequence, events[1].sequence), (0, 1));
    assert_eq!(
        merge(vec![vec![events[1].clone(), events[0].clone()]]),
        events
    );
}

// The wall clocks of two processes differ by five seconds, and the process that is
// behind acts on a frame from the other. By wall clocks alone, the effect would sort
// five seconds before its cause.
#[test]
fn an_effect_sorts_after_its_cause() {
    let ahead = EventRecorder::with_wall_clock("ahead", 10, || START_US + 5_000_000);
    let behind = EventRecorder::with_wall_clock("behind", 10, || START_US);
    ahead.record(event(EventKind::RequestSent, "cause"));
    behind.observe(ahead.now_us());
    behind.record(event(EventKind::RequestStarted, "effect"));
    let events = merge(vec![all_events(&behind), all_events(&ahead)]);
    let details: Vec<&str> = events.iter().map(|e| e.detail.as_str()).collect();
    assert_eq!(details, ["cause", "effect"]);
    assert!(events[0].clock_us < events[1].clock_us);
}

// A process whose wall clock is far ahead or broken sends frames. Other processes
// must ignore its clock, because theirs could never return to the right time.
#[test]
fn a_clock_far_ahead_is_ignored() {
    let recorder = EventRecorder::with_wall_clock("a", 10, || START_US);
    for remote_us in [START_US + 86_400_000_000, u64::MAX] {
        recorder.observe(remote_us);
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
    let events = all_events(&recorder);
    let details: Vec<&str> = events.iter().map(|e| e.detail.as_str()).collect();
    assert_eq!(details, ["8", "9", &"ü".repeat(128)]);
    let empty = EventRecorder::new("a", 0);
    empty.record(event(EventKind::LinkUp, ""));
    assert!(all_events(&empty).is_empty());
}

#[test]
fn the_filter_selects_events_that_meet_all_criteria() {
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
fn events_with_the_same_clock_merge_in_a_fixed_order() {
    let a = EventRecorder::with_wall_clock("a", 10, || START_US);
    let b = EventRecorder::with_wall_clock("b", 10, || START_US);
    for recorder in [&a, &b] {
        recorder.record(event(EventKind::LinkUp, "0"));
        recorder.record(event(EventKind::LinkDown, "1"));
    }
    let a_first = merge(vec![all_events(&a), all_events(&b)]);
    let b_first = merge(vec![all_events(&b), all_events(&a)]);
    assert_eq!(a_first, b_first);
    assert_eq!(a_first[1].detail, "1");
}

#[test]
fn text_shows_time_codes_and_no_line_breaks() {
    let mut event = Event {
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
        render(&event),
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
        event.clock_us = clock_us;
        assert!(render(&event).starts_with(text), "{}", render(&event));
    }
    event.clock_us = u64::MAX;
    event.kind = i32::MAX;
    assert!(render(&event).contains("unspecified"));
}
