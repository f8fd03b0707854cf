//! The watch of the platform that entries of a failure domain share.

use base::prelude::*;
use base::{PlatformOp, PlatformResult};
use direct::{ChangedObject, SharedWatch, WatchBatch, WatchRole};
use parking_lot::Mutex;
use schema::peer::{PeerNews, Watched, WatchedBatch, WatchedObject};
use serde_json::json;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::follow::{Followed, apply};
use crate::state::Node;

/// Longest time that the platform lets a leader's watch wait. Each answer shows the
/// entries that are told that the platform was heard, and they watch themselves after
/// 1.3 s without.
const LEADER_WAIT: Duration = Duration::from_millis(400);

/// Time between the beginnings of two watches of a leader. Each is a call, and what
/// changes meanwhile comes with the next one.
const LEADER_EVERY: Duration = Duration::from_millis(800);

/// Longest time between two looks at whether an own watch is due.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// The shared watch of each kind of objects.
#[derive(Debug, Default)]
pub(crate) struct SharedWatches {
    setup: Mutex<SharedWatch>,
    upstreams: Mutex<SharedWatch>,
    /// Told when there is something to pass on.
    pub(crate) seen: Notify,
    /// Told when an own watch is due.
    due: Notify,
    /// Roles that were told of.
    roles: Mutex<[Option<WatchRole>; 2]>,
}

impl SharedWatches {
    fn of(&self, followed: Followed) -> &Mutex<SharedWatch> {
        match followed {
            Followed::Setup => &self.setup,
            Followed::Upstreams => &self.upstreams,
        }
    }

    /// An own list was answered.
    pub(crate) fn listed(&self, now: Instant, followed: Followed, at: u64) {
        self.of(followed).lock().on_listed(now, at);
    }

    /// An own call was not answered.
    pub(crate) fn failed(&self, followed: Followed) {
        self.of(followed).lock().on_failed();
    }

    /// An own watch was answered: others are told of it where they rely on it.
    pub(crate) fn watched(&self, now: Instant, followed: Followed, batch: WatchBatch) {
        self.of(followed).lock().on_watched(now, batch);
        self.seen.notify_one();
    }

    /// Whether others may rely on this entry's watches.
    pub(crate) fn works(&self) -> bool {
        self.setup.lock().is_working() && self.upstreams.lock().is_working()
    }
}

/// What this entry does for the watch of its failure domain.
pub(crate) fn role(node: &Node, followed: Followed) -> WatchRole {
    if node.stop.is_stopping() {
        return WatchRole::Independent;
    }
    let others = node
        .peers
        .watchers(node.now(), &node.options.failure_domain);
    let shared = node.shared.of(followed).lock();
    let role = shared.role(&node.options.entry, &others);
    drop(shared);
    tell_role(node, followed, role, others.len());
    role
}

/// Tells of a role that this entry has taken.
fn tell_role(node: &Node, followed: Followed, role: WatchRole, others: usize) {
    let mut roles = node.shared.roles.lock();
    let before = roles[followed as usize].replace(role);
    drop(roles);
    if before != Some(role) {
        node.log.line(
            "watch_role",
            json!({ "followed": followed.as_str(), "role": role.as_str(),
                "before": before.map(WatchRole::as_str), "others": others }),
        );
    }
}

/// Calls for a watch, which a leader has answered soon in any case.
pub(crate) async fn call_watch(
    node: &Node,
    followed: Followed,
    op: &PlatformOp,
) -> PlatformResult {
    match op {
        PlatformOp::Watch { prefix, after }
            if role(node, followed) == WatchRole::Leader =>
        {
            let watch = node.store.watch_within(prefix.clone(), *after, LEADER_WAIT);
            watch.await
        }
        _ => node.store.call(op).await,
    }
}

/// Waits until the next own watch is due, where the last one began at a time.
pub(crate) async fn rest(node: &Node, followed: Followed, began_at: Instant) {
    if role(node, followed) == WatchRole::Leader {
        let spent = node.now().since(began_at);
        sleep(LEADER_EVERY.saturating_sub(spent)).await;
    } else {
        sleep(followed.pause()).await;
    }
    loop {
        let due = node.shared.due.notified();
        let follows = role(node, followed) == WatchRole::Follower;
        if !follows
            || !node
                .shared
                .of(followed)
                .lock()
                .can_skip_own_watch(node.now())
        {
            return;
        }
        // Whether it was told or the time is over, the next look decides.
        let _ = timeout(LOOK_EVERY, due).await;
    }
}

/// Another entry passes on what its watches saw.
pub(crate) fn hear(node: &Node, news: &PeerNews) {
    if news.domain != node.options.failure_domain {
        return;
    }
    let kinds = [
        (Followed::Setup, &news.setup),
        (Followed::Upstreams, &news.upstreams),
    ];
    for (followed, watched) in kinds {
        if let Some(watched) = watched {
            hear_watched(node, followed, watched);
        }
    }
}

fn hear_watched(node: &Node, followed: Followed, watched: &Watched) {
    let now = node.now();
    let confirmed_at = now - Duration::from_millis(watched.age_ms);
    let batches = watched.batches.iter().map(batch).collect();
    let mut shared = node.shared.of(followed).lock();
    let received = shared.receive(confirmed_at, batches);
    drop(shared);
    for batch in &received.new_batches {
        apply(node, followed, &batch.objects);
    }
    if let Some(at) = received.known_version {
        followed.confirm(node, at, confirmed_at);
    }
    if received.needs_own_watch {
        node.shared.due.notify_waiters();
    }
}

/// What this entry's watches saw, if it is the one that tells.
pub(crate) fn to_send(node: &Node, followed: Followed) -> Option<Watched> {
    if role(node, followed) != WatchRole::Leader {
        return None;
    }
    let shared = node.shared.of(followed).lock();
    let batches: Vec<WatchedBatch> =
        shared.outgoing().into_iter().map(message).collect();
    let confirmed_at = shared.confirmed_at()?;
    Some(Watched {
        age_ms: node.now().ms_since(confirmed_at),
        batches,
    })
}

fn batch(sent: &WatchedBatch) -> WatchBatch {
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

fn message(batch: WatchBatch) -> WatchedBatch {
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
