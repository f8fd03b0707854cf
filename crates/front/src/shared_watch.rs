//! Shares the watches of the platform among the entries of a failure domain: a
//! leader watches and passes changes on to the others.

use base::prelude::*;
use base::{PlatformOp, PlatformResult};
use direct::{ChangedObject, SharedWatch, WatchBatch, WatchRole};
use parking_lot::Mutex;
use schema::peer::{PeerNews, Watched, WatchedBatch, WatchedObject};
use serde_json::json;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::platform_watch::{Collection, apply_changes};
use crate::state::Node;

/// Time after which the platform ends the leader's watch even without a change.
/// Each response shows the followers that the platform is reachable; after 1.3
/// s without one they start a watch of their own.
const LEADER_WATCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between the starts of two watches of the leader. Each watch is a
/// call; changes in between arrive with the next one.
const LEADER_WATCH_INTERVAL: Duration = Duration::from_millis(800);

/// Longest interval between two checks whether a watch of this entry's own is
/// due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The shared watch of each collection.
#[derive(Debug, Default)]
pub(crate) struct SharedWatches {
    config: Mutex<SharedWatch>,
    upstreams: Mutex<SharedWatch>,
    /// Notified when there are observations to pass on.
    pub(crate) observed: Notify,
    /// Notified when a watch of this entry's own is due.
    due: Notify,
    /// The role last logged for each collection.
    roles: Mutex<[Option<WatchRole>; 2]>,
}

impl SharedWatches {
    fn watch(&self, collection: Collection) -> &Mutex<SharedWatch> {
        match collection {
            Collection::Config => &self.config,
            Collection::Upstreams => &self.upstreams,
        }
    }

    /// Records that a list call of this entry's own returned everything up to
    /// `version`.
    pub(crate) fn record_list(
        &self,
        now: Instant,
        collection: Collection,
        version: u64,
    ) {
        self.watch(collection).lock().on_listed(now, version);
    }

    /// Records that a call of this entry's own failed.
    pub(crate) fn record_failure(&self, collection: Collection) {
        self.watch(collection).lock().on_failed();
    }

    /// Records that a watch of this entry's own succeeded, to be passed on to
    /// followers.
    pub(crate) fn record_watch(
        &self,
        now: Instant,
        collection: Collection,
        batch: WatchBatch,
    ) {
        self.watch(collection).lock().on_watched(now, batch);
        self.observed.notify_one();
    }

    /// Returns whether other entries may rely on this entry's watches.
    pub(crate) fn are_working(&self) -> bool {
        self.config.lock().is_working() && self.upstreams.lock().is_working()
    }
}

/// Returns this entry's role in the watches of its failure domain.
pub(crate) fn role(node: &Node, collection: Collection) -> WatchRole {
    if node.shutdown.is_stopping() {
        return WatchRole::Independent;
    }
    let others = node
        .peers
        .watchers(node.now(), &node.options.failure_domain);
    let shared = node.shared_watches.watch(collection).lock();
    let role = shared.role(&node.options.entry, &others);
    drop(shared);
    log_role_change(node, collection, role, others.len());
    role
}

/// Logs a change of role.
fn log_role_change(
    node: &Node,
    collection: Collection,
    role: WatchRole,
    others: usize,
) {
    let mut roles = node.shared_watches.roles.lock();
    let before = roles[collection as usize].replace(role);
    drop(roles);
    if before != Some(role) {
        node.log.line(
            "watch_role",
            json!({ "followed": collection.as_str(), "role": role.as_str(),
                "before": before.map(WatchRole::as_str), "others": others }),
        );
    }
}

/// Executes a watch. For a leader it has a short timeout.
pub(crate) async fn watch_platform(
    node: &Node,
    collection: Collection,
    op: &PlatformOp,
) -> PlatformResult {
    match op {
        PlatformOp::Watch { prefix, after }
            if role(node, collection) == WatchRole::Leader =>
        {
            let watch = node.platform.watch_with_timeout(
                prefix.clone(),
                *after,
                LEADER_WATCH_TIMEOUT,
            );
            watch.await
        }
        _ => node.platform.call(op).await,
    }
}

/// Waits until the next watch of this entry's own is due. The last one started
/// at `started_at`.
pub(crate) async fn wait_for_next_watch(
    node: &Node,
    collection: Collection,
    started_at: Instant,
) {
    if role(node, collection) == WatchRole::Leader {
        let elapsed = node.now().since(started_at);
        sleep(LEADER_WATCH_INTERVAL.saturating_sub(elapsed)).await;
    } else {
        sleep(collection.watch_pause()).await;
    }
    loop {
        let due = node.shared_watches.due.notified();
        let follows = role(node, collection) == WatchRole::Follower;
        if !follows
            || !node
                .shared_watches
                .watch(collection)
                .lock()
                .can_skip_own_watch(node.now())
        {
            return;
        }
        // The next iteration checks, whether it was notified or timed out.
        let _ = timeout(CHECK_INTERVAL, due).await;
    }
}

/// Handles what another entry's watches observed.
pub(crate) fn receive(node: &Node, message: &PeerNews) {
    if message.domain != node.options.failure_domain {
        return;
    }
    let kinds = [
        (Collection::Config, &message.setup),
        (Collection::Upstreams, &message.upstreams),
    ];
    for (collection, watched) in kinds {
        if let Some(watched) = watched {
            receive_watched(node, collection, watched);
        }
    }
}

/// Applies what the leader's watch of one collection observed.
fn receive_watched(node: &Node, collection: Collection, watched: &Watched) {
    let now = node.now();
    let confirmed_at = now - Duration::from_millis(watched.age_ms);
    let batches = watched.batches.iter().map(decode_batch).collect();
    let mut shared = node.shared_watches.watch(collection).lock();
    let received = shared.receive(confirmed_at, batches);
    drop(shared);
    for batch in &received.new_batches {
        apply_changes(node, collection, &batch.objects);
    }
    if let Some(version) = received.known_version {
        collection.confirm(node, version, confirmed_at);
    }
    if received.needs_own_watch {
        node.shared_watches.due.notify_waiters();
    }
}

/// Returns what this entry's watches observed, if it is the leader.
pub(crate) fn outgoing_batches(node: &Node, collection: Collection) -> Option<Watched> {
    if role(node, collection) != WatchRole::Leader {
        return None;
    }
    let shared = node.shared_watches.watch(collection).lock();
    let batches: Vec<WatchedBatch> =
        shared.outgoing().into_iter().map(encode_batch).collect();
    let confirmed_at = shared.confirmed_at()?;
    Some(Watched {
        age_ms: node.now().ms_since(confirmed_at),
        batches,
    })
}

fn decode_batch(sent: &WatchedBatch) -> WatchBatch {
    let objects = sent.objects.iter();
    let objects = objects.map(|object| ChangedObject {
        key: object.key.clone(),
        version: object.version,
        value: object.value.clone(),
    });
    WatchBatch {
        after_version: sent.after,
        to_version: sent.at,
        objects: objects.collect(),
        is_partial: sent.is_partial,
    }
}

fn encode_batch(batch: WatchBatch) -> WatchedBatch {
    let objects = batch.objects.into_iter();
    let objects = objects.map(|object| WatchedObject {
        key: object.key,
        version: object.version,
        value: object.value,
    });
    WatchedBatch {
        after: batch.after_version,
        at: batch.to_version,
        objects: objects.collect(),
        is_partial: batch.is_partial,
    }
}
