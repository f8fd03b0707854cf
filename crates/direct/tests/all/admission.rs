//! Admission of requests to a queue.

use crate::support::{at, name};
use direct::{AdmissionInput, MeanPrefillTimes, admit, wait_end_for_pause};

fn admission(now_ms: u64, queue_ms: u64) -> AdmissionInput {
    AdmissionInput {
        now: at(now_ms),
        arrived_at: at(0),
        latency_target_ms: 800,
        first_answer_deadline: at(3_200),
        queue_ms,
        prefill_ms: 0,
        mean_prefill_ms: 0,
        is_corrected: false,
        at_engine: true,
    }
}

#[test]
fn a_request_that_would_miss_its_target_is_refused_with_the_excess() {
    assert_eq!(admit(&admission(0, 600)), Ok(()));
    assert_eq!(admit(&admission(0, 900)), Err(300));
    assert_eq!(admit(&admission(400, 300)), Err(100));
}

/// An exact estimate needs less of a margin. The margin of the other is unchanged.
#[test]
fn a_corrected_estimate_may_use_more_of_the_target() {
    let corrected = AdmissionInput {
        is_corrected: true,
        ..admission(0, 700)
    };
    assert_eq!(admit(&corrected), Ok(()));
    assert_eq!(admit(&admission(0, 700)), Err(100));
}

/// The model was loading for a second. The request is late in any case, and its answer
/// is still useful until the caller gives up.
#[test]
fn a_late_request_is_admitted_while_its_answer_is_useful() {
    assert_eq!(admit(&admission(1_000, 2_200)), Ok(()));
    assert_eq!(admit(&admission(1_000, 2_300)), Err(100));
}

#[test]
fn a_plain_service_request_is_admitted_while_its_answer_is_useful() {
    let plain = AdmissionInput {
        at_engine: false,
        ..admission(0, 3_000)
    };
    assert_eq!(admit(&plain), Ok(()));
}

/// For twenty seconds, 27 requests per second arrive at an engine that can prefill ten.
/// However many are refused, the engine is never idle and its answers are in time.
#[test]
fn an_overloaded_engine_is_never_idle_and_answers_in_time() {
    const PREFILL_MS: u64 = 100;
    const EVERY_MS: u64 = 37;
    let (mut free_at_ms, mut served, mut in_time) = (0_u64, 0, 0);
    for arrived_ms in (0..20_000).step_by(EVERY_MS as usize) {
        let done_ms = free_at_ms.max(arrived_ms) + PREFILL_MS;
        let admission = AdmissionInput {
            now: at(arrived_ms),
            arrived_at: at(arrived_ms),
            first_answer_deadline: at(arrived_ms + 3_200),
            prefill_ms: PREFILL_MS,
            mean_prefill_ms: PREFILL_MS,
            ..admission(0, done_ms - arrived_ms - PREFILL_MS)
        };
        if admit(&admission).is_ok() {
            free_at_ms = done_ms;
            served += 1;
            in_time += u64::from(done_ms - arrived_ms <= 800);
        }
    }
    assert!(served > 20_000 / PREFILL_MS - 5, "{served}");
    assert_eq!(in_time, served);
}

/// An engine gets twice as many prompts as it can prefill, and one in ten is three
/// times as long as the others. Long prompts must be served as often as short ones.
/// When each was judged by its own length, a long prompt always met a queue that only
/// short ones could join, and was refused every time.
#[test]
fn long_prompts_are_admitted_as_often_as_short_ones() {
    const SHORT_MS: u64 = 160;
    const LONG_MS: u64 = 480;
    let (mut free_at_ms, mut means) = (0_u64, MeanPrefillTimes::new());
    let (mut asked, mut served) = ([0_u32; 2], [0_u32; 2]);
    let (mut arrived_ms, mut random) = (0, 7_u64);
    for _ in 0..2_000 {
        // The mean interval is 96 ms, and intervals are independent of the prompt
        // lengths.
        random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(1);
        arrived_ms += (random >> 33) % 193;
        let long = (random >> 13) % 10 == 0;
        let prefill_ms = if long { LONG_MS } else { SHORT_MS };
        let mean_ms = means.observe(&name("summary"), prefill_ms as f64);
        let queue_ms = free_at_ms.saturating_sub(arrived_ms);
        let admission = AdmissionInput {
            now: at(arrived_ms),
            arrived_at: at(arrived_ms),
            first_answer_deadline: at(arrived_ms + 3_200),
            queue_ms,
            prefill_ms,
            mean_prefill_ms: mean_ms as u64,
            ..admission(0, 0)
        };
        asked[usize::from(long)] += 1;
        if admit(&admission).is_ok() {
            free_at_ms = free_at_ms.max(arrived_ms) + prefill_ms;
            served[usize::from(long)] += 1;
        }
    }
    let share = |of: usize| f64::from(served[of]) / f64::from(asked[of]);
    assert!(share(0) < 0.7, "the engine is not overloaded: {}", share(0));
    assert!(share(1) > 0.8 * share(0), "{} of {}", share(1), share(0));
}

/// The first prompt of the day takes longer than the usable part of its target latency,
/// and the engine is idle. It may be late; if it were refused, it would be refused on
/// every further attempt.
#[test]
fn a_long_prompt_is_admitted_at_an_idle_engine() {
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

/// A request that can't start before its caller gives up is refused at once.
#[test]
fn a_request_whose_first_answer_comes_after_the_deadline_is_refused() {
    let useless = AdmissionInput {
        prefill_ms: 3_300,
        ..admission(0, 0)
    };
    assert_eq!(admit(&useless), Err(100));
}

/// When a route leaves the configuration, its mean is dropped.
#[test]
fn the_mean_prefill_time_is_kept_by_route_and_dropped_with_it() {
    let mut means = MeanPrefillTimes::new();
    for _ in 0..200 {
        means.observe(&name("a"), 100.0);
        means.observe(&name("b"), 900.0);
    }
    let mean_ms = means.observe(&name("a"), 100.0);
    assert!((99.0..101.0).contains(&mean_ms), "{mean_ms}");
    means.retain(|route| route == "b");
    let mean_ms = means.observe(&name("a"), 500.0);
    assert!((499.0..501.0).contains(&mean_ms), "{mean_ms}");
}

/// Guards against a request that is refused as the only upstream ends its pause, between
/// the look for an upstream and the look at its pause.
#[test]
fn a_request_looks_again_when_a_pause_has_just_ended() {
    let wait_end = |accepts_again_at| {
        let accepts_again_at: Option<u64> = accepts_again_at;
        wait_end_for_pause(accepts_again_at.map(at), at(100), at(1_000))
    };
    assert_eq!(wait_end(None), at(1_000));
    assert_eq!(wait_end(Some(999)), at(1_000));
    assert_eq!(wait_end(Some(1_000)), at(100));
    assert_eq!(wait_end(Some(5_000)), at(100));
}
