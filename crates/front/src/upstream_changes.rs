//! Logs changes of upstreams from other entries, upstreams' reports and lists.

use direct::{ChangeKind, UpstreamChange};
use serde_json::json;

use crate::state::Node;

/// Logs the changes of upstreams that were learned from `told_by`, the name of an entry
/// or a kind of source.
pub(crate) fn log_changes(node: &Node, told_by: &str) {
    let changes = node.fleet.lock().take_changes();
    for change in changes {
        log_change(node, told_by, &change);
    }
}

fn log_change(node: &Node, told_by: &str, change: &UpstreamChange) {
    let event = match change.kind {
        ChangeKind::Leaving => "upstream_leaving",
        ChangeKind::Gone => "upstream_gone",
        ChangeKind::Restarted => "upstream_restarted",
    };
    node.log.line(
        event,
        json!({ "upstream": &*change.id, "born_ms": change.started_unix_ms,
            "told_by": told_by }),
    );
}
