//! Values of settings that an operator left out.

use schema::settings::{Limits, Store, Weights};

fn or(value: u32, default: u32) -> u32 {
    if value == 0 { default } else { value }
}

/// Bounds of one process.
pub(crate) fn limits(given: Option<&Limits>) -> Limits {
    let given = given.copied().unwrap_or_default();
    Limits {
        body_max_bytes: or(given.body_max_bytes, 1 << 20),
        header_max_bytes: or(given.header_max_bytes, 16 << 10),
        frame_max_bytes: or(given.frame_max_bytes, 2 << 20),
        waiting_max: or(given.waiting_max, 4_096),
        retry_percent: or(given.retry_percent, 10),
        claim_retention_ms: or(given.claim_retention_ms, 24 * 3_600_000),
        verdict_ms: or(given.verdict_ms, 600_000),
        heartbeat_ms: or(given.heartbeat_ms, 500),
        stored_answer_max_bytes: or(given.stored_answer_max_bytes, 16 << 10),
        answer_window_frames: or(given.answer_window_frames, 256),
    }
}

/// What the operators weigh.
pub(crate) fn weights(given: Option<&Weights>) -> Weights {
    given.copied().unwrap_or(Weights {
        attainment: 1.0,
        move_cost: 1.0,
        min_residence_ms: 10_000,
        wait_max_ms: 30_000,
    })
}

/// Limits of the weight store.
pub(crate) fn store(given: Option<&Store>) -> Store {
    given.copied().unwrap_or(Store {
        loads_per_s: 2.0,
        full_speed_loads: 6,
        load_time_ms: 2_000,
    })
}
