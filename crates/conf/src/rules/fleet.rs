//! Rules of the fleet configuration: failure domains, pools, callers, planning
//! weights, the weight store and limits.

use base::ErrorCode;
use schema::settings::{Caller, Fleet, Limits, Pool, Store, Weights};
use std::collections::BTreeSet;

use super::bounds::{self, Range, range};
use super::{models, names, profiles};
use crate::defaults;
use crate::document::{DiagnosticSink, ValuePath};

const DAY_MS: u64 = 24 * 3_600_000;
const INSTANCES: Range = range(1, 100_000);
const ACCELERATORS: Range = range(1, 64);
const STEP_TIME_US: Range = range(1, 60_000_000);
const CONCURRENT: Range = range(1, 100_000);
const ORDER_DELAY_MS: Range = range(1, 3_600_000);
const KEY_HASH_LENGTH: usize = 64;
const WEIGHT: (f64, f64) = (0.0, 1e6);
const LOADS_PER_S: (f64, f64) = (0.001, 10_000.0);

/// Bytes of a frame besides the body or document it carries.
const FRAME_OVERHEAD_BYTES: u32 = 64 << 10;

/// Every frame must be able to carry a document of this size. Otherwise, while the
/// platform is unreachable, a peer could not be sent a snapshot and would not learn
/// of a new revision.
const FRAME_DOCUMENT_BYTES: u32 = 1 << 20;

/// Checks the whole fleet configuration.
pub(crate) fn check_fleet(fleet: &Fleet, sink: &mut DiagnosticSink<'_>) {
    let root = ValuePath::default();
    names::require_name(&root, "deployment", &fleet.deployment, sink);
    for section in ["failure_domains", "pools", "callers"] {
        bounds::require(&root, section, sink);
    }
    let domains = root.key("failure_domains");
    names::check_names(&domains, fleet.failure_domains.keys(), sink);
    let pools = root.key("pools");
    names::check_names(&pools, fleet.pools.keys(), sink);
    for (name, pool) in &fleet.pools {
        check_pool(fleet, pool, &pools.key(name), sink);
    }
    models::check_models(fleet, sink);
    models::check_adapters(fleet, sink);
    profiles::check_services(fleet, sink);
    profiles::check_profiles(fleet, sink);
    check_callers(fleet, sink);
    if let Some(weights) = &fleet.weights {
        check_weights(weights, sink);
    }
    if let Some(store) = &fleet.store {
        check_store(store, sink);
    }
    if let Some(limits) = &fleet.limits {
        check_limits(limits, sink);
    }
}

fn check_pool(
    fleet: &Fleet,
    pool: &Pool,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) {
    let kinds = ["engine", "service"];
    bounds::require_one_of(path, "kind", &pool.kind, &kinds, sink);
    bounds::require_in_range(path, "instances", pool.instances, INSTANCES, sink);
    let concurrent = pool.concurrent_max;
    bounds::require_in_range(path, "concurrent_max", concurrent, CONCURRENT, sink);
    if bounds::require(path, "failure_domains", sink) {
        let list = path.key("failure_domains");
        if pool.failure_domains.is_empty() {
            sink.report(
                ErrorCode::OutOfRange,
                &list,
                "at least one entry is required",
            );
        }
        let known = |name: &str| fleet.failure_domains.contains_key(name);
        let named = &pool.failure_domains;
        names::check_references(&list, "failure_domains", named, known, sink);
    }
    if pool.kind == "engine" {
        check_engine_pool(pool, path, sink);
    } else if pool.kind == "service" && !pool.accelerators_mib.is_empty() {
        let message = "a pool of plain services has no accelerators";
        sink.report(
            ErrorCode::OutOfRange,
            &path.key("accelerators_mib"),
            message,
        );
    }
}

/// Checks the keys that only pools of engines have.
///
/// `order_delay_max_ms` has no default: an agent that replaces another one releases
/// the memory reserved for its predecessor's orders after this time, so a value
/// that is too short overcommits the accelerator.
fn check_engine_pool(pool: &Pool, path: &ValuePath, sink: &mut DiagnosticSink<'_>) {
    let step = pool.step_time_us;
    bounds::require_in_range(path, "step_time_us", step, STEP_TIME_US, sink);
    let delay = pool.order_delay_max_ms;
    bounds::require_in_range(path, "order_delay_max_ms", delay, ORDER_DELAY_MS, sink);
    bounds::require(path, "checks_fencing", sink);
    if !bounds::require(path, "accelerators_mib", sink) {
        return;
    }
    let list = path.key("accelerators_mib");
    let count = pool.accelerators_mib.len() as u64;
    bounds::check_range(&list, count, ACCELERATORS, sink);
    for (index, mib) in pool.accelerators_mib.iter().enumerate() {
        bounds::check_range(&list.index(index), *mib, bounds::SIZE_MIB, sink);
    }
}

