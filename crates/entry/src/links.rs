//! Links to agents and other entries.
//!
//! An entry sends to an agent or another entry on a link that it dials. Agents
//! answer on the same link. Other entries send to this one on links that they dial
//! and this process accepts.

use base::prelude::*;
use line::EventRecorder;
use parking_lot::RwLock;
use role::Peer;
use role::entry::{EntryAction, EntryEvent};
use schema::link::{Answer, Frame, Hello, frame};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::runtime::Handle;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;
use wire::{EstablishedLink, Link, LinkReceiver, LinkSender, Listener, WireError};

use crate::backoff::Backoff;
use crate::metrics::ProcessMetrics;

/// After a link that lasted this long, the backoff starts again with the shortest
/// delay.
const STABLE_LINK_DURATION: Duration = Duration::from_secs(5);

/// Maximum number of accepted connections without a handshake. Clients that connect and
/// send nothing could otherwise take all descriptors.
const HANDSHAKES_MAX: usize = 128;

/// Delay after the operating system could not accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What links need of the process that they belong to.
pub(crate) trait LinkHandler: Send + Sync {
    /// Id of the process.
    fn id(&self) -> &EntryId;
    /// The links that it dials.
    fn links(&self) -> &Links;
    /// Largest frame that is accepted.
    fn frame_max_bytes(&self) -> u32;
    /// The first frame sent on each link.
    fn hello(&self) -> Frame;
    /// Records events of the timeline, and follows the clocks of received frames.
    fn recorder(&self) -> &EventRecorder;
    /// Metrics counted outside the state machine.
    fn metrics(&self) -> &ProcessMetrics;
    /// Cancelled once the process has drained.
    fn exit(&self) -> &CancellationToken;
    /// The runtime on which the tasks of links run.
    fn runtime(&self) -> &Handle;
    /// Passes an event to the state machine.
    fn handle_event(&self, event: EntryEvent);
    /// Passes a part of an answer to the state machine. `scratch` is empty before
    /// and after; its memory is reused for each part.
    fn handle_answer_part(
        &self,
        agent: &AgentId,
        answer: Answer,
        scratch: &mut Vec<EntryAction>,
    );
}

/// The links that this process dials, by peer.
#[derive(Debug)]
pub(crate) struct Links {
    by_peer: RwLock<HashMap<Peer, OutboundLink>>,
    next_generation: AtomicU64,
    seed: u64,
}

/// A link that this process dials, whether it is up or not.
#[derive(Debug)]
struct OutboundLink {
    /// Distinguishes a link from earlier ones to the same peer.
    generation: u64,
    address: String,
    /// `None` while the link is down.
    sender: Option<LinkSender>,
    task: AbortHandle,
}

impl Drop for OutboundLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Links {
    /// No links; `seed` determines the jitter of their backoffs.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            by_peer: RwLock::new(HashMap::new()),
            next_generation: AtomicU64::new(0),
            seed,
        }
    }

    /// Dials an address and redials it whenever the link ends. An existing link
    /// to another address of the same peer is ended.
    pub(crate) fn connect(
        &self,
        handler: Arc<dyn LinkHandler>,
        peer: Peer,
        address: String,
    ) {
        let mut by_peer = self.by_peer.write();
        let same = by_peer
            .get(&peer)
            .is_some_and(|link| link.address == address);
        if same {
            return;
        }
        let generation = self.next_generation.fetch_add(1, Ordering::Relaxed);
        let runtime = handler.runtime().clone();
        let dialer = Dialer {
            handler,
            peer: peer.clone(),
            address: address.clone(),
            generation,
        };
        let backoff = Backoff::new(self.seed ^ generation);
        let task = runtime.spawn(dialer.maintain(backoff)).abort_handle();
        let link = OutboundLink {
            generation,
            address,
            sender: None,
            task,
        };
        by_peer.insert(peer, link);
    }

    /// Ends the link to a peer.
    pub(crate) fn disconnect(&self, peer: &Peer) {
        self.by_peer.write().remove(peer);
    }

    /// Ends all links at once, without sending what is queued.
    pub(crate) fn abort_all(&self) {
        self.by_peer.write().clear();
    }

    /// Ends all links once their queued frames are sent, or after `wait`.
    pub(crate) async fn close(&self, wait: Duration) {
        let link = std::mem::take(&mut *self.by_peer.write());
        let flushed = link
            .values()
            .filter_map(|link| link.sender.as_ref())
            .map(LinkSender::flushed);
        // A peer that does not read must not keep this process from ending.
        let _ = tokio::time::timeout(wait, futures::future::join_all(flushed)).await;
    }

    /// The sending half of the link to a peer, while it is up.
    pub(crate) fn sender(&self, peer: &Peer) -> Option<LinkSender> {
        self.by_peer.read().get(peer)?.sender.clone()
    }

    /// Number of dialed links that are up.
    pub(crate) fn up_count(&self) -> usize {
        let by_peer = self.by_peer.read();
        by_peer
            .values()
            .filter(|link| link.sender.is_some())
            .count()
    }

    /// Sets the sending half; false if the link has been replaced or removed.
    fn set_sender(
        &self,
        peer: &Peer,
        generation: u64,
        sender: Option<LinkSender>,
    ) -> bool {
        let mut by_peer = self.by_peer.write();
        match by_peer.get_mut(peer) {
            Some(link) if link.generation == generation => {
                link.sender = sender;
                true
            }
            _ => false,
        }
    }
}

