//! Renewal of the lease by way of another entry.
//!
//! A coordinator that can't reach the platform, or that the platform refuses,
//! can still send orders, because it reaches the upstreams and the other
//! entries. Without a renewal it would have to stop, and its successor would
//! have to wait until none of its orders can still arrive; placement would
//! pause for seconds while demand shifts. So another entry writes the renewal.
//! The holder still counts the validity from before it asked, so the lease is
//! as safe as with a renewal of its own.

use base::{ObjectVersion, PlatformOp, PlatformResult, Precondition};
use direct::LeaseRecord;
use schema::peer::{LeaseAsk, LeaseTold};
use serde_json::json;
use std::sync::Arc;

use crate::state::Node;
use crate::state::lease_relay::decode_record;

/// Asks another entry to renew the lease, after this entry failed to.
pub(crate) fn request_renewal(node: &Node) {
    let now = node.now();
    if node.lease_relay.has_recent_request(now) {
        return;
    }
    let renewal = node.lease.lock().next_renewal(now);
    let others = node.peers.live_entries(now);
    if node.lease_relay.request_renewal(now, &others, renewal) {
        node.peers.announce_now.notify_one();
    }
}

/// Handles another entry's confirmation that it wrote a renewal.
pub(crate) fn receive_confirmation(node: &Node, confirmation: &LeaseTold) {
    let Some(record) = confirmation.state.as_ref().map(decode_record) else {
        return;
    };
    let Some(requested_at) = node.lease_relay.confirm(&record) else {
        return;
    };
    let version = ObjectVersion::new(confirmation.generation, confirmation.version);
    node.lease
        .lock()
        .on_written(requested_at, version.0, record.clone());
    node.log.line(
        "lease_relayed",
        json!({ "token": record.token, "renewal": record.renewal,
            "asked_ms": node.now().ms_since(requested_at) }),
    );
}

/// Handles another entry's request for a renewal.
pub(crate) fn receive_request(node: &Arc<Node>, request: &LeaseAsk) {
    let Some(record) = request.state.as_ref().map(decode_record) else {
        return;
    };
    if request.by != node.options.entry || !node.lease_relay.accept(node.now(), &record)
    {
        return;
    }
    let version = ObjectVersion::new(request.generation, request.version);
    tokio::spawn(write_renewal(Arc::clone(node), record, version));
}

/// Writes another entry's renewal to the platform and announces the result.
async fn write_renewal(node: Arc<Node>, record: LeaseRecord, version: ObjectVersion) {
    let op = PlatformOp::Write {
        key: node.options.keys.lease.clone(),
        precondition: Precondition::Version(version),
        // Strings and numbers always serialize.
        value: serde_json::to_vec(&record).unwrap_or_default(),
    };
    let result = node.platform.call(&op).await;
    let PlatformResult::Written(version) = result else {
        return;
    };
    node.lease_relay
        .record_written(node.now(), &record, version.0);
    node.peers.announce_now.notify_one();
}
