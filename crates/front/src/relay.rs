//! Renewals of the lease on orders that one entry writes for another.
//!
//! A giver that is cut off from the platform, or that the platform turns away,
//! can order all the same: it reaches upstreams and entries. Without a renewal it
//! would have to stop, and its successor to wait until nothing of it can arrive
//! any more; placement would stand still for seconds while the demand moves on.
//! Another entry therefore writes the renewal. The holder still counts its time
//! from before it asked, so nothing about the lease's safety changes.

use base::prelude::*;
use base::{Expect, PlatformOp, PlatformResult, Version};
use direct::LeaseRecord;
use parking_lot::Mutex;
use schema::peer::{LeaseAsk, LeaseState, LeaseTold};
use serde_json::json;
use std::sync::Arc;

use crate::node::Node;

/// Time for which a renewal written for another entry is told.
const TELL_MS: u64 = 1_500;

/// Time after which another entry is asked.
const ASK_AGAIN_MS: u64 = 700;

/// Renewals under way for this entry and for others.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    asked: Mutex<Option<Asked>>,
    told: Mutex<Option<Told>>,
}

#[derive(Debug, Clone)]
struct Asked {
    at: Instant,
    by: String,
    record: LeaseRecord,
    version: u64,
}

#[derive(Debug)]
struct Told {
    at: Instant,
    record: LeaseRecord,
    /// Version that was written; `None` while the call is under way.
    version: Option<u64>,
}

impl Relay {
    /// This entry could not renew its lease itself: another one is asked.
    pub(crate) fn ask(&self, node: &Node) {
        let now = node.now();
        let mut asked = self.asked.lock();
        let lately = asked
            .as_ref()
            .is_some_and(|asked| now.ms_since(asked.at) < ASK_AGAIN_MS);
        if lately {
            return;
        }
        let renewal = node.lease.lock().next_renewal(now);
        let others = node.peers.heard(now);
        let last = asked.take().map(|asked| asked.by);
        let (Some((record, version)), false) = (renewal, others.is_empty()) else {
            return;
        };
        let after = others.iter().position(|other| Some(other) == last.as_ref());
        let next = after.map_or(0, |index| (index + 1) % others.len());
        *asked = Some(Asked {
            at: now,
            by: others[next].clone(),
            record,
            version,
        });
        drop(asked);
        node.peers.wake.notify_one();
    }

    /// What is asked of another entry now.
    pub(crate) fn asking(&self, now: Instant) -> Option<LeaseAsk> {
        let asked = self.asked.lock();
        let asked = asked.as_ref()?;
        (now.ms_since(asked.at) < ASK_AGAIN_MS).then(|| LeaseAsk {
            by: asked.by.clone(),
            state: Some(state(&asked.record)),
            version: asked.version,
        })
    }

    /// What was written for another entry lately.
    pub(crate) fn telling(&self, now: Instant) -> Option<LeaseTold> {
        let told = self.told.lock();
        let told = told.as_ref()?;
        let version = told.version?;
        (now.ms_since(told.at) < TELL_MS).then(|| LeaseTold {
            state: Some(state(&told.record)),
            version,
        })
    }

    /// Another entry tells what it wrote.
    pub(crate) fn hear_told(&self, node: &Node, told: &LeaseTold) {
        let Some(record) = told.state.as_ref().map(record) else {
            return;
        };
        let mut asked = self.asked.lock();
        let mine = asked.as_ref().filter(|asked| asked.record == record);
        let Some(asked_at) = mine.map(|asked| asked.at) else {
            return;
        };
        *asked = None;
        drop(asked);
        node.lease
            .lock()
            .written(asked_at, told.version, record.clone());
        node.log.line(
            "lease_relayed",
            json!({ "token": record.token, "renewal": record.renewal,
                "asked_ms": node.now().ms_since(asked_at) }),
        );
    }

    /// Another entry asks this one to write its renewal; true if that is new.
    fn take(&self, now: Instant, record: &LeaseRecord) -> bool {
        let mut told = self.told.lock();
        if told.as_ref().is_some_and(|told| told.record == *record) {
            return false;
        }
        *told = Some(Told {
            at: now,
            record: record.clone(),
            version: None,
        });
        true
    }
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
    if let Some(told) = &mut *node.relay.told.lock()
        && told.record == record
    {
        told.version = Some(version.0);
        told.at = node.now();
    }
    node.peers.wake.notify_one();
}

fn state(record: &LeaseRecord) -> LeaseState {
    LeaseState {
        holder: record.holder.clone(),
        start: record.start,
        token: record.token,
        renewal: record.renewal,
    }
}

fn record(state: &LeaseState) -> LeaseRecord {
    LeaseRecord {
        holder: state.holder.clone(),
        start: state.start,
        token: state.token,
        renewal: state.renewal,
    }
}
