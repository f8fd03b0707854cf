//! Connections to agents and other entries.

use base::prelude::*;
use parking_lot::RwLock;
use role::Peer;
use role::entry::{EntryAction, EntryEvent};
use schema::link::{Frame, Hello, frame};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::task::AbortHandle;
use wire::{Greeted, Link, LinkReceiver, LinkSender, Listener, WireError};

use crate::backoff::Backoff;
use crate::node::Node;

/// A link that lasted this long is taken for a good one: its end does not raise
/// the time until the next try.
const GOOD_LINK: Duration = Duration::from_secs(5);

/// Pause after the operating system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The connections this process keeps, by far end.
#[derive(Debug)]
pub(crate) struct Links {
    by_peer: RwLock<HashMap<Peer, Kept>>,
    next: AtomicU64,
    seed: u64,
}

/// One connection that is kept, whether up or not.
#[derive(Debug)]
struct Kept {
    /// Tells a connection from an earlier one to the same far end.
    number: u64,
    address: String,
    sender: Option<LinkSender>,
    task: AbortHandle,
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Links {
    /// No connections.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            by_peer: RwLock::new(HashMap::new()),
            next: AtomicU64::new(0),
            seed,
        }
    }

    /// Keeps a connection to an address; one to another address is ended.
    pub(crate) fn connect(&self, node: &Arc<Node>, peer: Peer, address: String) {
        let mut by_peer = self.by_peer.write();
        let same = by_peer
            .get(&peer)
            .is_some_and(|kept| kept.address == address);
        if same {
            return;
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let dialer = Dialer {
            node: Arc::clone(node),
            peer: peer.clone(),
            address: address.clone(),
            number,
        };
        let backoff = Backoff::new(self.seed ^ number);
        let task = node.runtime().spawn(dialer.keep(backoff)).abort_handle();
        let kept = Kept {
            number,
            address,
            sender: None,
            task,
        };
        by_peer.insert(peer, kept);
    }

    /// Ends the connection to a far end.
    pub(crate) fn disconnect(&self, peer: &Peer) {
        self.by_peer.write().remove(peer);
    }

    /// Ends all connections at once.
    pub(crate) fn cut(&self) {
        self.by_peer.write().clear();
    }

    /// Ends all connections, once what is queued has been sent or `wait` is over.
    pub(crate) async fn close(&self, wait: Duration) {
        let kept = std::mem::take(&mut *self.by_peer.write());
        let flushed = kept
            .values()
            .filter_map(|kept| kept.sender.as_ref())
            .map(LinkSender::flushed);
        // A far end that reads nothing must not keep this process from ending.
        let _ = tokio::time::timeout(wait, futures::future::join_all(flushed)).await;
    }

    /// The sending half of the connection to a far end, while it is up.
    pub(crate) fn sender(&self, peer: &Peer) -> Option<LinkSender> {
        self.by_peer.read().get(peer)?.sender.clone()
    }

    /// Number of connections that are up.
    pub(crate) fn up(&self) -> usize {
        let by_peer = self.by_peer.read();
        by_peer
            .values()
            .filter(|kept| kept.sender.is_some())
            .count()
    }

    /// Sets the sending half; false if the connection is no longer wanted.
    fn set(&self, peer: &Peer, number: u64, sender: Option<LinkSender>) -> bool {
        let mut by_peer = self.by_peer.write();
        match by_peer.get_mut(peer) {
            Some(kept) if kept.number == number => {
                kept.sender = sender;
                true
            }
            _ => false,
        }
    }
}

/// The task that keeps one connection.
struct Dialer {
    node: Arc<Node>,
    peer: Peer,
    address: String,
    number: u64,
}

impl Dialer {
    async fn keep(self, mut backoff: Backoff) {
        loop {
            if let Ok(link) = self.dial().await {
                let since = tokio::time::Instant::now();
                if !self.carry(link).await {
                    return;
                }
                if since.elapsed() >= GOOD_LINK {
                    backoff.reset();
                }
            }
            let peer = self.peer.clone();
            self.node.tell(EntryEvent::LinkDown { peer });
            tokio::time::sleep(backoff.next()).await;
        }
    }

    async fn dial(&self) -> Result<Greeted, WireError> {
        let address: SocketAddr =
            self.address.parse().map_err(|_| WireError::NoGreeting)?;
        let max_bytes = self.node.limits().frame_max_bytes;
        let link = wire::connect(address, max_bytes).await?;
        let greeted = link.greet(self.node.hello()).await?;
        // An address may have passed to another process since it was told.
        // Frames meant for one agent would reach the upstream of another.
        if peer_of(&greeted.hello).as_ref() != Some(&self.peer) {
            return Err(WireError::NoGreeting);
        }
        Ok(greeted)
    }

    /// Carries frames until the link ends; false if it is no longer wanted.
    async fn carry(&self, link: Greeted) -> bool {
        self.node.recorder().observe(link.clock_us);
        let links = self.node.links();
        if !links.set(&self.peer, self.number, Some(link.sender)) {
            return false;
        }
        log::info!("{}: link to {} is up", self.node.id(), self.peer);
        self.node.tell(EntryEvent::LinkUp {
            peer: self.peer.clone(),
            incarnation: Incarnation(link.hello.incarnation),
        });
        read_all(&self.node, &self.peer, link.receiver).await;
        log::info!("{}: link to {} is down", self.node.id(), self.peer);
        links.set(&self.peer, self.number, None)
    }
}

/// Takes connections of other entries until the process ends.
pub(crate) async fn accept(node: Arc<Node>, listener: Listener) {
    loop {
        let accepted = tokio::select! {
            () = node.exit().cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(link) => {
                node.runtime().spawn(read_inbound(Arc::clone(&node), link));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Reads what another entry sends on the link that it dialled.
async fn read_inbound(node: Arc<Node>, link: Link) {
    let link = link.bounded(node.limits().frame_max_bytes);
    let Ok(link) = link.greet(node.hello()).await else {
        node.meters().bad_frames.inc();
        return;
    };
    node.recorder().observe(link.clock_us);
    let Some(peer @ Peer::Entry(_)) = peer_of(&link.hello) else {
        node.meters().bad_frames.inc();
        return;
    };
    tokio::select! {
        () = node.exit().cancelled() => {}
        () = read_all(&node, &peer, link.receiver) => {}
    }
}

fn peer_of(hello: &Hello) -> Option<Peer> {
    match hello.kind.as_str() {
        "agent" => Some(Peer::Agent(AgentId::new(&hello.id))),
        "entry" => Some(Peer::Entry(EntryId::new(&hello.id))),
        _ => None,
    }
}

/// Hands on frames until the link ends.
async fn read_all(node: &Arc<Node>, peer: &Peer, mut receiver: LinkReceiver) {
    let mut scratch = Vec::new();
    loop {
        match receiver.recv().await {
            Ok(Some(frame)) => take(node, peer, frame, &mut scratch),
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

fn take(node: &Arc<Node>, peer: &Peer, frame: Frame, scratch: &mut Vec<EntryAction>) {
    node.recorder().observe(frame.clock_us);
    let revision = Revision(frame.revision);
    match (frame.body, peer) {
        (Some(frame::Body::Answer(answer)), Peer::Agent(agent)) => {
            node.tell_part(agent, answer, scratch);
        }
        (Some(body), _) => node.tell(EntryEvent::Frame {
            peer: peer.clone(),
            revision,
            body,
        }),
        // A kind of frame from a later version of the schema.
        (None, _) => node.meters().bad_frames.inc(),
    }
}