fn check_callers(fleet: &Fleet, sink: &mut DiagnosticSink<'_>) {
    let callers = ValuePath::default().key("callers");
    names::check_names(&callers, fleet.callers.keys(), sink);
    let mut hashes = BTreeSet::new();
    for (name, caller) in &fleet.callers {
        let path = callers.key(name);
        let concurrent = caller.concurrent_max;
        bounds::require_in_range(&path, "concurrent_max", concurrent, CONCURRENT, sink);
        check_key_hash(caller, &path, sink);
        // A request with a key that two callers share could be attributed to either.
        if !hashes.insert(caller.key_sha256.to_ascii_lowercase())
            && !caller.key_sha256.is_empty()
        {
            let message = "another caller has the same key";
            sink.report(ErrorCode::DuplicateName, &path.key("key_sha256"), message);
        }
    }
}

fn check_key_hash(caller: &Caller, path: &ValuePath, sink: &mut DiagnosticSink<'_>) {
    if !bounds::require(path, "key_sha256", sink) {
        return;
    }
    let hash = &caller.key_sha256;
    let hex = hash.chars().all(|c| c.is_ascii_hexdigit());
    if !hex || hash.len() != KEY_HASH_LENGTH {
        let message = "expected the SHA-256 of the key as 64 hexadecimal digits";
        sink.report(ErrorCode::OutOfRange, &path.key("key_sha256"), message);
    }
}

fn check_weights(weights: &Weights, sink: &mut DiagnosticSink<'_>) {
    let path = ValuePath::default().key("weights");
    let attainment = weights.attainment;
    bounds::require_float_in_range(&path, "attainment", attainment, WEIGHT, sink);
    bounds::require_float_in_range(&path, "move_cost", weights.move_cost, WEIGHT, sink);
    let hour = range(0, 3_600_000);
    let residence = weights.min_residence_ms;
    bounds::require_in_range(&path, "min_residence_ms", residence, hour, sink);
    // A bound of 0 can't be met: it would mean that no model ever waits.
    let wait = range(1, 3_600_000);
    bounds::require_in_range(&path, "wait_max_ms", weights.wait_max_ms, wait, sink);
}

fn check_store(store: &Store, sink: &mut DiagnosticSink<'_>) {
    let path = ValuePath::default().key("store");
    let rate = store.loads_per_s;
    bounds::require_float_in_range(&path, "loads_per_s", rate, LOADS_PER_S, sink);
    let loads = store.full_speed_loads;
    bounds::require_in_range(&path, "full_speed_loads", loads, range(1, 10_000), sink);
    let time = store.load_time_ms;
    bounds::require_in_range(&path, "load_time_ms", time, range(1, 3_600_000), sink);
}

/// Checks the limits. Zero selects the default, so each range starts at 0.
fn check_limits(limits: &Limits, sink: &mut DiagnosticSink<'_>) {
    let path = ValuePath::default().key("limits");
    let bounded = [
        ("body_max_bytes", limits.body_max_bytes, 64 << 20),
        ("header_max_bytes", limits.header_max_bytes, 1 << 20),
        ("frame_max_bytes", limits.frame_max_bytes, 128 << 20),
        ("waiting_max", limits.waiting_max, 1_000_000),
        ("retry_percent", limits.retry_percent, 100),
        ("claim_retention_ms", limits.claim_retention_ms, 30 * DAY_MS),
        ("verdict_ms", limits.verdict_ms, DAY_MS),
        ("heartbeat_ms", limits.heartbeat_ms, 10_000),
        // Many claims, each with its stored response, share one platform object,
        // which holds at most a megabyte.
        (
            "stored_answer_max_bytes",
            limits.stored_answer_max_bytes,
            256 << 10,
        ),
        ("answer_window_frames", limits.answer_window_frames, 65_536),
    ];
    for (key, value, max) in bounded {
        bounds::check_optional_range(&path, key, value, range(0, max), sink);
    }
    let filled = defaults::limits_or_default(Some(limits));
    let carried = filled.body_max_bytes.max(FRAME_DOCUMENT_BYTES);
    let needed = carried.saturating_add(FRAME_OVERHEAD_BYTES);
    if filled.frame_max_bytes < needed {
        let message = format!(
            "a frame must carry a body or document of up to {carried} bytes, which \
             needs {needed} bytes"
        );
        sink.report(ErrorCode::OutOfRange, &path.key("frame_max_bytes"), message);
    }
}
