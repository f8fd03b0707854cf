//! The fleet configuration as a whole: failure domains, pools, callers, what
//! the operators weigh, the weight store and bounds.

use base::ErrorCode;
use schema::settings::{Caller, Fleet, Limits, Pool, Store, Weights};
use std::collections::BTreeSet;

use super::bounds::{self, Range, range};
use super::{models, names, profiles};
use crate::defaults;
use crate::document::{Findings, Path};

const DAY_MS: u64 = 24 * 3_600_000;
const INSTANCES: Range = range(1, 100_000);
const ACCELERATORS: Range = range(1, 64);
const STEP_TIME_US: Range = range(1, 60_000_000);
const CONCURRENT: Range = range(1, 100_000);
const ORDER_DELAY_MS: Range = range(1, 3_600_000);
const KEY_HASH_LENGTH: usize = 64;
const WEIGHT: (f64, f64) = (0.0, 1e6);
const LOADS_PER_S: (f64, f64) = (0.001, 10_000.0);

/// Room a frame needs besides what it carries.
const FRAME_OVERHEAD_BYTES: u32 = 64 << 10;

/// Largest document a frame carries: a peer that could not be sent one would
/// never learn of a new revision while the platform is away.
const FRAME_DOCUMENT_BYTES: u32 = 1 << 20;

/// Rules of the fleet configuration.
pub(crate) fn fleet(fleet: &Fleet, findings: &mut Findings<'_>) {
    let root = Path::default();
    names::needed_name(&root, "deployment", &fleet.deployment, findings);
    for section in ["failure_domains", "pools", "callers"] {
        bounds::needed(&root, section, findings);
    }
    let domains = root.key("failure_domains");
    names::names(&domains, fleet.failure_domains.keys(), findings);
    let pools = root.key("pools");
    names::names(&pools, fleet.pools.keys(), findings);
    for (name, pool) in &fleet.pools {
        check_pool(fleet, pool, &pools.key(name), findings);
    }
    models::models(fleet, findings);
    models::adapters(fleet, findings);
    profiles::services(fleet, findings);
    profiles::profiles(fleet, findings);
    check_callers(fleet, findings);
    if let Some(weights) = &fleet.weights {
        check_weights(weights, findings);
    }
    if let Some(store) = &fleet.store {
        check_store(store, findings);
    }
    if let Some(limits) = &fleet.limits {
        check_limits(limits, findings);
    }
}

fn check_pool(fleet: &Fleet, pool: &Pool, path: &Path, findings: &mut Findings<'_>) {
    let kinds = ["engine", "service"];
    bounds::needed_word(path, "kind", &pool.kind, &kinds, findings);
    bounds::needed_whole(path, "instances", pool.instances, INSTANCES, findings);
    let concurrent = pool.concurrent_max;
    bounds::needed_whole(path, "concurrent_max", concurrent, CONCURRENT, findings);
    if bounds::needed(path, "failure_domains", findings) {
        let list = path.key("failure_domains");
        if pool.failure_domains.is_empty() {
            findings.add(ErrorCode::OutOfRange, &list, "at least one must be named");
        }
        let known = |name: &str| fleet.failure_domains.contains_key(name);
        let named = &pool.failure_domains;
        names::references(&list, "failure_domains", named, known, findings);
    }
    if pool.kind == "engine" {
        check_engines(pool, path, findings);
    } else if pool.kind == "service" && !pool.accelerators_mib.is_empty() {
        let message = "a pool of plain services has no accelerators";
        findings.add(
            ErrorCode::OutOfRange,
            &path.key("accelerators_mib"),
            message,
        );
    }
}

/// What only engines have.
///
/// The order delay has no default: a successor frees the memory of its
/// predecessor's orders after it, so one that is too short overcommits.
fn check_engines(pool: &Pool, path: &Path, findings: &mut Findings<'_>) {
    let step = pool.step_time_us;
    bounds::needed_whole(path, "step_time_us", step, STEP_TIME_US, findings);
    let delay = pool.order_delay_max_ms;
    bounds::needed_whole(path, "order_delay_max_ms", delay, ORDER_DELAY_MS, findings);
    bounds::needed(path, "checks_fencing", findings);
    if !bounds::needed(path, "accelerators_mib", findings) {
        return;
    }
    let list = path.key("accelerators_mib");
    let count = pool.accelerators_mib.len() as u64;
    bounds::whole(&list, count, ACCELERATORS, findings);
    for (index, mib) in pool.accelerators_mib.iter().enumerate() {
        bounds::whole(&list.index(index), *mib, bounds::SIZE_MIB, findings);
    }
}

