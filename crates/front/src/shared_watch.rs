//! Shares the watches of the platform among the entries of a failure domain: a
//! leader watches and passes changes on to the others.

use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResult};
use direct::{
    ChangedObject, OwnWatchReason, SharedWatch, WatchBatch, WatchClaim, WatchRole,
    WatchSnapshot,
};
use parking_lot::Mutex;
use schema::peer::{PeerNews, Watched};
use serde_json::json;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::packed_batches::{decode_batch, pack_batches, unpack_batches};
use crate::platform_watch::{Collection, apply_changes};
use crate::state::Node;
use crate::watched_parts::{PART_MAX_BYTES, WatchedParts, split_watched};

/// Time after which the platform ends a leader's watch even without a change.
/// Each response shows the followers that the platform is reachable; after 1.3
/// s without one they start a watch of their own.
const SHORT_WATCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between the starts of two watches of the leader. Each watch is a
/// call; changes in between arrive with the next one.
const LEADER_WATCH_INTERVAL: Duration = Duration::from_millis(800);

/// Interval at which an entry that the platform refuses, and that another one
/// watches for, tries again.
const REFUSED_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Share of its link that a leader may use to pass on changes, between two of its
/// watches. More than that is left out, and followers watch for it by
/// themselves.
const FORWARDING_LINK_SHARE: f64 = 0.5;

/// Largest and smallest limit of the changes that are passed on at once. More than the
/// largest, in three datagrams, wouldn't fit into the receive buffer of a socket, 208 kB
/// by default, and parts would be lost while a follower is busy.
const MAX_PACKED_BYTES: usize = 3 * PART_MAX_BYTES;
const MIN_PACKED_BYTES: usize = 2 << 10;

