//! When streams are handed over by an entry that is shutting down.

use crate::support::cases;
use direct::{RunningStream, handover_start_ms};

const GRACE_MS: u64 = 8_000;
const EXIT_MS: u64 = 7_500;

/// First and last moment at which a stream is handed over.
const START_MS: u64 = 6_667;
const END_MS: u64 = 7_250;

/// A resumable stream that began before the signal and lasts for an unknown time.
fn stream(spread: u64) -> RunningStream {
    RunningStream {
        grace_ms: GRACE_MS,
        exit_ms: EXIT_MS,
        arrived_ms: 0,
        earliest_end_ms: None,
        is_resumable: true,
        is_peer_ready: true,
        spread,
    }
}

/// A stream that is ended before the last sixth of the grace might have ended in time, and
/// counts as lost. One that is left to the exit is cut off inside an event.
#[test]
fn streams_are_handed_over_within_the_last_sixth_and_before_the_exit() {
    cases(200, |random| {
        let earliest_end_ms = random.arbitrary::<Option<u16>>()?.map(u64::from);
        let grace_ms = u64::from(random.arbitrary::<u16>()?);
        let running = RunningStream {
            grace_ms,
            exit_ms: grace_ms.saturating_sub(500),
            arrived_ms: random.int_in_range(0..=4_000)?,
            earliest_end_ms,
            ..stream(random.arbitrary()?)
        };
        if let Some(handover_ms) = running.handover_ms() {
            assert!(running.arrived_ms <= 3_000);
            assert!(6 * handover_ms >= 5 * grace_ms);
            assert!(handover_ms < running.exit_ms);
        }
        Ok(())
    });
    assert_eq!(handover_start_ms(GRACE_MS), START_MS);
    let handover_ms = stream(0).handover_ms().expect("it is resumable");
    assert_eq!(handover_ms, START_MS);
}

/// A stream whose caller can't get the rest elsewhere must run on: ending it early would
/// lose what it may still bring.
#[test]
fn streams_that_cannot_go_on_elsewhere_are_left_to_the_exit() {
    let left = |change: fn(&mut RunningStream)| {
        let mut running = stream(7);
        change(&mut running);
        running.handover_ms().is_none()
    };
    assert!(left(|stream| stream.is_resumable = false));
    assert!(left(|stream| stream.is_peer_ready = false));
    assert!(left(|stream| stream.arrived_ms = 3_001));
    assert!(!left(|stream| stream.arrived_ms = 3_000));
    // The process exits before the last sixth begins.
    assert!(left(
        |stream| (stream.grace_ms, stream.exit_ms) = (2_000, 1_500)
    ));
}

/// A stream that may end by itself before the exit must not be broken off: its caller
/// would lose what it brings until then.
#[test]
fn streams_that_may_end_in_time_are_left_to_the_exit() {
    let handover_ms = |earliest_end_ms, spread| {
        let running = RunningStream {
            earliest_end_ms,
            ..stream(spread)
        };
        running.handover_ms()
    };
    for spread in [0, 1, 511, 1_023] {
        for may_end in [0, 5_000, 7_000, EXIT_MS - 1] {
            assert_eq!(handover_ms(Some(may_end), spread), None);
        }
        for others in [None, Some(EXIT_MS), Some(20_000)] {
            assert!(handover_ms(others, spread).is_some());
        }
    }
}

/// Many streams run on at the end. If they broke off at one moment, their callers would
/// come back to the other entries in one burst.
#[test]
fn several_streams_are_spread() {
    let handovers = (0..1_024).map(|spread| stream(spread).handover_ms());
    let handovers: Vec<u64> = handovers.map(|ms| ms.expect("resumable")).collect();
    let end_ms = END_MS;
    let count_in = |from_ms: u64, until_ms: u64| {
        let in_span = handovers
            .iter()
            .filter(|ms| (from_ms..until_ms).contains(*ms));
        in_span.count() as u64
    };
    assert_eq!(count_in(START_MS, end_ms), 1_024);
    // Each tenth of the time has about as many as any other.
    let tenth_ms = (end_ms - START_MS) / 10;
    for number in 0..10 {
        let from_ms = START_MS + number * tenth_ms;
        let count = count_in(from_ms, from_ms + tenth_ms);
        assert!((95..=110).contains(&count), "{count} from {from_ms} ms");
    }
}
