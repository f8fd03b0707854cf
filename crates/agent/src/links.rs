//! Connections of entries.

use base::prelude::*;
use parking_lot::Mutex;
use role::agent::AgentEvent;
use schema::link::Frame;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::Semaphore;
use wire::{Greeted, Link, LinkReceiver, LinkSender, Listener};

use crate::node::Node;

/// Connections held at once, greeted or not; a cell has a few entries.
///
/// Each holds a task, and its queue once it has greeted. What connects again and
/// again without a word must not take all memory from the entries' work.
const CONNECTIONS_MAX: usize = 128;

/// Pause after the operating system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    number: u64,
    /// An earlier connection of the entry was ended by it.
    replaced: bool,
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
    fn add(&self, entry: &EntryId, link: &Greeted) -> Option<Added> {
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
    fn remove(&self, entry: &EntryId, number: u64) -> bool {
        let mut table = self.table.lock();
        let held = table.by_entry.get(entry);
        let same = held.is_some_and(|up| up.number == number);
        if same {
            table.by_entry.remove(entry);
        }
        same
    }
}

/// Takes connections of entries until the process ends.
pub(crate) async fn accept(node: Arc<Node>, listener: Listener) {
    let places = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let accepted = tokio::select! {
            () = node.exit().cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(link) => {
                let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                    node.meters().refused_links.inc();
                    continue;
                };
                let node = Arc::clone(&node);
                tokio::spawn(async move {
                    let _place = place;
                    let exit = node.exit().clone();
                    tokio::select! {
                        () = exit.cancelled() => {}
                        () = serve(&node, link) => {}
                    }
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve(node: &Arc<Node>, link: Link) {
    let link = link.bounded(node.frame_max_bytes());
    let Ok(link) = link.greet(node.hello()).await else {
        node.meters().bad_frames.inc();
        return;
    };
    node.recorder().observe(link.clock_us);
    if link.hello.kind != "entry" {
        node.meters().bad_frames.inc();
        return;
    }
    let entry = EntryId::new(&link.hello.id);
    if let Some(number) = up(node, &entry, &link) {
        let Greeted {
            sender, receiver, ..
        } = link;
        read_all(node, &entry, receiver).await;
        drop(sender);
        down(node, &entry, number);
    }
}

/// Enters a connection and tells the machine, in one step: no other connection
/// of the entry can come between the two.
fn up(node: &Arc<Node>, entry: &EntryId, link: &Greeted) -> Option<u64> {
    let mut number = None;
    node.tell_all(|| {
        let Some(added) = node.links().add(entry, link) else {
            return Vec::new();
        };
        number = Some(added.number);
        let entry = entry.clone();
        let came = AgentEvent::LinkUp {
            entry: entry.clone(),
        };
        if added.replaced {
            // Frames may have been lost with the earlier connection.
            vec![AgentEvent::LinkDown { entry }, came]
        } else {
            vec![came]
        }
    });
    if number.is_some() {
        log::info!("{}: link to {entry} is up", node.id());
    }
    number
}

fn down(node: &Arc<Node>, entry: &EntryId, number: u64) {
    node.tell_all(|| {
        if !node.links().remove(entry, number) {
            return Vec::new();
        }
        log::info!("{}: link to {entry} is down", node.id());
        vec![AgentEvent::LinkDown {
            entry: entry.clone(),
        }]
    });
}

/// Hands on frames until the link ends.
async fn read_all(node: &Arc<Node>, entry: &EntryId, mut receiver: LinkReceiver) {
    loop {
        match receiver.recv().await {
            Ok(Some(frame)) => take(node, entry, frame),
            Ok(None) => return,
            Err(fault) => {
                if fault.code() == Code::BadFrame {
                    node.meters().bad_frames.inc();
                }
                return;
            }
        }
    }
}

fn take(node: &Arc<Node>, entry: &EntryId, frame: Frame) {
    node.recorder().observe(frame.clock_us);
    // A frame without a body is of a kind from a later version of the schema.
    let Some(body) = frame.body else {
        node.meters().bad_frames.inc();
        return;
    };
    node.tell(AgentEvent::Frame {
        entry: entry.clone(),
        revision: Revision(frame.revision),
        body,
    });
}
