//! Finds other entries through the platform's list of entries.

use base::{PlatformOp, PlatformResult, Precondition};
use direct::WatchRole;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

use super::introduction::introduce;
use crate::platform_watch::Collection;
use crate::shared_watch::role;
use crate::state::Node;
use crate::state::peers::Peers;
use crate::state::unreadable::ObjectKind;
use crate::upstream_rate;

/// Interval at which the list is read by an entry that watches the platform for
/// itself or for others.
const LIST_INTERVAL: Duration = Duration::from_secs(8);

/// Longest interval at which other entries read the list. An entry that starts
/// finds them in the list and sends them messages, after which they read it.
const FOLLOWER_LIST_INTERVAL: Duration = Duration::from_secs(60);

/// Delay before the list is read again after a failed call, or after this entry
/// added itself: other entries that start at the same time add themselves as
/// well.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Delay before the list is read after the platform was restored from an older copy. A
/// list may be some seconds old.
const RESTORED_LIST_DELAY: Duration = Duration::from_secs(3);

/// Time for each entry over which all spread their lists after a restore, so that the
/// platform gets a hundred a second however many entries there are.
const RESTORED_LIST_SPREAD_PER_ENTRY_MS: u64 = 10;

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
    /// Failure domain of the entry.
    #[serde(default)]
    domain: String,
}

/// Keeps this entry's record in the platform up to date and reads those of the
/// others, forever.
pub(crate) async fn register(node: Arc<Node>) {
    let key = format!("{}{}", node.options.keys.entry_prefix, node.options.entry);
    // The `settled` flag of the record that was written last, and the platform's
    // generation before that.
    let mut written = None;
    let mut listed_since = None;
    let mut is_introduced = false;
    loop {
        let listed = list_entries(&node).await;
        let own = listed.as_ref().and_then(|listed| listed.own_record(&node));
        if let Some(listed) = &listed {
            if !std::mem::replace(&mut is_introduced, true) {
                let domain_entries = listed.domain_entries(&node);
                introduce(&node, domain_entries.into_values()).await;
            }
            learn_from_list(&node, listed, &key);
        }
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
            settled: is_settled(&node) && uses_tokens(&node),
            domain: node.options.failure_domain.clone(),
        };
        let is_listed = own.as_ref() == Some(&record);
        // A platform that was restored may have lost the record.
        let state = Some((record.settled, node.generation()));
        let replaced = listed
            .as_ref()
            .is_some_and(|listed| listed.is_unreadable(&key));
        let exists = listed.as_ref().is_some_and(|listed| listed.contains(&key));
        if listed.is_some() && !is_listed && (written != state || replaced) {
            // An address and a flag always serialize.
            let value = serde_json::to_vec(&record).unwrap_or_default();
            let is_written = write_record(&node, &key, exists, value).await;
            written = state.filter(|_| is_written);
        }
        tokio::select! {
            () = wait_for_next_list(&node, is_listed) => {}
            () = node.platform_restored.notified() => wait_after_restore(&node).await,
        }
    }
}

/// Waits until the list is due again, given whether it has this entry's current
/// record. A message of an entry that was not known makes it due, as the number of
/// entries may have changed.
async fn wait_for_next_list(node: &Node, is_listed: bool) {
    let delay = list_delay(is_listed, is_settled(node), list_interval(node));
    sleep(delay.min(LIST_INTERVAL)).await;
    if delay > LIST_INTERVAL {
        // The list is due in either case.
        let _ = timeout(delay - LIST_INTERVAL, node.peers.new_peer.notified()).await;
    }
}

/// Waits until the list can be expected to be of the time after a restore of the
/// platform. All entries read it then, at different moments.
async fn wait_after_restore(node: &Node) {
    let entries = node.peers.address_count().max(1) as u64;
    let delay_ms = node.random() % (entries * RESTORED_LIST_SPREAD_PER_ENTRY_MS);
    sleep(RESTORED_LIST_DELAY + Duration::from_millis(delay_ms)).await;
}

/// Records who precedes this entry, whose key is `key`, and who shares its failure
/// domain.
fn learn_from_list(node: &Node, listed: &EntryList, key: &str) {
    let mut table = node.peers.table.lock();
    if listed.contains(key) {
        table.listed_before = Some(listed.before(key));
    }
    table.listed_names = Some(listed.names(node));
    drop(table);
    let mut domain_entries = listed.domain_entries(node);
    // A list without any entry may be of a time before all of them started.
    if !domain_entries.is_empty() {
        let own_address = node.options.peer_address;
        domain_entries.insert(node.options.entry.clone(), own_address);
        node.start_state.set_domain_entries(domain_entries);
    }
}