fn check_callers(fleet: &Fleet, findings: &mut Findings<'_>) {
    let callers = Path::default().key("callers");
    names::names(&callers, fleet.callers.keys(), findings);
    let mut hashes = BTreeSet::new();
    for (name, caller) in &fleet.callers {
        let path = callers.key(name);
        let concurrent = caller.concurrent_max;
        bounds::needed_whole(&path, "concurrent_max", concurrent, CONCURRENT, findings);
        check_key(caller, &path, findings);
        // Two callers with one key would be told apart by chance.
        if !hashes.insert(caller.key_sha256.to_ascii_lowercase())
            && !caller.key_sha256.is_empty()
        {
            let message = "another caller has the same key";
            findings.add(ErrorCode::DuplicateName, &path.key("key_sha256"), message);
        }
    }
}

fn check_key(caller: &Caller, path: &Path, findings: &mut Findings<'_>) {
    if !bounds::needed(path, "key_sha256", findings) {
        return;
    }
    let hash = &caller.key_sha256;
    let hex = hash.chars().all(|c| c.is_ascii_hexdigit());
    if !hex || hash.len() != KEY_HASH_LENGTH {
        let message = "needs the SHA-256 of the key, 64 hexadecimal digits";
        findings.add(ErrorCode::OutOfRange, &path.key("key_sha256"), message);
    }
}

fn check_weights(weights: &Weights, findings: &mut Findings<'_>) {
    let path = Path::default().key("weights");
    let attainment = weights.attainment;
    bounds::needed_number(&path, "attainment", attainment, WEIGHT, findings);
    bounds::needed_number(&path, "move_cost", weights.move_cost, WEIGHT, findings);
    let hour = range(0, 3_600_000);
    let residence = weights.min_residence_ms;
    bounds::needed_whole(&path, "min_residence_ms", residence, hour, findings);
    // A bound of 0 would promise that no model ever waits.
    let wait = range(1, 3_600_000);
    bounds::needed_whole(&path, "wait_max_ms", weights.wait_max_ms, wait, findings);
}

fn check_store(store: &Store, findings: &mut Findings<'_>) {
    let path = Path::default().key("store");
    let rate = store.loads_per_s;
    bounds::needed_number(&path, "loads_per_s", rate, LOADS_PER_S, findings);
    let loads = store.full_speed_loads;
    bounds::needed_whole(&path, "full_speed_loads", loads, range(1, 10_000), findings);
    let time = store.load_time_ms;
    bounds::needed_whole(&path, "load_time_ms", time, range(1, 3_600_000), findings);
}

/// Zero takes the default, so each range begins there.
fn check_limits(limits: &Limits, findings: &mut Findings<'_>) {
    let path = Path::default().key("limits");
    let bounded = [
        ("body_max_bytes", limits.body_max_bytes, 64 << 20),
        ("header_max_bytes", limits.header_max_bytes, 1 << 20),
        ("frame_max_bytes", limits.frame_max_bytes, 128 << 20),
        ("waiting_max", limits.waiting_max, 1_000_000),
        ("retry_percent", limits.retry_percent, 100),
        ("claim_retention_ms", limits.claim_retention_ms, 30 * DAY_MS),
        ("verdict_ms", limits.verdict_ms, DAY_MS),
        ("heartbeat_ms", limits.heartbeat_ms, 10_000),
        // Many claims share an object of a megabyte.
        (
            "stored_answer_max_bytes",
            limits.stored_answer_max_bytes,
            256 << 10,
        ),
        ("answer_window_frames", limits.answer_window_frames, 65_536),
    ];
    for (key, value, max) in bounded {
        bounds::given_whole(&path, key, value, range(0, max), findings);
    }
    let filled = defaults::limits(Some(limits));
    let carried = filled.body_max_bytes.max(FRAME_DOCUMENT_BYTES);
    let needed = carried.saturating_add(FRAME_OVERHEAD_BYTES);
    if filled.frame_max_bytes < needed {
        let message = format!(
            "a frame carries bodies or documents of up to {carried} bytes, so it needs \
             {needed} bytes"
        );
        findings.add(ErrorCode::OutOfRange, &path.key("frame_max_bytes"), message);
    }
}
