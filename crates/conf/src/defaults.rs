//! Values of settings that an operator left out.

use schema::settings::{AgentSettings, EntrySettings, Limits, Store, Weights};

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

const REQUEST_SHARDS: u32 = 8;
const WORKER_THREADS: u32 = 4;
const TIMELINE_EVENTS: u32 = 20_000;
const LOG_LEVEL: &str = "info";

/// Settings of an entry.
pub(crate) fn entry_settings(settings: &mut EntrySettings) {
    settings.request_shards = or(settings.request_shards, REQUEST_SHARDS);
    settings.worker_threads = or(settings.worker_threads, WORKER_THREADS);
    settings.timeline_events = or(settings.timeline_events, TIMELINE_EVENTS);
    fill_text(&mut settings.log_level, LOG_LEVEL);
}

/// Settings of an agent.
pub(crate) fn agent_settings(settings: &mut AgentSettings) {
    settings.worker_threads = or(settings.worker_threads, WORKER_THREADS);
    settings.timeline_events = or(settings.timeline_events, TIMELINE_EVENTS);
    fill_text(&mut settings.log_level, LOG_LEVEL);
}

fn fill_text(value: &mut String, default: &str) {
    if value.is_empty() {
        default.clone_into(value);
    }
}
