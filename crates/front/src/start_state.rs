//! Transfer of the state of platform objects to entries that start, or whose watch was
//! cut off.
//!
//! An entry asks others of its failure domain before it lists from the platform; see
//! [`direct::start_sources`]. The answer comes in parts, each a datagram. An entry that
//! starts itself answers as soon as it has listed.

use base::prelude::*;
use direct::{ChangedObject, WatchBatch, start_sources};
use parking_lot::Mutex;
use prost::Message;
use schema::peer::{PeerNews, StateAsk, StatePart};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::packed_batches::{pack_batches, unpack_batches};
use crate::platform_watch::{Collection, apply_start_state};
use crate::state::Node;

/// Longest wait for the platform's list of entries, which tells whom to ask. It is empty
/// when all entries start for the first time.
const LISTED_WAIT: Duration = Duration::from_millis(2_000);

/// Longest wait for the state of an entry that starts, and of one whose watch was cut
/// off, which serves meanwhile by what it knows.
pub(crate) const START_WAIT: Duration = Duration::from_millis(1_200);
pub(crate) const RESUME_WAIT: Duration = Duration::from_millis(500);

/// Interval after which the next entry is asked.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which the question of an entry is kept until this one has the state.
const ASK_KEPT_MS: u64 = 1_500;

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
    /// Parts that were received of each collection, and their version and number.
    received: [Mutex<ReceivedParts>; 2],
    changed: Notify,
    /// Entries that wait for the state until this one has it.
    waiting: [Mutex<Vec<(Instant, SocketAddr)>>; 2],
}

#[derive(Debug, Default)]
struct ReceivedParts {
    version: u64,
    count: u32,
    confirmed_at: Instant,
    parts: BTreeMap<u32, Vec<ChangedObject>>,
}

impl StartState {
    /// Sets the entries of this failure domain, this one among them.
    pub(crate) fn set_domain_entries(&self, entries: BTreeMap<String, SocketAddr>) {
        *self.domain_entries.lock() = Some(entries);
        self.listed.notify_waiters();
    }

    /// Takes a complete state, with its version and the time of its confirmation.
    fn take_complete(
        &self,
        collection: Collection,
    ) -> Option<(u64, Instant, Vec<ChangedObject>)> {
        let mut received = self.received[collection as usize].lock();
        if received.count == 0 || received.parts.len() < received.count as usize {
            return None;
        }
        let received = std::mem::take(&mut *received);
        let objects = received.parts.into_values().flatten().collect();
        Some((received.version, received.confirmed_at, objects))
    }
}

/// Gets the state of a collection from another entry and applies it. Returns false if
/// this entry has to list it from the platform.
pub(crate) async fn fetch(
    node: &Node,
    collection: Collection,
    max_wait: Duration,
) -> bool {
    let Some(entries) = domain_entries(node).await else {
        return false;
    };
    let names: Vec<String> = entries.keys().cloned().collect();
    let sources = start_sources(&names, &node.options.entry);
    if sources.is_empty() {
        return false;
    }
    node.start_state.received[collection as usize].lock().count = 0;
    let asked_at = node.now();
    for source in sources.iter().cycle() {
        let waited = node.now().since(asked_at);
        if waited >= max_wait {
            break;
        }
        ask(node, collection, entries[*source]).await;
        let ask_end = node.now() + ASK_INTERVAL.min(max_wait.saturating_sub(waited));
        while node.now() < ask_end {
            let changed = node.start_state.changed.notified();
            if let Some(state) = node.start_state.take_complete(collection) {
                let (version, confirmed_at, objects) = state;
                let is_applied = apply_start_state(
                    node,
                    collection,
                    version,
                    confirmed_at,
                    &objects,
                );
                log_result(node, collection, source, asked_at, is_applied);
                return is_applied;
            }
            // The next iteration checks, whether it was notified or timed out.
            let _ = timeout(ask_end.since(node.now()), changed).await;
        }
    }
    log_result(node, collection, sources[0], asked_at, false);
    false
}

fn log_result(
    node: &Node,
    collection: Collection,
    source: &str,
    asked_at: Instant,
    received: bool,
) {
    node.log.line(
        "start_state",
        json!({ "followed": collection.as_str(), "asked": source, "received": received,
            "ms": node.now().ms_since(asked_at) }),
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
        }),
        ..PeerNews::default()
    };
    send(node, address, &message).await;
}

async fn send(node: &Node, address: SocketAddr, message: &PeerNews) {
    let bytes = message.encode_to_vec();
    if let Some(socket) = node.peers.socket.get() {
        node.metrics
            .count_peer_messages("sent", "start_state", 1, bytes.len());
        // A lost message is asked for again.
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Handles a message that asks for the state or carries a part of it. Returns false
/// for any other message.
pub(crate) async fn receive(node: &Node, from: SocketAddr, message: &PeerNews) -> bool {
    if let Some(ask) = &message.state_ask {
        let collection = collection(ask.upstreams);
        if !answer(node, collection, from).await {
            let mut waiting = node.start_state.waiting[collection as usize].lock();
            waiting.retain(|(_, address)| *address != from);
            waiting.push((node.now(), from));
        }
        return true;
    }
    if let Some(part) = &message.state_part {
        receive_part(node, part);
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
            answer(node, collection, address).await;
        }
    }
}

/// Sends the state of a collection. Returns false if this entry doesn't have it, or
/// has heard nothing of the platform lately.
async fn answer(node: &Node, collection: Collection, address: SocketAddr) -> bool {
    let Some(state) = node.shared_watches.snapshot(collection) else {
        return false;
    };
    let age_ms = node.now().ms_since(state.confirmed_at);
    if age_ms > STATE_MAX_AGE_MS {
        return false;
    }
    let parts = split(state.objects);
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    for (number, objects) in (0..).zip(parts) {
        let batch = WatchBatch {
            after_version: 0,
            to_version: state.version,
            objects,
            is_partial: false,
        };
        let message = PeerNews {
            entry: node.options.entry.clone(),
            start: node.started_unix_ms,
            state_part: Some(StatePart {
                upstreams: collection == Collection::Upstreams,
                version: state.version,
                age_ms,
                number,
                count,
                packed: pack_batches(&[batch], usize::MAX),
            }),
            ..PeerNews::default()
        };
        send(node, address, &message).await;
    }
    true
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

fn receive_part(node: &Node, part: &StatePart) {
    let Some(batch) = unpack_batches(&part.packed).pop() else {
        return;
    };
    let collection = collection(part.upstreams);
    let mut received = node.start_state.received[collection as usize].lock();
    if received.version != part.version || received.count != part.count {
        *received = ReceivedParts {
            version: part.version,
            count: part.count,
            confirmed_at: node.now() - Duration::from_millis(part.age_ms),
            parts: BTreeMap::new(),
        };
    }
    received.parts.insert(part.number, batch.objects);
    drop(received);
    node.start_state.changed.notify_waiters();
}
