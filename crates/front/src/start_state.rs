//! Transfer of the state of platform objects to entries that start, or whose watch was
//! cut off.
//!
//! An entry asks others of its failure domain before it lists from the platform; see
//! [`direct::start_sources`]. The answer comes in parts, each a datagram. An entry that
//! starts itself answers as soon as it has listed.

use base::ObjectVersion;
use base::prelude::*;
use direct::{ChangedObject, WatchBatch, start_sources};
use parking_lot::{Mutex, MutexGuard};
use prost::Message;
use schema::peer::{PeerNews, StateAsk, StatePart};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::packed_batches::pack_batches;
use crate::platform_watch::{Collection, apply_start_state};
use crate::received_state::ReceivedState;
use crate::state::Node;

/// Longest wait for the platform's list of entries, which determines the entries to
/// ask. It is empty when all entries start for the first time.
const LISTED_WAIT: Duration = Duration::from_millis(2_000);

/// How long an entry waits for the state.
///
/// The time that a source needs grows with the entries and upstreams: it lists while
/// others list, and sends the state to its group. So it is waited for as long as it
/// sends something.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitLimits {
    /// Time without any message of a source.
    max_silence: Duration,
    /// Whole time.
    total: Duration,
}

/// Limits of an entry that starts.
pub(crate) const START_LIMITS: WaitLimits = WaitLimits {
    max_silence: Duration::from_millis(1_200),
    total: Duration::from_millis(3_000),
};

/// Limits of an entry whose watch was cut off. It serves by what it knows, which must
/// not get too old.
pub(crate) const RESUME_LIMITS: WaitLimits = WaitLimits {
    max_silence: Duration::from_millis(500),
    total: Duration::from_millis(1_200),
};

/// Silence of a source after which the next one is asked.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which the question of an entry is kept until this one has the state.
const ASK_KEPT_MS: u64 = 3_000;

/// Age of the state beyond which it is not passed on.
const STATE_MAX_AGE_MS: u64 = 1_300;

/// Size of the objects in one part before compression.
const PART_BYTES: usize = 96 << 10;

/// Transfers of state, by collection.
#[derive(Debug, Default)]
pub(crate) struct StartState {
    /// Names and addresses of the entries of this failure domain in the platform's
    /// list, and of this one; `None` as long as the list contains none of them.
    domain_entries: Mutex<Option<BTreeMap<String, SocketAddr>>>,
    listed: Notify,
    /// What sources sent of each collection.
    received: [Mutex<ReceivedState>; 2],
    changed: Notify,
    /// Entries that wait for the state until this one has it.
    waiting: [Mutex<Vec<(Instant, SocketAddr)>>; 2],
}

impl StartState {
    /// Sets the entries of this failure domain, this one among them.
    pub(crate) fn set_domain_entries(&self, entries: BTreeMap<String, SocketAddr>) {
        *self.domain_entries.lock() = Some(entries);
        self.listed.notify_waiters();
    }

    /// Returns whether an address is that of an entry of this failure domain in the
    /// platform's list.
    fn is_domain_entry(&self, address: SocketAddr) -> bool {
        let entries = self.domain_entries.lock();
        let mut addresses = entries.iter().flat_map(BTreeMap::values);
        addresses.any(|listed| *listed == address)
    }

    /// Keeps the question of an entry until this one has the state.
    fn add_waiting(&self, now: Instant, collection: Collection, address: SocketAddr) {
        let mut waiting = self.waiting[collection as usize].lock();
        waiting.retain(|(_, waiting)| *waiting != address);
        waiting.push((now, address));
    }

    fn received(&self, collection: Collection) -> MutexGuard<'_, ReceivedState> {
        self.received[collection as usize].lock()
    }
}

/// Gets the state of a collection from another entry and applies it. Returns false if
/// this entry has to list it from the platform.
pub(crate) async fn fetch(
    node: &Node,
    collection: Collection,
    limits: WaitLimits,
) -> bool {
    let Some(entries) = domain_entries(node).await else {
        return false;
    };
    let names: Vec<String> = entries.keys().cloned().collect();
    let sources = start_sources(&names, &node.options.entry);
    if sources.is_empty() {
        return false;
    }
    *node.start_state.received(collection) = ReceivedState::default();
    let asked_at = node.now();
    let mut active_at = asked_at;
    for source in sources.iter().cycle() {
        let now = node.now();
        if now.since(active_at) >= limits.max_silence
            || now.since(asked_at) >= limits.total
        {
            break;
        }
        ask(node, collection, entries[*source]).await;
        let mut silent_since = node.now();
        while node.now().since(silent_since) < ASK_INTERVAL
            && node.now().since(asked_at) < limits.total
        {
            let changed = node.start_state.changed.notified();
            let state = node.start_state.received(collection).take_complete();
            if let Some(state) = state {
                let is_applied = apply_start_state(node, collection, &state);
                let count = Some(state.objects.len());
                log_result(node, collection, source, asked_at, is_applied, count);
                return is_applied;
            }
            let source_active_at = node.start_state.received(collection).active_at();
            active_at = active_at.max(source_active_at);
            silent_since = silent_since.max(active_at);
            // The next iteration checks, whether it was notified or timed out.
            let _ = timeout(ASK_INTERVAL, changed).await;
        }
    }
    log_result(node, collection, sources[0], asked_at, false, None);
    false
}

