//! Defaults of settings that the operator left out.

use schema::settings::{AgentSettings, EntrySettings, Limits, Store, Weights};

fn or_default(value: u32, default: u32) -> u32 {
    if value == 0 { default } else { value }
}

/// Limits of one process. A limit of 0 counts as left out.
pub(crate) fn limits_or_default(given: Option<&Limits>) -> Limits {
    let given = given.copied().unwrap_or_default();
    Limits {
        body_max_bytes: or_default(given.body_max_bytes, 1 << 20),
        header_max_bytes: or_default(given.header_max_bytes, 16 << 10),
        frame_max_bytes: or_default(given.frame_max_bytes, 2 << 20),
        waiting_max: or_default(given.waiting_max, 4_096),
        retry_percent: or_default(given.retry_percent, 10),
        claim_retention_ms: or_default(given.claim_retention_ms, 24 * 3_600_000),
        verdict_ms: or_default(given.verdict_ms, 600_000),
        heartbeat_ms: or_default(given.heartbeat_ms, 500),
        stored_answer_max_bytes: or_default(given.stored_answer_max_bytes, 16 << 10),
        answer_window_frames: or_default(given.answer_window_frames, 256),
    }
}

/// Planning weights. They are either all given or all left out.
pub(crate) fn weights_or_default(given: Option<&Weights>) -> Weights {
    given.copied().unwrap_or(Weights {
        attainment: 1.0,
        move_cost: 1.0,
        min_residence_ms: 10_000,
        wait_max_ms: 30_000,
    })
}

/// Capacity of the weight store. Its keys are either all given or all left out.
pub(crate) fn store_or_default(given: Option<&Store>) -> Store {
    given.copied().unwrap_or(Store {
        loads_per_s: 2.0,
        full_speed_loads: 6,
        load_time_ms: 2_000,
    })
}

const REQUEST_SHARDS: u32 = 8;
const WORKER_THREADS: u32 = 4;
const TIMELINE_EVENTS: u32 = 20_000;
const LOG_LEVEL: &str = "info";

/// Fills in the settings of an entry that are zero or empty.
pub(crate) fn fill_entry_settings(settings: &mut EntrySettings) {
    settings.request_shards = or_default(settings.request_shards, REQUEST_SHARDS);
    settings.worker_threads = or_default(settings.worker_threads, WORKER_THREADS);
    settings.timeline_events = or_default(settings.timeline_events, TIMELINE_EVENTS);
    fill_if_empty(&mut settings.log_level, LOG_LEVEL);
}

/// Fills in the settings of an agent that are zero or empty.
pub(crate) fn fill_agent_settings(settings: &mut AgentSettings) {
    settings.worker_threads = or_default(settings.worker_threads, WORKER_THREADS);
    settings.timeline_events = or_default(settings.timeline_events, TIMELINE_EVENTS);
    fill_if_empty(&mut settings.log_level, LOG_LEVEL);
}

fn fill_if_empty(value: &mut String, default: &str) {
    if value.is_empty() {
        default.clone_into(value);
    }
}
