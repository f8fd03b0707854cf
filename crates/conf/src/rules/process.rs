//! Settings of one process.

use base::ErrorCode;
use schema::settings::{AgentSettings, EntrySettings};
use std::net::SocketAddr;

use super::bounds::{self, Range, range};
use super::names;
use crate::document::{Findings, Path, quote};

/// Shards of one entry; a power of two, since ids carry the shard in their low
/// bits.
const REQUEST_SHARDS: Range = range(1, 256);
const WORKER_THREADS: Range = range(1, 256);
const TIMELINE_EVENTS: Range = range(1, 1_000_000);
const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug"];

/// Whether an address is listened on or connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Use {
    /// Port 0 lets the kernel choose.
    Listen,
    /// The port must be known.
    Connect,
}

/// Rules of an entry's settings.
pub(crate) fn entry(settings: &EntrySettings, findings: &mut Findings<'_>) {
    let root = Path::default();
    names::needed_name(&root, "id", &settings.id, findings);
    names::needed_name(&root, "failure_domain", &settings.failure_domain, findings);
    let listeners = [
        ("caller_listen", &settings.caller_listen),
        ("link_listen", &settings.link_listen),
        ("operator_listen", &settings.operator_listen),
    ];
    for (key, value) in listeners {
        needed_address(key, value, Use::Listen, findings);
    }
    needed_address("platform", &settings.platform, Use::Connect, findings);
    let peers = root.key("peers");
    names::names(&peers, settings.peers.keys(), findings);
    for (name, value) in &settings.peers {
        address(&peers.key(name), value, Use::Connect, findings);
    }
    let shards = settings.request_shards;
    bounds::given_whole(&root, "request_shards", shards, REQUEST_SHARDS, findings);
    if shards != 0 && !shards.is_power_of_two() {
        let message = format!("{shards} is not a power of two");
        findings.add(ErrorCode::OutOfRange, &root.key("request_shards"), message);
    }
    let threads = settings.worker_threads;
    runtime(
        threads,
        &settings.log_level,
        settings.timeline_events,
        findings,
    );
}

/// Rules of an agent's settings.
pub(crate) fn agent(settings: &AgentSettings, findings: &mut Findings<'_>) {
    let root = Path::default();
    names::needed_name(&root, "id", &settings.id, findings);
    names::needed_name(&root, "failure_domain", &settings.failure_domain, findings);
    names::needed_name(&root, "pool", &settings.pool, findings);
    needed_address("link_listen", &settings.link_listen, Use::Listen, findings);
    let operator = &settings.operator_listen;
    needed_address("operator_listen", operator, Use::Listen, findings);
    needed_address("platform", &settings.platform, Use::Connect, findings);
    needed_address("upstream", &settings.upstream, Use::Connect, findings);
    let threads = settings.worker_threads;
    runtime(
        threads,
        &settings.log_level,
        settings.timeline_events,
        findings,
    );
}

fn runtime(
    worker_threads: u32,
    log_level: &str,
    timeline_events: u32,
    findings: &mut Findings<'_>,
) {
    let root = Path::default();
    let threads = WORKER_THREADS;
    bounds::given_whole(&root, "worker_threads", worker_threads, threads, findings);
    let events = TIMELINE_EVENTS;
    bounds::given_whole(&root, "timeline_events", timeline_events, events, findings);
    let level = root.key("log_level");
    if findings.is_given(&level) {
        bounds::word(&level, log_level, LOG_LEVELS, findings);
    }
}

fn needed_address(key: &str, value: &str, used: Use, findings: &mut Findings<'_>) {
    let root = Path::default();
    if bounds::needed(&root, key, findings) {
        address(&root.key(key), value, used, findings);
    }
}

fn address(path: &Path, value: &str, used: Use, findings: &mut Findings<'_>) {
    match value.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 && used == Use::Connect => {
            let message = "the port may be 0 only where the process listens";
            findings.add(ErrorCode::BadAddress, path, message);
        }
        Ok(_) => {}
        Err(_) => {
            let message = format!(
                "`{}` is not `ip:port`, such as `10.0.0.7:7400`",
                quote(value)
            );
            findings.add(ErrorCode::BadAddress, path, message);
        }
    }
}