fn log_result(
    node: &Node,
    collection: Collection,
    source: &str,
    asked_at: Instant,
    received: bool,
    objects: Option<usize>,
) {
    node.log.line(
        "start_state",
        json!({ "followed": collection.as_str(), "asked": source, "received": received,
            "objects": objects, "ms": node.now().ms_since(asked_at) }),
    );
}

/// Waits until the platform's list of entries contains one of this failure domain.
/// Returns them, or `None` if it takes too long.
async fn domain_entries(node: &Node) -> Option<BTreeMap<String, SocketAddr>> {
    let wait_end = node.started_at.plus_ms(LISTED_WAIT.as_millis() as u64);
    loop {
        let listed = node.start_state.listed.notified();
        let entries = node.start_state.domain_entries.lock().clone();
        let remaining = wait_end.since(node.now());
        if entries.is_some() || remaining.is_zero() {
            return entries;
        }
        // The next iteration checks, whether it was notified or timed out.
        let _ = timeout(remaining, listed).await;
    }
}

async fn ask(node: &Node, collection: Collection, address: SocketAddr) {
    let message = PeerNews {
        entry: node.options.entry.clone(),
        start: node.started_unix_ms,
        state_ask: Some(StateAsk {
            upstreams: collection == Collection::Upstreams,
            generation: node.platform.generation(),
        }),
        ..PeerNews::default()
    };
    send(node, address, &message).await;
}

async fn send(node: &Node, address: SocketAddr, message: &PeerNews) {
    let bytes = message.encode_to_vec();
    if let Some(socket) = node.peers.socket.get() {
        node.metrics.count_sent(
            "start_state",
            &node.peers.scopes([address]),
            bytes.len(),
        );
        // A lost message is asked for again.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Handles a message that asks for the state or carries a part of it. Returns false
/// for any other message.
pub(crate) async fn receive(node: &Node, from: SocketAddr, message: &PeerNews) -> bool {
    if let Some(ask) = &message.state_ask {
        let collection = collection(ask.upstreams);
        if !answer(node, collection, from, ask.generation).await {
            node.start_state.add_waiting(node.now(), collection, from);
            send_part(node, from, no_part_yet(collection)).await;
        }
        return true;
    }
    if let Some(part) = &message.state_part {
        if node.start_state.is_domain_entry(from) {
            receive_part(node, from, part);
        }
        return true;
    }
    false
}

const fn collection(upstreams: bool) -> Collection {
    if upstreams {
        Collection::Upstreams
    } else {
        Collection::Config
    }
}

/// Sends the state to the entries that asked for it before this one had it.
pub(crate) async fn answer_waiting(node: &Node, collection: Collection) {
    let waiting =
        std::mem::take(&mut *node.start_state.waiting[collection as usize].lock());
    for (asked_at, address) in waiting {
        if node.now().ms_since(asked_at) < ASK_KEPT_MS {
            answer(node, collection, address, 0).await;
        }
    }
}

/// Sends the state of a collection. Returns false if this entry doesn't have it, or
/// only one that is old or of a generation of the platform before `generation`.
async fn answer(
    node: &Node,
    collection: Collection,
    address: SocketAddr,
    generation: u64,
) -> bool {
    let Some(state) = node.shared_watches.snapshot(collection) else {
        return false;
    };
    let age_ms = node.now().ms_since(state.confirmed_at);
    let latest = generation.max(node.platform.generation());
    if age_ms > STATE_MAX_AGE_MS || ObjectVersion(state.version).generation() < latest {
        return false;
    }
    let (digest, version) = (state.digest, ObjectVersion(state.version));
    let parts = split(state.objects);
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    for (number, objects) in (0..).zip(parts) {
        let batch = WatchBatch {
            after_version: 0,
            to_version: state.version,
            objects,
            is_partial: false,
        };
        let part = StatePart {
            upstreams: collection == Collection::Upstreams,
            version: version.revision(),
            generation: version.generation(),
            age_ms,
            number,
            count,
            packed: pack_batches(&[batch], usize::MAX),
            digest,
        };
        send_part(node, address, part).await;
    }
    true
}

/// The answer of an entry that has no state yet and will send it: no part at all.
fn no_part_yet(collection: Collection) -> StatePart {
    StatePart {
        upstreams: collection == Collection::Upstreams,
        ..StatePart::default()
    }
}

async fn send_part(node: &Node, address: SocketAddr, part: StatePart) {
    let message = PeerNews {
        entry: node.options.entry.clone(),
        start: node.started_unix_ms,
        state_part: Some(part),
        ..PeerNews::default()
    };
    send(node, address, &message).await;
}

/// Splits objects into parts of bounded size. There is always at least one part.
fn split(objects: Vec<ChangedObject>) -> Vec<Vec<ChangedObject>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for object in objects {
        bytes += object.key.len() + object.value.len();
        if bytes > PART_BYTES && parts.last().is_some_and(|part| !part.is_empty()) {
            parts.push(Vec::new());
            bytes = object.key.len() + object.value.len();
        }
        if let Some(part) = parts.last_mut() {
            part.push(object);
        }
    }
    parts
}

fn receive_part(node: &Node, from: SocketAddr, part: &StatePart) {
    let collection = collection(part.upstreams);
    let mut received = node.start_state.received(collection);
    received.add_part(node.now(), from, part);
    drop(received);
    node.start_state.changed.notify_waiters();
}
