//! Rules of the settings of one entry or agent process.

use base::ErrorCode;
use schema::settings::{AgentSettings, EntrySettings};
use std::net::SocketAddr;

use super::bounds::{self, Range, range};
use super::names;
use crate::document::{DiagnosticSink, ValuePath, excerpt};

/// Number of request shards of an entry. It must also be a power of two, since
/// request ids have the shard in their low bits.
const REQUEST_SHARDS: Range = range(1, 256);
const WORKER_THREADS: Range = range(1, 256);
const TIMELINE_EVENTS: Range = range(1, 1_000_000);
/// Limits below which an entry could serve hardly any caller.
const MEMORY_MIB: Range = range(64, 1 << 20);
const DESCRIPTORS_MAX: Range = range(64, 1 << 20);
const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug"];

/// What the process does with an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AddressUse {
    /// Listens on it; with port 0 the kernel chooses the port.
    Listen,
    /// Connects to it; port 0 is invalid.
    Connect,
}

/// Checks the settings of an entry.
pub(crate) fn check_entry_settings(
    settings: &EntrySettings,
    sink: &mut DiagnosticSink<'_>,
) {
    let root = ValuePath::default();
    names::require_name(&root, "id", &settings.id, sink);
    names::require_name(&root, "failure_domain", &settings.failure_domain, sink);
    let listeners = [
        ("caller_listen", &settings.caller_listen),
        ("link_listen", &settings.link_listen),
        ("operator_listen", &settings.operator_listen),
    ];
    for (key, value) in listeners {
        require_address(key, value, AddressUse::Listen, sink);
    }
    require_address("platform", &settings.platform, AddressUse::Connect, sink);
    let peers = root.key("peers");
    names::check_names(&peers, settings.peers.keys(), sink);
    for (name, value) in &settings.peers {
        check_address(&peers.key(name), value, AddressUse::Connect, sink);
    }
    let shards = settings.request_shards;
    bounds::check_optional_range(&root, "request_shards", shards, REQUEST_SHARDS, sink);
    if shards != 0 && !shards.is_power_of_two() {
        let message = format!("{shards} is not a power of two");
        sink.report(ErrorCode::OutOfRange, &root.key("request_shards"), message);
    }
    let limits = [
        ("memory_mib", settings.memory_mib, MEMORY_MIB),
        ("descriptors_max", settings.descriptors_max, DESCRIPTORS_MAX),
    ];
    for (key, value, range) in limits {
        // Zero leaves it to the machine, also where it is written.
        if value != 0 {
            bounds::check_optional_range(&root, key, value, range, sink);
        }
    }
    let threads = settings.worker_threads;
    check_runtime(threads, &settings.log_level, settings.timeline_events, sink);
}

/// Checks the settings of an agent.
pub(crate) fn check_agent_settings(
    settings: &AgentSettings,
    sink: &mut DiagnosticSink<'_>,
) {
    let root = ValuePath::default();
    names::require_name(&root, "id", &settings.id, sink);
    names::require_name(&root, "failure_domain", &settings.failure_domain, sink);
    names::require_name(&root, "pool", &settings.pool, sink);
    require_address(
        "link_listen",
        &settings.link_listen,
        AddressUse::Listen,
        sink,
    );
    let operator = &settings.operator_listen;
    require_address("operator_listen", operator, AddressUse::Listen, sink);
    require_address("platform", &settings.platform, AddressUse::Connect, sink);
    require_address("upstream", &settings.upstream, AddressUse::Connect, sink);
    let threads = settings.worker_threads;
    check_runtime(threads, &settings.log_level, settings.timeline_events, sink);
}

fn check_runtime(
    worker_threads: u32,
    log_level: &str,
    timeline_events: u32,
    sink: &mut DiagnosticSink<'_>,
) {
    let root = ValuePath::default();
    let threads = WORKER_THREADS;
    bounds::check_optional_range(
        &root,
        "worker_threads",
        worker_threads,
        threads,
        sink,
    );
    let events = TIMELINE_EVENTS;
    bounds::check_optional_range(
        &root,
        "timeline_events",
        timeline_events,
        events,
        sink,
    );
    let level = root.key("log_level");
    if sink.is_present(&level) {
        bounds::check_one_of(&level, log_level, LOG_LEVELS, sink);
    }
}

fn require_address(
    key: &str,
    value: &str,
    address_use: AddressUse,
    sink: &mut DiagnosticSink<'_>,
) {
    let root = ValuePath::default();
    if bounds::require(&root, key, sink) {
        check_address(&root.key(key), value, address_use, sink);
    }
}

fn check_address(
    path: &ValuePath,
    value: &str,
    address_use: AddressUse,
    sink: &mut DiagnosticSink<'_>,
) {
    match value.parse::<SocketAddr>() {
        Ok(address) if address.port() == 0 && address_use == AddressUse::Connect => {
            let message = "port 0 is only valid for an address to listen on";
            sink.report(ErrorCode::BadAddress, path, message);
        }
        Ok(_) => {}
        Err(_) => {
            let message = format!(
                "`{}` is not `ip:port`, such as `10.0.0.7:7400`",
                excerpt(value)
            );
            sink.report(ErrorCode::BadAddress, path, message);
        }
    }
}
