//! Refused parts of prompts in the platform.
//!
//! Entries tell one another which parts are refused, so an entry that starts learns it
//! from the others. After all of them have ended, the platform's objects are what is
//! left of it. An object is written when a part is refused, deleted when it is released,
//! and read once by an entry that starts.

use base::{PlatformOp, PlatformResult, Precondition};
use parking_lot::Mutex;
use route::PromptPart;
use schema::peer::SuspectPart;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::state::Node;
use crate::state::unreadable::ObjectKind;

/// Delay before a failed call is made again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Number of times that an entry which starts tries to read the objects. After that it
/// relies on what other entries tell it.
const READ_ATTEMPTS: u32 = 5;

/// Name of the platform as a source of evidence.
pub(crate) const PLATFORM: &str = "platform";

/// Parts whose objects are to be written or deleted.
#[derive(Debug, Default)]
pub(crate) struct ChangedParts {
    parts: Mutex<BTreeSet<PromptPart>>,
    changed: Notify,
}

impl ChangedParts {
    /// Records that a part was refused or released.
    pub(crate) fn add(&self, part: &PromptPart) {
        self.parts.lock().insert(part.clone());
        self.changed.notify_one();
    }

    async fn next(&self) -> PromptPart {
        loop {
            let changed = self.changed.notified();
            let next = self.parts.lock().pop_first();
            match next {
                Some(part) => return part,
                None => changed.await,
            }
        }
    }
}

/// A refused part, as the platform keeps it.
#[derive(Debug, Serialize, Deserialize)]
struct RefusedPartRecord {
    service: String,
    part: u64,
    crashes: Vec<u64>,
    requests: Vec<u64>,
    refusals: u32,
    /// When the evidence is forgotten, in Unix milliseconds.
    expires_unix_ms: u64,
}

impl RefusedPartRecord {
    fn from_message(message: SuspectPart) -> Self {
        Self {
            service: message.service,
            part: message.part,
            crashes: message.crashes,
            requests: message.requests,
            refusals: message.refusals,
            expires_unix_ms: unix_now_ms().saturating_add(message.remaining_ms),
        }
    }

    fn into_message(self) -> SuspectPart {
        SuspectPart {
            service: self.service,
            part: self.part,
            crashes: self.crashes,
            requests: self.requests,
            answers: Vec::new(),
            refusals: self.refusals,
            remaining_ms: self.expires_unix_ms.saturating_sub(unix_now_ms()),
        }
    }
}

/// Reads the refused parts if other processes ran before this one, and then keeps the
/// objects up to date, forever.
pub(crate) async fn keep_refused_parts(node: Arc<Node>) {
    if !node.options.is_first_start {
        read_refused_parts(&node).await;
    }
    loop {
        let part = node.changed_parts.next().await;
        if !write_part(&node, &part).await {
            sleep(RETRY_DELAY).await;
            node.changed_parts.add(&part);
        }
    }
}

async fn read_refused_parts(node: &Node) {
    for _ in 0..READ_ATTEMPTS {
        let prefix = node.options.keys.refused_part_prefix.clone();
        let result = node.platform.list_allow_stale(prefix).await;
        if let PlatformResult::Objects(objects, _) = result {
            for (key, _, value) in objects {
                adopt(node, &key, &value).await;
            }
            return;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Adopts a refused part, or deletes its object if it is no longer of use.
async fn adopt(node: &Node, key: &str, value: &[u8]) {
    match serde_json::from_slice::<RefusedPartRecord>(value) {
        Ok(record) if record.expires_unix_ms > unix_now_ms() => {
            node.merge_suspect_parts(PLATFORM, &[record.into_message()]);
        }
        // If this fails, the next entry that starts deletes it.
        Ok(_) => {
            let _ = node.platform.call(&delete(key.to_owned())).await;
        }
        Err(error) => {
            node.report_unreadable(ObjectKind::RefusedPart, key, value, error);
        }
    }
}

/// Writes or deletes the object of a part; returns whether the platform answered.
async fn write_part(node: &Node, part: &PromptPart) -> bool {
    let key = key_of(node, part);
    let refused = node.suspect_parts.lock().refused_message(node.now(), part);
    let op = match refused {
        Some(message) => PlatformOp::Write {
            key,
            precondition: Precondition::Any,
            // Numbers and strings always serialize.
            value: serde_json::to_vec(&RefusedPartRecord::from_message(message))
                .unwrap_or_default(),
        },
        None => delete(key),
    };
    let result = node.platform.call(&op).await;
    !matches!(
        result,
        PlatformResult::Unavailable | PlatformResult::Unanswered
    )
}

const fn delete(key: String) -> PlatformOp {
    PlatformOp::Delete {
        key,
        precondition: Precondition::Any,
    }
}

fn key_of(node: &Node, part: &PromptPart) -> String {
    let name = xxh3_64_with_seed(part.service.as_bytes(), part.part);
    format!("{}{name:016x}", node.options.keys.refused_part_prefix)
}

pub(crate) fn unix_now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