/// Returns whether all other entries count this one.
fn is_settled(node: &Node) -> bool {
    node.workspace_quotas.is_settled.load(Ordering::Relaxed)
}

/// Returns whether anything is bounded by tokens that entries share. Otherwise
/// no later process needs to know whether this one was settled.
fn uses_tokens(node: &Node) -> bool {
    let has_workspaces = node
        .config()
        .is_some_and(|config| config.directory.is_some());
    has_workspaces || !upstream_rate::has_no_limits(node)
}

/// Writes this entry's record; `exists` tells whether the list has one.
async fn write_record(node: &Node, key: &str, exists: bool, value: Vec<u8>) -> bool {
    let mut op = PlatformOp::Write {
        key: key.to_owned(),
        precondition: if exists {
            Precondition::Any
        } else {
            Precondition::Absent
        },
        value,
    };
    let mut result = node.platform.call(&op).await;
    // The list may be old and lack a record that an earlier process wrote.
    if result == PlatformResult::Conflict
        && let PlatformOp::Write { precondition, .. } = &mut op
    {
        *precondition = Precondition::Any;
        result = node.platform.call(&op).await;
    }
    matches!(result, PlatformResult::Written(_))
}

/// Returns the interval between two reads of the list by this entry.
fn list_interval(node: &Node) -> Duration {
    if role(node, Collection::Upstreams) == WatchRole::Follower {
        FOLLOWER_LIST_INTERVAL
    } else {
        LIST_INTERVAL
    }
}

/// Returns the time until the list is read again, given whether it has this
/// entry's current record and whether all other entries count this one.
fn list_delay(is_listed: bool, settled: bool, interval: Duration) -> Duration {
    match (is_listed, settled) {
        (true, true) => interval,
        (true, false) => Duration::from_millis(SETTLED_AFTER_MS),
        (false, _) => LIST_RETRY_DELAY,
    }
}

/// The platform's list of entries.
#[derive(Debug, Default)]
struct EntryList {
    /// Records with their keys.
    records: Vec<(String, EntryRecord)>,
    /// Keys of all records.
    keys: Vec<String>,
    /// Keys of the records that can't be decoded.
    unreadable: Vec<String>,
}

impl EntryList {
    /// Returns the names and addresses of the entries of this failure domain.
    fn domain_entries(&self, node: &Node) -> BTreeMap<String, SocketAddr> {
        let prefix = &node.options.keys.entry_prefix;
        let same_domain = self
            .records
            .iter()
            .filter(|(_, record)| record.domain == node.options.failure_domain);
        let entries = same_domain.filter_map(|(key, record)| {
            let name = key.strip_prefix(prefix.as_str())?;
            Some((name.to_owned(), record.peers))
        });
        entries.collect()
    }

    /// Returns the names of all entries.
    fn names(&self, node: &Node) -> BTreeSet<String> {
        let prefix = node.options.keys.entry_prefix.as_str();
        let names = self.keys.iter().filter_map(|key| key.strip_prefix(prefix));
        names.map(str::to_owned).collect()
    }

    /// Returns whether there is a record at a key.
    fn contains(&self, key: &str) -> bool {
        self.keys.iter().any(|listed| listed == key)
    }

    /// Returns the number of records whose keys precede `key`.
    fn before(&self, key: &str) -> usize {
        self.keys
            .iter()
            .filter(|listed| listed.as_str() < key)
            .count()
    }

    /// Returns the record with this entry's address.
    fn own_record(&self, node: &Node) -> Option<EntryRecord> {
        let mut records = self.records.iter().map(|(_, record)| record);
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
            Ok(record) => listed.records.push((key.clone(), record)),
            Err(reason) => {
                node.report_unreadable(ObjectKind::Entry, &key, &value, reason);
                listed.unreadable.push(key.clone());
            }
        }
        listed.keys.push(key);
    }
    node.unreadable
        .retain(ObjectKind::Entry, |key| listed.is_unreadable(key));
    node.peers.set_listed(&listed.records);
    let entries = u32::try_from(listed.records.len().max(1)).unwrap_or(u32::MAX);
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
    /// Adds the addresses of the listed entries, and sets their number, which
    /// is at least 1 for this entry.
    fn set_listed(&self, records: &[(String, EntryRecord)]) {
        let mut table = self.table.lock();
        for (_, record) in records {
            if table.addresses.insert(record.peers) {
                table.message_rounds.on_new_peers();
            }
        }
        for (_, record) in records {
            table.domains.insert(record.peers, record.domain.clone());
        }
        let listed = records.iter().map(|(_, record)| record);
        table.listed_addresses = listed
            .map(|record| (record.peers, record.domain.clone()))
            .collect();
        table.listed_entries = records.len().max(1);
    }
}
