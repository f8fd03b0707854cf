//! Addresses of upstreams, and upstreams that can't be connected to.

use direct::UpstreamIncarnation;
use std::sync::Arc;

use crate::state::Node;
use crate::state::connection_pool::UpstreamAddress;
use crate::state_monitor::log_avoidance_if_changed;

/// Returns the address of the latest incarnation of an upstream.
pub(crate) fn address_of(node: &Node, id: &str) -> Option<UpstreamAddress> {
    let fleet = node.fleet.lock();
    fleet.get(id).map(|upstream| UpstreamAddress {
        started_unix_ms: upstream.record.started_unix_ms,
        socket_address: upstream.record.address,
        software: upstream.software(),
    })
}

/// Returns the version of the software that an upstream runs.
pub(crate) fn software_version_of(node: &Node, id: &str) -> Option<Arc<str>> {
    let fleet = node.fleet.lock();
    fleet.get(id)?.record.software_version.clone()
}

/// Records that an incarnation of an upstream could not be connected to.
pub(crate) fn record_unreachable(node: &Node, id: &str, started_unix_ms: Option<u64>) {
    let now = node.now();
    let incarnation = UpstreamIncarnation {
        id,
        started_unix_ms,
    };
    if let Some(upstream) = node.fleet.lock().incarnation_mut(incarnation) {
        upstream.connect_failed(now);
    }
    log_avoidance_if_changed(node, id);
}
