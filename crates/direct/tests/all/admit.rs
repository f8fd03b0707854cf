//! Whether a request joins those that wait.

use crate::support::at;
use direct::{Admission, admit};

fn admission(now_ms: u64, wait_ms: u64) -> Admission {
    Admission {
        now: at(now_ms),
        arrived: at(0),
        aim_ms: 800,
        first_by: at(3_200),
        wait_ms,
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
    let plain = Admission {
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
        let admission = Admission {
            now: at(arrived_ms),
            arrived: at(arrived_ms),
            first_by: at(arrived_ms + 3_200),
            ..admission(0, done_ms - arrived_ms)
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
