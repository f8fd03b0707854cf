//! The connections of entries that are up.

use base::prelude::*;
use parking_lot::Mutex;
use std::collections::HashMap;
use wire::{EstablishedLink, LinkSender};

/// The connections of entries that are up.
#[derive(Debug, Default)]
pub(crate) struct Links {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    by_entry: HashMap<EntryId, Up>,
    next: u64,
}

/// One connection that is up.
#[derive(Debug)]
struct Up {
    /// Tells a connection from an earlier one of the same entry.
    number: u64,
    incarnation: Incarnation,
    sender: LinkSender,
}

/// What came of adding a connection.
#[derive(Debug)]
pub(crate) struct Added {
    pub(crate) number: u64,
    /// An earlier connection of the entry was ended by it.
    pub(crate) replaced: bool,
}

impl Links {
    /// The sending half of an entry's connection.
    pub(crate) fn sender(&self, entry: &EntryId) -> Option<LinkSender> {
        let table = self.table.lock();
        table.by_entry.get(entry).map(|up| up.sender.clone())
    }

    /// The connection of the entry that made an attempt.
    pub(crate) fn sender_of(&self, attempt: AttemptId) -> Option<LinkSender> {
        let table = self.table.lock();
        let mut ups = table.by_entry.values();
        ups.find(|up| up.incarnation.0 == attempt.origin)
            .map(|up| up.sender.clone())
    }

    /// Number of connections that are up.
    pub(crate) fn up(&self) -> usize {
        self.table.lock().by_entry.len()
    }

    /// Ends all connections, once what is queued has been sent or `wait` is
    /// over.
    pub(crate) async fn close(&self, wait: Duration) {
        let ups = std::mem::take(&mut self.table.lock().by_entry);
        let flushed = ups.values().map(|up| up.sender.flushed());
        // An entry that reads nothing must not keep this process from ending.
        let _ = tokio::time::timeout(wait, futures::future::join_all(flushed)).await;
        ups.values().for_each(|up| up.sender.close());
    }

    /// Adds a connection; `None` if a later run of the entry is connected.
    pub(crate) fn add(&self, entry: &EntryId, link: &EstablishedLink) -> Option<Added> {
        let incarnation = Incarnation(link.hello.incarnation);
        let mut table = self.table.lock();
        let earlier = table.by_entry.get(entry);
        if earlier.is_some_and(|up| up.incarnation > incarnation) {
            return None;
        }
        let number = table.next;
        table.next += 1;
        let up = Up {
            number,
            incarnation,
            sender: link.sender.clone(),
        };
        let earlier = table.by_entry.insert(entry.clone(), up);
        if let Some(earlier) = &earlier {
            earlier.sender.close();
        }
        Some(Added {
            number,
            replaced: earlier.is_some(),
        })
    }

    /// Takes a connection out; false if another has replaced it.
    pub(crate) fn remove(&self, entry: &EntryId, number: u64) -> bool {
        let mut table = self.table.lock();
        let held = table.by_entry.get(entry);
        let same = held.is_some_and(|up| up.number == number);
        if same {
            table.by_entry.remove(entry);
        }
        same
    }
}
