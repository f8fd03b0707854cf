use base::prelude::*;
use route::{AdaptiveConcurrencyLimit, Admission, AdmissionInput, admit};
use std::ops::RangeInclusive;

fn input() -> AdmissionInput {
    AdmissionInput {
        remaining_ms: 8_000,
        first_token_ms: 1_000,
        interactive: true,
        holders: 2,
        free_slots: 0,
        slots: 10,
        queued_ahead: 9,
        service_time_ms: 1_000,
        load_wait_ms: None,
        answer_time_ms: 2_000,
    }
}

fn refused(code: ErrorCode, ms: u64) -> Admission {
    Admission::Refuse(RequestError::not_run(code).retry_after_ms(ms))
}

/// The decision follows from the state of the fleet and the request's deadline.
#[test]
fn admits_what_can_be_in_time() {
    let wait = |predicted_ms| Admission::Wait { predicted_ms };
    let cases: [(&str, AdmissionInput, Admission); 14] = [
        (
            "a slot is free",
            AdmissionInput {
                free_slots: 10,
                ..input()
            },
            Admission::Send,
        ),
        (
            "the free slots go to the requests ahead",
            AdmissionInput {
                free_slots: 9,
                ..input()
            },
            wait(100),
        ),
        (
            "half of the slots have to become free",
            AdmissionInput {
                queued_ahead: 4,
                ..input()
            },
            wait(500),
        ),
        (
            "the first token would be slightly late",
            AdmissionInput {
                queued_ahead: 5,
                ..input()
            },
            refused(ErrorCode::Overloaded, 100),
        ),
        (
            "the first token would be late",
            AdmissionInput {
                queued_ahead: 19,
                ..input()
            },
            refused(ErrorCode::Overloaded, 1_500),
        ),
        (
            "no first token is expected",
            AdmissionInput {
                queued_ahead: 19,
                first_token_ms: 0,
                ..input()
            },
            wait(2_000),
        ),
        (
            "not interactive",
            AdmissionInput {
                queued_ahead: 19,
                interactive: false,
                ..input()
            },
            wait(2_000),
        ),
        (
            "the deadline would be missed",
            AdmissionInput {
                queued_ahead: 79,
                first_token_ms: 0,
                ..input()
            },
            refused(ErrorCode::Overloaded, 2_000),
        ),
        (
            "late even without waiting",
            AdmissionInput {
                free_slots: 10,
                answer_time_ms: 9_000,
                ..input()
            },
            refused(ErrorCode::Overloaded, 1_000),
        ),
        (
            "no holder, and no predicted load",
            AdmissionInput {
                holders: 0,
                ..input()
            },
            refused(ErrorCode::ModelUnavailable, 5_000),
        ),
        (
            "a predicted load in time",
            AdmissionInput {
                holders: 0,
                load_wait_ms: Some(4_000),
                ..input()
            },
            wait(4_000),
        ),
        (
            "a predicted load too late",
            AdmissionInput {
                holders: 0,
                load_wait_ms: Some(6_001),
                ..input()
            },
            refused(ErrorCode::ModelUnavailable, 6_001),
        ),
        (
            "a load that never ends",
            AdmissionInput {
                holders: 0,
                load_wait_ms: Some(u64::MAX),
                ..input()
            },
            refused(ErrorCode::ModelUnavailable, u64::MAX),
        ),
        (
            "out-of-range numbers",
            AdmissionInput {
                queued_ahead: u32::MAX,
                service_time_ms: u32::MAX,
                slots: 0,
                answer_time_ms: u64::MAX,
                ..input()
            },
            refused(ErrorCode::Overloaded, u64::MAX - 8_000),
        ),
    ];
    for (name, input, expected) in cases {
        assert_eq!(admit(&input), expected, "{name}");
    }
}

/// A step time and the number of its observations.
type Phase = (u32, u32);

/// The limit follows the step time and stays within its bounds.
#[test]
fn step_limit_follows_the_step_time() {
    let cases: [(&str, &[Phase], RangeInclusive<u32>); 7] = [
        ("at the floor", &[(10_000, 400)], 16..=16),
        (
            "three times the floor",
            &[(10_000, 50), (30_000, 100)],
            4..=10,
        ),
        (
            "far above the floor for long",
            &[(10_000, 50), (60_000, 300)],
            1..=2,
        ),
        (
            "back to the floor",
            &[(10_000, 50), (30_000, 100), (10_000, 300)],
            16..=16,
        ),
        (
            "a slower model from now on",
            &[(10_000, 50), (30_000, 40_000)],
            16..=16,
        ),
        ("no reports", &[(0, 400)], 16..=16),
        (
            "reports without a step time",
            &[(10_000, 50), (30_000, 100), (0, 400)],
            4..=10,
        ),
    ];
    for (name, phases, expected) in cases {
        let mut limit = AdaptiveConcurrencyLimit::new(16, 0);
        for (step_time_us, count) in phases {
            for _ in 0..*count {
                limit.observe(*step_time_us);
            }
        }
        assert!(
            expected.contains(&limit.limit()),
            "{name}: {}",
            limit.limit()
        );
    }
}
