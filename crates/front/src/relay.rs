//! Renewals that this entry asks of another one, or writes for it.
//!
//! A giver that is cut off from the platform, or that the platform turns away,
//! can order all the same: it reaches upstreams and entries. Without a renewal it
//! would have to stop, and its successor to wait until nothing of it can arrive
//! any more; placement would stand still for seconds while the demand moves on.
//! Another entry therefore writes the renewal. The holder still counts its time
//! from before it asked, so nothing about the lease's safety changes.

use base::{Expect, PlatformOp, PlatformResult, Version};
use direct::LeaseRecord;
use schema::peer::{LeaseAsk, LeaseTold};
use serde_json::json;
use std::sync::Arc;

use crate::state::Node;
use crate::state::relay::record;

/// This entry could not renew its lease itself: another one is asked.
pub(crate) fn ask_renewal(node: &Node) {
    let now = node.now();
    if node.relay.asked_lately(now) {
        return;
    }
    let renewal = node.lease.lock().next_renewal(now);
    let others = node.peers.heard(now);
    if node.relay.ask(now, &others, renewal) {
        node.peers.wake.notify_one();
    }
}

/// Another entry tells what it wrote.
pub(crate) fn hear_told(node: &Node, told: &LeaseTold) {
    let Some(record) = told.state.as_ref().map(record) else {
        return;
    };
    let Some(asked_at) = node.relay.written(&record) else {
        return;
    };
    node.lease
        .lock()
        .on_written(asked_at, told.version, record.clone());
    node.log.line(
        "lease_relayed",
        json!({ "token": record.token, "renewal": record.renewal,
            "asked_ms": node.now().ms_since(asked_at) }),
    );
}

/// Another entry asks for a renewal.
pub(crate) fn hear_ask(node: &Arc<Node>, ask: &LeaseAsk) {
    let Some(record) = ask.state.as_ref().map(record) else {
        return;
    };
    if ask.by != node.options.entry || !node.relay.take(node.now(), &record) {
        return;
    }
    tokio::spawn(write(Arc::clone(node), record, ask.version));
}

async fn write(node: Arc<Node>, record: LeaseRecord, version: u64) {
    let op = PlatformOp::Write {
        key: node.options.keys.lease.clone(),
        expect: Expect::Version(Version(version)),
        // Names and numbers always serialise.
        value: serde_json::to_vec(&record).unwrap_or_default(),
    };
    let result = node.store.call(&op).await;
    let PlatformResult::Written(version) = result else {
        return;
    };
    node.relay.took(node.now(), &record, version.0);
    node.peers.wake.notify_one();
}
