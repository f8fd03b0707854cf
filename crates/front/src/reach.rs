//! Where upstreams are reached, and what it means if they are not.

use direct::UpstreamIncarnation;

use crate::beliefs::tell_doubt;
use crate::state::Node;
use crate::state::pool::Place;

/// Where the latest start of an upstream is reached.
pub(crate) fn place(node: &Node, id: &str) -> Option<Place> {
    let fleet = node.fleet.lock();
    fleet.get(id).map(|upstream| Place {
        born_ms: upstream.record.started_unix_ms,
        address: upstream.record.address,
    })
}

/// Notes that a start of an upstream could not be connected to.
pub(crate) fn unreached(node: &Node, id: &str, born_ms: Option<u64>) {
    let now = node.now();
    let start = UpstreamIncarnation {
        id,
        started_unix_ms: born_ms,
    };
    if let Some(upstream) = node.fleet.lock().incarnation_mut(start) {
        upstream.connect_failed(now);
    }
    tell_doubt(node, id);
}
