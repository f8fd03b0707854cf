//! Taking entries' connections and handing on their frames.

use base::prelude::*;
use role::agent::AgentEvent;
use schema::link::Frame;
use std::sync::Arc;
use tokio::sync::Semaphore;
use wire::{EstablishedLink, Link, LinkReceiver, Listener};

use crate::driver::Node;

/// Connections held at once, greeted or not; a cell has a few entries.
///
/// Each holds a task, and its queue once it has greeted. What connects again and
/// again without a word must not take all memory from the entries' work.
const CONNECTIONS_MAX: usize = 128;

/// Pause after the operating system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
    let link = link.with_frame_max_bytes(node.frame_max_bytes());
    let Ok(link) = link.handshake(node.hello()).await else {
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
        let EstablishedLink {
            sender, receiver, ..
        } = link;
        read_all(node, &entry, receiver).await;
        drop(sender);
        down(node, &entry, number);
    }
}

/// Enters a connection and tells the machine, in one step: no other connection
/// of the entry can come between the two.
fn up(node: &Arc<Node>, entry: &EntryId, link: &EstablishedLink) -> Option<u64> {
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
                if fault.code() == ErrorCode::BadFrame {
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
