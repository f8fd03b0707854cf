//! Whether a request joins those that wait.

use crate::support::{at, name};
use direct::{AdmissionInput, MeanPrefillTimes, admit};

fn admission(now_ms: u64, queue_ms: u64) -> AdmissionInput {
    AdmissionInput {
        now: at(now_ms),
        arrived_at: at(0),
        latency_target_ms: 800,
        first_answer_deadline: at(3_200),
        queue_ms,
        prefill_ms: 0,
        mean_prefill_ms: 0,
        at_engine: true,
    }
}

#[test]
fn what_would_miss_its_aim_is_refused_with_by_how_much() {
    assert_eq!(admit(&admission(0, 600)), Ok(()));
    assert_eq!(admit(&admission(0, 900)), Err(300));
    assert_eq!(admit(&admission(400, 300)), Err(100));
}

/// Its model was on its way for a second: it is late whatever is done, and still
/// of use until its caller leaves.
#[test]
fn what_is_late_already_is_served_while_that_is_of_use() {
    assert_eq!(admit(&admission(1_000, 2_200)), Ok(()));
    assert_eq!(admit(&admission(1_000, 2_300)), Err(100));
}

#[test]
fn a_plain_service_is_asked_while_its_answer_is_of_use() {
    let plain = AdmissionInput {
        at_engine: false,
        ..admission(0, 3_000)
    };
    assert_eq!(admit(&plain), Ok(()));
}

/// Twenty-seven requests a second come to an engine that reads ten, for twenty
/// seconds. However many are refused, the engine is never idle, and what it
/// serves is in time.
#[test]
fn an_overloaded_engine_serves_in_time_as_much_as_it_can() {
    const READ_MS: u64 = 100;
    const EVERY_MS: u64 = 37;
    let (mut free_at_ms, mut served, mut in_time) = (0_u64, 0, 0);
    for arrived_ms in (0..20_000).step_by(EVERY_MS as usize) {
        let done_ms = free_at_ms.max(arrived_ms) + READ_MS;
        let admission = AdmissionInput {
            now: at(arrived_ms),
            arrived_at: at(arrived_ms),
            first_answer_deadline: at(arrived_ms + 3_200),
            prefill_ms: READ_MS,
            mean_prefill_ms: READ_MS,
            ..admission(0, done_ms - arrived_ms - READ_MS)
        };
        if admit(&admission).is_ok() {
            free_at_ms = done_ms;
            served += 1;
            in_time += u64::from(done_ms - arrived_ms <= 800);
        }
    }
    assert!(served > 20_000 / READ_MS - 5, "{served}");
    assert_eq!(in_time, served);
}

/// Engines read for as long as requests come, twice as many as they can, and one in
/// ten of them is three times as long as the rest. The caller of a long one is served
/// as often as the others: judged by its own length, it met a queue that only short
/// ones may join, and was refused whenever it came.
#[test]
fn long_prompts_are_admitted_as_often_as_short_ones() {
    const SHORT_MS: u64 = 160;
    const LONG_MS: u64 = 480;
    let (mut free_at_ms, mut readings) = (0_u64, MeanPrefillTimes::new());
    let (mut asked, mut served) = ([0_u32; 2], [0_u32; 2]);
    let (mut arrived_ms, mut random) = (0, 7_u64);
    for _ in 0..2_000 {
        // Gaps of 96 ms in the mean, in no step with the lengths.
        random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        arrived_ms += (random >> 33) % 193;
        let long = (random >> 13) % 10 == 0;
        let reading_ms = if long { LONG_MS } else { SHORT_MS };
        let mean_ms = readings.observe(&name("summary"), reading_ms as f64);
        let queue_ms = free_at_ms.saturating_sub(arrived_ms);
        let admission = AdmissionInput {
            now: at(arrived_ms),
            arrived_at: at(arrived_ms),
            first_answer_deadline: at(arrived_ms + 3_200),
            queue_ms,
            prefill_ms: reading_ms,
            mean_prefill_ms: mean_ms as u64,
            ..admission(0, 0)
        };
        asked[usize::from(long)] += 1;
        if admit(&admission).is_ok() {
            free_at_ms = free_at_ms.max(arrived_ms) + reading_ms;
            served[usize::from(long)] += 1;
        }
    }
    let share = |of: usize| f64::from(served[of]) / f64::from(asked[of]);
    assert!(share(0) < 0.7, "it is no overload: {}", share(0));
    assert!(share(1) > 0.8 * share(0), "{} of {}", share(1), share(0));
}

/// The first prompt of the day takes longer than the usable part of its aim, and
/// nothing waits at the engine. It may be late; refused, it would be refused each
/// time that it comes again.
#[test]
fn a_long_prompt_is_sent_to_an_idle_engine() {
    let long = AdmissionInput {
        prefill_ms: 900,
        mean_prefill_ms: 900,
        ..admission(0, 0)
    };
    assert_eq!(admit(&long), Ok(()));
    let behind_others = AdmissionInput {
        queue_ms: 400,
        ..long
    };
    assert_eq!(admit(&behind_others), Err(100));
}

/// One that can't begin before its caller leaves is refused at once.
#[test]
fn a_prompt_that_is_read_too_late_for_its_caller_is_refused() {
    let useless = AdmissionInput {
        prefill_ms: 3_300,
        ..admission(0, 0)
    };
    assert_eq!(admit(&useless), Err(100));
}

/// A route leaves the configuration, and its prompts are forgotten with it.
#[test]
fn the_mean_prompt_follows_its_route_and_ends_with_it() {
    let mut readings = MeanPrefillTimes::new();
    for _ in 0..200 {
        readings.observe(&name("a"), 100.0);
        readings.observe(&name("b"), 900.0);
    }
    let mean_ms = readings.observe(&name("a"), 100.0);
    assert!((99.0..101.0).contains(&mean_ms), "{mean_ms}");
    readings.retain(|route| route == "b");
    let mean_ms = readings.observe(&name("a"), 500.0);
    assert!((499.0..501.0).contains(&mean_ms), "{mean_ms}");
}
