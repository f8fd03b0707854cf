//! Logs changes of upstreams from other entries, upstreams' reports and lists, and
//! records that changed nothing because they are older than what is known.

use direct::{ChangeKind, UpstreamChange};
use serde_json::json;

use crate::state::Node;

/// Logs the changes of upstreams that were learned from `told_by`, the name of an entry
/// or a kind of source, and the number of records that were ignored.
pub(crate) fn log_changes(node: &Node, told_by: &str) {
    let mut fleet = node.fleet.lock();
    let (changes, ignored) = (fleet.take_changes(), fleet.take_ignored_records());
    drop(fleet);
    for change in changes {
        log_change(node, told_by, &change);
    }
    if ignored > 0 {
        node.log.line(
            "records_ignored",
            json!({ "records": ignored, "told_by": told_by }),
        );
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
