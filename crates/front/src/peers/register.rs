//! Finding other entries by the platform's list of them.

use base::{Expect, PlatformOp, PlatformResult};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::state::Node;
use crate::state::peers::Peers;
use crate::state::unread::Kind;

/// Time between two looks at the platform's list of entries.
const LIST_EVERY: Duration = Duration::from_secs(8);

/// Pause before the list is read again after a failed call, and after this entry
/// was added to it: others that start at the same moment add theirs.
const LIST_AGAIN: Duration = Duration::from_millis(700);

/// Time after which all others count an entry that has been in the list: they hear of
/// it within two seconds, and those that it does not reach read the list each eight.
const SETTLED_AFTER_MS: u64 = 5_000;

/// An entry's own entry in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct EntryRecord {
    peers: SocketAddr,
    /// Whether it has been here long enough that all others count it.
    #[serde(default)]
    settled: bool,
}

/// Keeps this entry's own entry in the platform and reads the others', for
/// ever.
pub(crate) async fn register(node: Arc<Node>) {
    let key = format!("{}{}", node.options.keys.entry_prefix, node.options.entry);
    let mut written = None;
    let mut known_since = None;
    loop {
        let listed = list_entries(&node).await;
        let own = listed.as_ref().and_then(|listed| listed.own(&node));
        let now = node.now();
        if let Some(own) = &own {
            let since = *known_since.get_or_insert(now);
            if own.settled || now.ms_since(since) >= SETTLED_AFTER_MS {
                node.quota.is_settled.store(true, Ordering::Relaxed);
            }
        }
        let record = EntryRecord {
            peers: node.options.peer_address,
            settled: node.quota.is_settled.load(Ordering::Relaxed),
        };
        let known = own.as_ref() == Some(&record);
        let replaced = listed.as_ref().is_some_and(|listed| listed.unread(&key));
        if listed.is_some() && !known && (written != Some(record.settled) || replaced) {
            // An address serialises into any string.
            let value = serde_json::to_vec(&record).unwrap_or_default();
            let op = PlatformOp::Write {
                key: key.clone(),
                expect: Expect::Any,
                value,
            };
            let result = node.store.call(&op).await;
            let is_written = matches!(result, PlatformResult::Written(_));
            written = is_written.then_some(record.settled);
        }
        tokio::time::sleep(pause(known, record.settled)).await;
    }
}

/// Time until the list is read again.
fn pause(known: bool, settled: bool) -> Duration {
    match (known, settled) {
        (true, true) => LIST_EVERY,
        (true, false) => Duration::from_millis(SETTLED_AFTER_MS),
        (false, _) => LIST_AGAIN,
    }
}

/// The platform's list of entries.
#[derive(Debug, Default)]
struct Listed {
    records: Vec<EntryRecord>,
    /// Keys of those that can't be read.
    unread: Vec<String>,
}

impl Listed {
    /// The record at this entry's address.
    fn own(&self, node: &Node) -> Option<EntryRecord> {
        let mut records = self.records.iter();
        records
            .find(|record| record.peers == node.options.peer_address)
            .cloned()
    }

    /// Whether there is an entry under a key, and can't be read.
    fn unread(&self, key: &str) -> bool {
        self.unread.iter().any(|unread| unread == key)
    }
}

async fn list_entries(node: &Node) -> Option<Listed> {
    let prefix = node.options.keys.entry_prefix.clone();
    // Entries that came a moment ago say so themselves.
    let result = node.store.list_maybe_old(prefix).await;
    let PlatformResult::Objects(objects, _) = result else {
        return None;
    };
    let mut listed = Listed::default();
    for (key, _, value) in objects {
        match read(&value) {
            Ok(record) => listed.records.push(record),
            Err(why) => {
                node.tell_unread(Kind::Entry, &key, &value, why);
                listed.unread.push(key);
            }
        }
    }
    node.unread.retain(Kind::Entry, |key| listed.unread(key));
    let entries = node.peers.listed(&listed.records);
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    node.repeats.lock().set_entries(entries);
    Some(listed)
}

/// Reads an entry's record; one that can't be told anything is none.
fn read(value: &[u8]) -> Result<EntryRecord, String> {
    let record: EntryRecord =
        serde_json::from_slice(value).map_err(|fault| fault.to_string())?;
    let ip = record.peers.ip();
    if record.peers.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err("the address is none of an entry".to_owned());
    }
    Ok(record)
}

impl Peers {
    fn listed(&self, records: &[EntryRecord]) -> usize {
        let mut table = self.table.lock();
        for record in records {
            table.addresses.insert(record.peers);
        }
        table.registered = records.len().max(1);
        table.registered
    }
}