/// Longest interval between two checks whether a watch of this entry's own is
/// due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The shared watch of each collection.
#[derive(Debug, Default)]
pub(crate) struct SharedWatches {
    config: Mutex<SharedWatch>,
    upstreams: Mutex<SharedWatch>,
    /// Notified when there are observations of each collection to pass on.
    observed: [Notify; 2],
    /// Notified when a watch of this entry's own is due.
    due: Notify,
    /// The role last logged for each collection.
    roles: Mutex<[Option<WatchRole>; 2]>,
    /// The parts of larger changes that the leader has sent of each collection.
    received_parts: [Mutex<WatchedParts>; 2],
    /// The reason last logged for which a follower watches by itself.
    own_watch_reasons: Mutex<[Option<OwnWatchReason>; 2]>,
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
        objects: &[ChangedObject],
    ) {
        let watch = self.watch(collection);
        watch.lock().on_listed(now, version, objects);
        self.observed[collection as usize].notify_one();
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
        self.observed[collection as usize].notify_one();
    }

    /// Returns whether the state at a version is at least as new as the known one.
    pub(crate) fn is_current(&self, collection: Collection, version: u64) -> bool {
        version >= self.watch(collection).lock().known_version()
    }

    /// Records the state that another entry passed on.
    pub(crate) fn record_snapshot(
        &self,
        now: Instant,
        collection: Collection,
        confirmed_at: Instant,
        version: u64,
        objects: &[ChangedObject],
    ) {
        let mut watch = self.watch(collection).lock();
        watch.on_snapshot(now, confirmed_at, version, objects);
    }

    /// Returns the state to pass on to an entry that starts.
    pub(crate) fn snapshot(&self, collection: Collection) -> Option<WatchSnapshot> {
        self.watch(collection).lock().snapshot()
    }

    /// Returns whether any state of a collection is known.
    pub(crate) fn has_state(&self, collection: Collection) -> bool {
        self.watch(collection).lock().has_state()
    }

    /// Returns whether the state has to be listed from the platform.
    pub(crate) fn needs_list(&self, now: Instant, collection: Collection) -> bool {
        self.watch(collection).lock().needs_list(now)
    }

    /// Waits until a watch of this entry's own returned something to pass on.
    pub(crate) async fn observed(&self) -> Collection {
        let [config, upstreams] = &self.observed;
        tokio::select! {
            () = config.notified() => Collection::Config,
            () = upstreams.notified() => Collection::Upstreams,
        }
    }

    /// Returns the version after which this entry's next watch starts.
    pub(crate) fn resume_version(&self, collection: Collection) -> ObjectVersion {
        ObjectVersion(self.watch(collection).lock().resume_version())
    }

    /// Returns why this entry's own watch could return something new now.
    fn own_watch_reason(
        &self,
        now: Instant,
        collection: Collection,
        generation: u64,
    ) -> Option<OwnWatchReason> {
        let watch = self.watch(collection).lock();
        watch.own_watch_reason(now, generation)
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

/// Executes a watch. It has a short timeout for a leader, and after a call that failed:
/// the platform may return while a call that it doesn't answer is waited for.
pub(crate) async fn watch_platform(
    node: &Node,
    collection: Collection,
    op: &PlatformOp,
    after_failure: bool,
) -> PlatformResult {
    match op {
        PlatformOp::Watch { prefix, after }
            if after_failure || role(node, collection) == WatchRole::Leader =>
        {
            let watch = node.platform.watch_with_timeout(
                prefix.clone(),
                *after,
                SHORT_WATCH_TIMEOUT,
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
        if !is_covered(node, collection) {
            return;
        }
        // The next iteration checks, whether it was notified or timed out.
        let _ = timeout(CHECK_INTERVAL, due).await;
    }
}

/// Returns whether another entry watches for this one, so that a watch of its
/// own would return nothing new.
pub(crate) fn is_covered(node: &Node, collection: Collection) -> bool {
    if role(node, collection) != WatchRole::Follower {
        return false;
    }
    let generation = node.platform.generation();
    let watches = &node.shared_watches;
    let reason = watches.own_watch_reason(node.now(), collection, generation);
    log_own_watch(node, collection, reason);
    reason.is_none()
}

/// Logs that a follower begins to watch by itself, and why.
fn log_own_watch(node: &Node, collection: Collection, reason: Option<OwnWatchReason>) {
    let mut reasons = node.shared_watches.own_watch_reasons.lock();
    let before = std::mem::replace(&mut reasons[collection as usize], reason);
    drop(reasons);
    if let Some(reason) = reason.filter(|_| before != reason) {
        let version = node.shared_watches.resume_version(collection);
        node.log.line(
            "own_watch",
            json!({ "followed": collection.as_str(), "why": reason.as_str(),
                "after": version.0 }),
        );
    }
}

/// Waits as long as another entry watches for this one, whose own call has failed.
/// From time to time it has to try again: an entry whose watch doesn't work is not
/// counted among those that share one.
pub(crate) async fn wait_while_covered(node: &Node, collection: Collection) {
    let wait_end = node.now() + REFUSED_RETRY_INTERVAL;
    loop {
        let due = node.shared_watches.due.notified();
        if !is_covered(node, collection) || node.now() >= wait_end {
            return;
        }
        // The next iteration checks, whether it was notified or timed out.
        let _ = timeout(CHECK_INTERVAL, due).await;
    }
}

/// Handles what another entry's watches observed.
pub(crate) fn receive(node: &Node, message: &PeerNews) {
    let claims = [
        (Collection::Config, &message.setup_claim),
        (Collection::Upstreams, &message.upstreams_claim),
    ];
    for (collection, claim) in claims {
        if let Some(claim) = claim {
            receive_claim(node, collection, &message.entry, claim);
        }
    }
    receive_forwarded(node, message);
}

/// Handles a message with a part after the first of larger changes. Returns false for any
/// other message.
pub(crate) fn receive_part(node: &Node, message: &PeerNews) -> bool {
    let mut watched = message.setup.iter().chain(&message.upstreams);
    let is_later_part = watched.any(|watched| watched.number > 0);
    if is_later_part {
        receive_forwarded(node, message);
    }
    is_later_part
}

/// Applies what the leader of this failure domain passed on.
fn receive_forwarded(node: &Node, message: &PeerNews) {
    if message.domain != node.options.failure_domain {
        return;
    }
    let kinds = [
        (Collection::Config, &message.setup),
        (Collection::Upstreams, &message.upstreams),
    ];
    for (collection, watched) in kinds {
        let Some(watched) = watched else { continue };
        let received = &node.shared_watches.received_parts[collection as usize];
        let whole = received.lock().add(watched);
        if let Some(whole) = whole {
            receive_watched(node, collection, &whole);
        }
    }
}

/// Applies what the leader's watch of one collection observed.
fn receive_watched(node: &Node, collection: Collection, watched: &Watched) {
    let now = node.now();
    let confirmed_at = now - Duration::from_millis(watched.age_ms);
    let mut batches: Vec<WatchBatch> =
        watched.batches.iter().map(decode_batch).collect();
    batches.extend(unpack_batches(&watched.packed));
    let mut shared = node.shared_watches.watch(collection).lock();
    let received = shared.receive(confirmed_at, batches);
    drop(shared);
    if let Some(version) = received.known_version {
        node.observe_generation(ObjectVersion(version).generation());
    }
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

/// Returns what this entry's watches observed, in parts that each fit into a message;
/// none if it isn't the leader.
pub(crate) fn outgoing_parts(node: &Node, collection: Collection) -> Vec<Watched> {
    if role(node, collection) != WatchRole::Leader {
        return Vec::new();
    }
    outgoing(node, collection).map_or_else(Vec::new, split_watched)
}

fn outgoing(node: &Node, collection: Collection) -> Option<Watched> {
    let shared = node.shared_watches.watch(collection).lock();
    let (batches, confirmed_at) = (shared.outgoing(), shared.confirmed_at()?);
    drop(shared);
    let packed = pack_batches(&batches, max_packed_bytes(node));
    Some(Watched {
        age_ms: node.now().ms_since(confirmed_at),
        packed,
        ..Watched::default()
    })
}

/// Returns the largest size of the changes that are passed on at once, to each entry of this failure domain.
fn max_packed_bytes(node: &Node) -> usize {
    let domain = &node.options.failure_domain;
    let followers = node.peers.addresses_in_domain(node.now(), domain).len();
    let link_bytes_per_s = node.options.link_mbps * 1e6 / 8.0;
    let interval_s = LEADER_WATCH_INTERVAL.as_secs_f64();
    let bytes = link_bytes_per_s * FORWARDING_LINK_SHARE * interval_s;
    let bytes = bytes / followers.max(1) as f64;
    (bytes as usize).clamp(MIN_PACKED_BYTES, MAX_PACKED_BYTES)
}

/// Returns what this entry says about the state that its own watches returned;
/// `None` if it relies on another entry's.
pub(crate) fn outgoing_claim(
    node: &Node,
    collection: Collection,
) -> Option<schema::peer::WatchClaim> {
    if role(node, collection) == WatchRole::Follower {
        return None;
    }
    let shared = node.shared_watches.watch(collection).lock();
    let (claim, confirmed_at) = (shared.claim()?, shared.confirmed_at()?);
    let version = ObjectVersion(claim.version);
    Some(schema::peer::WatchClaim {
        version: version.revision(),
        generation: version.generation(),
        digest: claim.digest,
        age_ms: node.now().ms_since(confirmed_at),
    })
}

/// Compares another entry's claim with what this one knows.
fn receive_claim(
    node: &Node,
    collection: Collection,
    entry: &str,
    claim: &schema::peer::WatchClaim,
) {
    let now = node.now();
    let confirmed_at = now - Duration::from_millis(claim.age_ms);
    let claim = WatchClaim {
        version: ObjectVersion::new(claim.generation, claim.version).0,
        digest: claim.digest,
    };
    let mut shared = node.shared_watches.watch(collection).lock();
    shared.on_claim(now, entry, confirmed_at, claim);
}
