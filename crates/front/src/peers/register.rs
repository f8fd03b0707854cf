//! Finding other entries by the platform's list of them.

use base::{Expect, PlatformOp, PlatformResult};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::Peers;
use crate::node::Node;

/// Time between two looks at the platform's list of entries.
const LIST_EVERY: Duration = Duration::from_secs(8);

/// Pause before the list is read again after a failed call, and after this entry
/// was added to it: others that start at the same moment add theirs.
const LIST_AGAIN: Duration = Duration::from_millis(700);

/// An entry's own entry in the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct EntryRecord {
    peers: SocketAddr,
}

/// Keeps this entry's own entry in the platform and reads the others', for
/// ever.
pub(crate) async fn register(node: Arc<Node>) {
    let key = format!("{}{}", node.options.keys.entry_prefix, node.options.entry);
    let record = EntryRecord {
        peers: node.options.peers,
    };
    // An address serialises into any string.
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let mut written = false;
    loop {
        let listed = list_entries(&node).await;
        let known = listed
            .as_ref()
            .is_some_and(|listed| listed.contains(&record));
        if listed.is_some() && !known && !written {
            let op = PlatformOp::Write {
                key: key.clone(),
                expect: Expect::Any,
                value: value.clone(),
            };
            let result = node.store.call(&op).await;
            written = matches!(result, PlatformResult::Written(_));
        }
        let pause = if known { LIST_EVERY } else { LIST_AGAIN };
        tokio::time::sleep(pause).await;
    }
}

async fn list_entries(node: &Node) -> Option<Vec<EntryRecord>> {
    let prefix = node.options.keys.entry_prefix.clone();
    let result = node.store.call(&PlatformOp::List { prefix }).await;
    let PlatformResult::Objects(objects, _) = result else {
        return None;
    };
    let records: Vec<EntryRecord> = objects
        .iter()
        .filter_map(|(_, _, value)| serde_json::from_slice(value).ok())
        .collect();
    let entries = node.peers.listed(&records);
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    node.repeats.lock().set_entries(entries);
    Some(records)
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
