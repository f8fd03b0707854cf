//! How long the streams of a route are expected to last.

use crate::support::{at, name};
use direct::{StreamDurations, StreamTiming};

const FIRST_EVENT_MS: u64 = 200;

/// A stream of 100 tokens, or as many as are given.
fn timing(rest_ms: u64, output_tokens: u64) -> StreamTiming {
    StreamTiming {
        first_event_ms: FIRST_EVENT_MS,
        rest_ms,
        output_tokens,
    }
}

/// Streams of 100 tokens that took these times after the first event, one per ms.
fn durations(rest_ms: impl IntoIterator<Item = u64>) -> StreamDurations {
    let mut durations = StreamDurations::new();
    for (ended_ms, rest_ms) in (0..).zip(rest_ms) {
        durations.observe(at(ended_ms), &name("ask"), timing(rest_ms, 100));
    }
    durations
}

/// An entry that has just started has seen a few short streams. A duration learned from
/// them would let long ones begin that the exit cuts off.
#[test]
fn a_few_streams_say_nothing() {
    let known = |streams| {
        let durations = durations(vec![1_000; streams]);
        durations.expected_ms(at(100), "ask", 100)
    };
    assert_eq!((known(0), known(7)), (None, None));
    assert_eq!(known(8), Some(FIRST_EVENT_MS + 1_000));
}

/// One in five streams is long. With a mean or a median, all of these would be expected
/// to end in time and be cut off.
#[test]
fn long_streams_count() {
    let streams = (0..30).map(|number| if number % 5 == 0 { 6_000 } else { 1_000 });
    let expected_ms = durations(streams).expected_ms(at(100), "ask", 100);
    assert_eq!(expected_ms, Some(FIRST_EVENT_MS + 6_000));
}

/// A stream that asks for more tokens takes longer in proportion, except for the time to
/// its first event. Without that, a long stream would be expected to end like short ones.
#[test]
fn the_duration_grows_with_the_size() {
    let durations = durations(vec![1_000; 20]);
    let expected_ms = |tokens| durations.expected_ms(at(100), "ask", tokens);
    assert_eq!(expected_ms(400), Some(FIRST_EVENT_MS + 4_000));
    assert_eq!(expected_ms(50), Some(FIRST_EVENT_MS + 500));
    // Its size is not known, or that of the others.
    assert_eq!(expected_ms(0), Some(FIRST_EVENT_MS + 1_000));
}

/// Upstreams became slower. What the streams before took must not be expected any more.
#[test]
fn old_streams_are_forgotten() {
    let mut durations = durations(vec![1_000; 20]);
    let later = at(300_100);
    assert_eq!(durations.expected_ms(later, "ask", 100), None);
    for _ in 0..8 {
        durations.observe(later, &name("ask"), timing(9_000, 100));
    }
    let expected_ms = durations.expected_ms(later, "ask", 100);
    assert_eq!(expected_ms, Some(FIRST_EVENT_MS + 9_000));
}

/// The latest streams replace the earliest ones, so that the memory for a busy route is
/// bounded and a change is noticed at once.
#[test]
fn a_busy_route_keeps_its_latest_streams() {
    let slow_then_fast =
        (0..1_000).map(|number| if number < 968 { 9_000 } else { 500 });
    let expected_ms = durations(slow_then_fast).expected_ms(at(1_000), "ask", 100);
    assert_eq!(expected_ms, Some(FIRST_EVENT_MS + 500));
}

/// A configuration removes routes. What was learned of them must not stay in memory.
#[test]
fn removed_routes_are_forgotten() {
    let mut durations = durations(vec![1_000; 20]);
    durations.sweep(at(100), |_| true);
    assert!(durations.expected_ms(at(100), "ask", 100).is_some());
    durations.sweep(at(100), |route| route != "ask");
    assert_eq!(durations.expected_ms(at(100), "ask", 100), None);
}

/// One stream in thirty is short. By the shortest of all, every stream would count as one
/// that may end before the exit, and none would be handed over.
#[test]
fn a_single_short_stream_does_not_count_as_the_shortest() {
    let streams = (0..30).map(|number| if number == 7 { 10 } else { 6_000 });
    let shortest_ms = durations(streams).shortest_ms(at(100), "ask", 100);
    assert_eq!(shortest_ms, Some(FIRST_EVENT_MS + 6_000));
}
