//! Accepting links from entries and passing their frames to the state machine.

use base::prelude::*;
use role::agent::AgentEvent;
use schema::link::Frame;
use std::sync::Arc;
use tokio::sync::Semaphore;
use wire::{EstablishedLink, Link, LinkReceiver, Listener};

use crate::driver::AgentDriver;

/// Maximum number of open connections, including those still in the handshake.
///
/// A planning cell has only a few entries. Each connection uses a task, and a send
/// queue after the handshake, so a client that connects repeatedly without sending
/// a `Hello` must not be able to use up the memory.
const CONNECTIONS_MAX: usize = 128;

/// Delay after the operating system failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from entries until the process exits.
pub(crate) async fn accept_links(driver: Arc<AgentDriver>, listener: Listener) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    loop {
        let accepted = tokio::select! {
            () = driver.exit().cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(link) => {
                let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                    driver.metrics().refused_links.inc();
                    continue;
                };
                let driver = Arc::clone(&driver);
                tokio::spawn(async move {
                    let _slot = slot;
                    let exit = driver.exit().clone();
                    tokio::select! {
                        () = exit.cancelled() => {}
                        () = serve_link(&driver, link) => {}
                    }
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Performs the handshake and handles the link's frames until it closes.
async fn serve_link(driver: &Arc<AgentDriver>, link: Link) {
    let link = link.with_frame_max_bytes(driver.frame_max_bytes());
    let Ok(link) = link.handshake(driver.hello()).await else {
        driver.metrics().bad_frames.inc();
        return;
    };
    driver.recorder().observe(link.clock_us);
    if link.hello.kind != "entry" {
        driver.metrics().bad_frames.inc();
        return;
    }
    let entry = EntryId::new(&link.hello.id);
    if let Some(link_id) = register_link(driver, &entry, &link) {
        let EstablishedLink {
            sender, receiver, ..
        } = link;
        receive_frames(driver, &entry, receiver).await;
        drop(sender);
        unregister_link(driver, &entry, link_id);
    }
}

/// Registers a link and reports it to the state machine; returns its identifier, or
/// `None` if a later incarnation of the entry is connected.
///
/// Both happen under one lock, so that no other link of the entry can come between.
fn register_link(
    driver: &Arc<AgentDriver>,
    entry: &EntryId,
    link: &EstablishedLink,
) -> Option<u64> {
    let mut link_id = None;
    driver.handle_events(|| {
        let Some(added) = driver.links().add(entry, link) else {
            return Vec::new();
        };
        link_id = Some(added.id);
        let entry = entry.clone();
        let link_up = AgentEvent::LinkUp {
            entry: entry.clone(),
        };
        if added.replaced {
            // Frames may have been lost with the replaced link.
            vec![AgentEvent::LinkDown { entry }, link_up]
        } else {
            vec![link_up]
        }
    });
    if link_id.is_some() {
        log::info!("{}: link to {entry} is up", driver.id());
    }
    link_id
}

/// Removes a closed link and reports it to the state machine, unless another link has
/// replaced it.
fn unregister_link(driver: &Arc<AgentDriver>, entry: &EntryId, link_id: u64) {
    driver.handle_events(|| {
        if !driver.links().remove(entry, link_id) {
            return Vec::new();
        }
        log::info!("{}: link to {entry} is down", driver.id());
        vec![AgentEvent::LinkDown {
            entry: entry.clone(),
        }]
    });
}

/// Handles received frames until the link closes.
async fn receive_frames(
    driver: &Arc<AgentDriver>,
    entry: &EntryId,
    mut receiver: LinkReceiver,
) {
    loop {
        match receiver.recv().await {
            Ok(Some(frame)) => handle_frame(driver, entry, frame),
            Ok(None) => return,
            Err(error) => {
                if error.code() == ErrorCode::BadFrame {
                    driver.metrics().bad_frames.inc();
                }
                return;
            }
        }
    }
}

fn handle_frame(driver: &Arc<AgentDriver>, entry: &EntryId, frame: Frame) {
    driver.recorder().observe(frame.clock_us);
    // Kinds of frames from later versions of the schema decode without a body.
    let Some(body) = frame.body else {
        driver.metrics().bad_frames.inc();
        return;
    };
    driver.handle_event(AgentEvent::Frame {
        entry: entry.clone(),
        revision: Revision(frame.revision),
        body,
    });
}
