//! The links to connected entries.

use base::prelude::*;
use parking_lot::Mutex;
use std::collections::HashMap;
use wire::{EstablishedLink, LinkSender};

/// The links to connected entries, at most one for each entry.
#[derive(Debug, Default)]
pub(crate) struct Links {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    by_entry: HashMap<EntryId, EntryLink>,
    next_id: u64,
}

/// The link to one entry.
#[derive(Debug)]
struct EntryLink {
    /// Distinguishes the link from earlier ones to the same entry.
    id: u64,
    /// Incarnation of the entry.
    incarnation: Incarnation,
    sender: LinkSender,
}

/// A link that was added to [`Links`].
#[derive(Debug)]
pub(crate) struct AddedLink {
    pub(crate) id: u64,
    /// The link replaced an earlier one to the same entry.
    pub(crate) replaced: bool,
}

impl Links {
    /// Returns the sending half of the link to an entry.
    pub(crate) fn sender(&self, entry: &EntryId) -> Option<LinkSender> {
        let table = self.table.lock();
        table.by_entry.get(entry).map(|link| link.sender.clone())
    }

    /// Returns the sending half of the link to the entry that made an attempt.
    pub(crate) fn sender_for_attempt(&self, attempt: AttemptId) -> Option<LinkSender> {
        let table = self.table.lock();
        let mut links = table.by_entry.values();
        links
            .find(|link| link.incarnation.0 == attempt.origin)
            .map(|link| link.sender.clone())
    }

    /// Returns the number of connected entries.
    pub(crate) fn count(&self) -> usize {
        self.table.lock().by_entry.len()
    }

    /// Closes all links once their queued frames have been sent, or after `timeout`.
    pub(crate) async fn close(&self, timeout: Duration) {
        let links = std::mem::take(&mut self.table.lock().by_entry);
        let flushed = links.values().map(|link| link.sender.flushed());
        // An entry that reads nothing must not prevent this process from exiting.
        let _ = tokio::time::timeout(timeout, futures::future::join_all(flushed)).await;
        links.values().for_each(|link| link.sender.close());
    }

    /// Adds a link and closes an earlier one to the same entry; returns `None` if a
    /// later incarnation of the entry is connected.
    pub(crate) fn add(
        &self,
        entry: &EntryId,
        established: &EstablishedLink,
    ) -> Option<AddedLink> {
        let incarnation = Incarnation(established.hello.incarnation);
        let mut table = self.table.lock();
        let earlier = table.by_entry.get(entry);
        if earlier.is_some_and(|link| link.incarnation > incarnation) {
            return None;
        }
        let id = table.next_id;
        table.next_id += 1;
        let link = EntryLink {
            id,
            incarnation,
            sender: established.sender.clone(),
        };
        let earlier = table.by_entry.insert(entry.clone(), link);
        if let Some(earlier) = &earlier {
            earlier.sender.close();
        }
        Some(AddedLink {
            id,
            replaced: earlier.is_some(),
        })
    }

    /// Removes a link; returns false if another link has replaced it.
    pub(crate) fn remove(&self, entry: &EntryId, id: u64) -> bool {
        let mut table = self.table.lock();
        let current = table.by_entry.get(entry);
        let is_current = current.is_some_and(|link| link.id == id);
        if is_current {
            table.by_entry.remove(entry);
        }
        is_current
    }
}
