//! Finds other entries through the platform's list of entries.

use base::{PlatformOp, PlatformResult, Precondition};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::state::Node;
use crate::state::peers::Peers;
use crate::state::unreadable::ObjectKind;

/// Interval at which the list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(8);

/// Delay before the list is read again after a failed call, or after this entry
/// added itself: other entries that start at the same time add themselves as
/// well.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Time after which all other entries count an entry that is in the list. Most
/// learn of it within two seconds; those that its messages don't reach read the
/// list every eight seconds.
const SETTLED_AFTER_MS: u64 = 5_000;

/// An entry's record in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct EntryRecord {
    /// Address of the entry's UDP socket for messages between entries.
    peers: SocketAddr,
    /// Whether the entry has been listed for long enough that all others count
    /// it.
    #[serde(default)]
    settled: bool,
}

/// Keeps this entry's record in the platform up to date and reads those of the
/// others, forever.
pub(crate) async fn register(node: Arc<Node>) {
    let key = format!("{}{}", node.options.keys.entry_prefix, node.options.entry);
    // The `settled` flag of the record that was written last.
    let mut written_settled = None;
    let mut listed_since = None;
    loop {
        let listed = list_entries(&node).await;
        let own = listed.as_ref().and_then(|listed| listed.own_record(&node));
        let now = node.now();
        if let Some(own) = &own {
            let since = *listed_since.get_or_insert(now);
            if own.settled || now.ms_since(since) >= SETTLED_AFTER_MS {
                node.workspace_quotas
                    .is_settled
                    .store(true, Ordering::Relaxed);
            }
        }
        let record = EntryRecord {
            peers: node.options.peer_address,
            settled: node.workspace_quotas.is_settled.load(Ordering::Relaxed),
        };
        let is_listed = own.as_ref() == Some(&record);
        let replaced = listed
            .as_ref()
            .is_some_and(|listed| listed.is_unreadable(&key));
        if listed.is_some()
            && !is_listed
            && (written_settled != Some(record.settled) || replaced)
        {
            // An address and a flag always serialize.
            let value = serde_json::to_vec(&record).unwrap_or_default();
            let op = PlatformOp::Write {
                key: key.clone(),
                precondition: Precondition::Any,
                value,
            };
            let result = node.platform.call(&op).await;
            let is_written = matches!(result, PlatformResult::Written(_));
            written_settled = is_written.then_some(record.settled);
        }
        tokio::time::sleep(list_delay(is_listed, record.settled)).await;
    }
}

/// Returns the time until the list is read again, given whether it has this
/// entry's current record and whether all other entries count this one.
fn list_delay(is_listed: bool, settled: bool) -> Duration {
    match (is_listed, settled) {
        (true, true) => LIST_INTERVAL,
        (true, false) => Duration::from_millis(SETTLED_AFTER_MS),
        (false, _) => LIST_RETRY_DELAY,
    }
}

/// The platform's list of entries.
#[derive(Debug, Default)]
struct EntryList {
    records: Vec<EntryRecord>,
    /// Keys of the records that can't be decoded.
    unreadable: Vec<String>,
}

impl EntryList {
    /// Returns the record with this entry's address.
    fn own_record(&self, node: &Node) -> Option<EntryRecord> {
        let mut records = self.records.iter();
        records
            .find(|record| record.peers == node.options.peer_address)
            .cloned()
    }

    /// Returns whether there is a record at a key that can't be decoded.
    fn is_unreadable(&self, key: &str) -> bool {
        self.unreadable.iter().any(|unreadable| unreadable == key)
    }
}

/// Reads the list of entries, and adopts their addresses and number. Returns
/// `None` if the call failed.
async fn list_entries(node: &Node) -> Option<EntryList> {
    let prefix = node.options.keys.entry_prefix.clone();
    // An outdated list will do: new entries announce themselves.
    let result = node.platform.list_allow_stale(prefix).await;
    let PlatformResult::Objects(objects, _) = result else {
        return None;
    };
    let mut listed = EntryList::default();
    for (key, _, value) in objects {
        match parse_record(&value) {
            Ok(record) => listed.records.push(record),
            Err(reason) => {
                node.report_unreadable(ObjectKind::Entry, &key, &value, reason);
                listed.unreadable.push(key);
            }
        }
    }
    node.unreadable
        .retain(ObjectKind::Entry, |key| listed.is_unreadable(key));
    let entries = node.peers.set_listed(&listed.records);
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    node.retry_budget.lock().set_entries(entries);
    Some(listed)
}

/// Decodes an entry's record. A record without a usable address is invalid.
fn parse_record(value: &[u8]) -> Result<EntryRecord, String> {
    let record: EntryRecord =
        serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let ip = record.peers.ip();
    if record.peers.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err("the address can't be that of an entry".to_owned());
    }
    Ok(record)
}

impl Peers {
    /// Adds the addresses of the listed entries, and returns their number,
    /// which is at least 1 for this entry.
    fn set_listed(&self, records: &[EntryRecord]) -> usize {
        let mut table = self.table.lock();
        for record in records {
            table.addresses.insert(record.peers);
        }
        table.listed_entries = records.len().max(1);
        table.listed_entries
    }
}