/// The task that dials one peer and keeps the link up.
struct Dialer {
    handler: Arc<dyn LinkHandler>,
    peer: Peer,
    address: String,
    generation: u64,
}

impl Dialer {
    /// Dials, runs and redials the link until it is replaced or removed.
    async fn maintain(self, mut backoff: Backoff) {
        loop {
            if let Ok(link) = self.dial().await {
                let connected_at = tokio::time::Instant::now();
                if !self.run_link(link).await {
                    return;
                }
                if connected_at.elapsed() >= STABLE_LINK_DURATION {
                    backoff.reset();
                }
            }
            let peer = self.peer.clone();
            self.handler.handle_event(EntryEvent::LinkDown { peer });
            tokio::time::sleep(backoff.next()).await;
        }
    }

    /// Connects, and checks that the process at the address is the expected peer.
    async fn dial(&self) -> Result<EstablishedLink, WireError> {
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|_| WireError::HandshakeFailed)?;
        let max_bytes = self.handler.frame_max_bytes();
        let link = wire::connect(address, max_bytes).await?;
        let link = link.handshake(self.handler.hello()).await?;
        // The address may belong to another process by now. Frames meant for
        // one agent would otherwise reach the upstream of another.
        if peer_from_hello(&link.hello).as_ref() != Some(&self.peer) {
            return Err(WireError::HandshakeFailed);
        }
        Ok(link)
    }

    /// Runs an established link until it ends; false if the link has been replaced
    /// or removed.
    async fn run_link(&self, link: EstablishedLink) -> bool {
        self.handler.recorder().observe(link.clock_us);
        let links = self.handler.links();
        if !links.set_sender(&self.peer, self.generation, Some(link.sender)) {
            return false;
        }
        log::info!("{}: link to {} is up", self.handler.id(), self.peer);
        self.handler.handle_event(EntryEvent::LinkUp {
            peer: self.peer.clone(),
            incarnation: Incarnation(link.hello.incarnation),
        });
        read_frames(&*self.handler, &self.peer, link.receiver).await;
        log::info!("{}: link to {} is down", self.handler.id(), self.peer);
        links.set_sender(&self.peer, self.generation, None)
    }
}

/// Accepts links of other entries until the process has drained.
pub(crate) async fn accept_inbound(handler: Arc<dyn LinkHandler>, listener: Listener) {
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_MAX));
    loop {
        let accepted = tokio::select! {
            () = handler.exit().cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(link) => {
                let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
                    // It is closed: an entry dials again.
                    handler.metrics().refused_links.inc();
                    continue;
                };
                let handler = Arc::clone(&handler);
                let runtime = handler.runtime().clone();
                runtime.spawn(read_inbound(handler, link, permit));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Reads the frames that another entry sends on a link that it dialed.
async fn read_inbound(
    handler: Arc<dyn LinkHandler>,
    link: Link,
    handshake: OwnedSemaphorePermit,
) {
    let link = link.with_frame_max_bytes(handler.frame_max_bytes());
    let Ok(link) = link.handshake(handler.hello()).await else {
        handler.metrics().bad_frames.inc();
        return;
    };
    drop(handshake);
    handler.recorder().observe(link.clock_us);
    let Some(peer @ Peer::Entry(_)) = peer_from_hello(&link.hello) else {
        handler.metrics().bad_frames.inc();
        return;
    };
    tokio::select! {
        () = handler.exit().cancelled() => {}
        () = read_frames(&*handler, &peer, link.receiver) => {}
    }
}

/// The peer that a `Hello` names; `None` if its kind is unknown.
fn peer_from_hello(hello: &Hello) -> Option<Peer> {
    match hello.kind.as_str() {
        "agent" => Some(Peer::Agent(AgentId::new(&hello.id))),
        "entry" => Some(Peer::Entry(EntryId::new(&hello.id))),
        _ => None,
    }
}

/// Passes the frames of a peer to the state machine until the link ends.
async fn read_frames(
    handler: &dyn LinkHandler,
    peer: &Peer,
    mut receiver: LinkReceiver,
) {
    let mut scratch = Vec::new();
    loop {
        match receiver.recv().await {
            Ok(Some(frame)) => handle_frame(handler, peer, frame, &mut scratch),
            Ok(None) => return,
            Err(error) => {
                if error.code() == ErrorCode::BadFrame {
                    handler.metrics().bad_frames.inc();
                }
                return;
            }
        }
    }
}

fn handle_frame(
    handler: &dyn LinkHandler,
    peer: &Peer,
    frame: Frame,
    scratch: &mut Vec<EntryAction>,
) {
    handler.recorder().observe(frame.clock_us);
    let revision = Revision(frame.revision);
    match (frame.body, peer) {
        (Some(frame::Body::Answer(answer)), Peer::Agent(agent)) => {
            handler.handle_answer_part(agent, answer, scratch);
        }
        (Some(body), _) => handler.handle_event(EntryEvent::Frame {
            peer: peer.clone(),
            revision,
            body,
        }),
        // A frame type that a later version of the schema added.
        (None, _) => handler.metrics().bad_frames.inc(),
    }
}
