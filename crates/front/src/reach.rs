//! Where upstreams are reached, and what it means if they are not.

use direct::Start;

use crate::beliefs::tell_doubt;
use crate::state::Node;
use crate::state::pool::Place;

/// Where the latest start of an upstream is reached.
pub(crate) fn place(node: &Node, id: &str) -> Option<Place> {
    let fleet = node.fleet.lock();
    fleet.get(id).map(|upstream| Place {
        born_ms: upstream.news.born_ms,
        address: upstream.news.address,
    })
}

/// Notes that a start of an upstream could not be connected to.
pub(crate) fn unreached(node: &Node, id: &str, born_ms: Option<u64>) {
    let now = node.now();
    let start = Start { id, born_ms };
    if let Some(upstream) = node.fleet.lock().start_mut(start) {
        upstream.unreached(now);
    }
    tell_doubt(node, id);
}
