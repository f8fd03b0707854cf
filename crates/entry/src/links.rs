//! Connections to agents and other entries.

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
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;
use wire::{EstablishedLink, Link, LinkReceiver, LinkSender, Listener, WireError};

use crate::backoff::Backoff;
use crate::metrics::Meters;

/// A link that lasted this long is taken for a good one: its end does not raise
/// the time until the next try.
const GOOD_LINK: Duration = Duration::from_secs(5);

/// Pause after the operating system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The process that connections belong to.
pub(crate) trait Host: Send + Sync {
    /// Name of the process.
    fn id(&self) -> &EntryId;
    /// Its connections.
    fn links(&self) -> &Links;
    /// Largest frame taken.
    fn frame_max_bytes(&self) -> u32;
    /// The first frame of a connection.
    fn hello(&self) -> Frame;
    /// The time line.
    fn recorder(&self) -> &EventRecorder;
    /// Counters.
    fn meters(&self) -> &Meters;
    /// Cancelled once the process ends.
    fn exit(&self) -> &CancellationToken;
    /// Where connections' tasks run.
    fn runtime(&self) -> &Handle;
    /// Tells the machine an event.
    fn tell(&self, event: EntryEvent);
    /// Tells the machine of a part of an answer. `scratch` is empty before and
    /// after; its memory is used again for each part.
    fn tell_part(
        &self,
        agent: &AgentId,
        answer: Answer,
        scratch: &mut Vec<EntryAction>,
    );
}

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
    pub(crate) fn connect(&self, host: Arc<dyn Host>, peer: Peer, address: String) {
        let mut by_peer = self.by_peer.write();
        let same = by_peer
            .get(&peer)
            .is_some_and(|kept| kept.address == address);
        if same {
            return;
        }
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let runtime = host.runtime().clone();
        let dialer = Dialer {
            host,
            peer: peer.clone(),
            address: address.clone(),
            number,
        };
        let backoff = Backoff::new(self.seed ^ number);
        let task = runtime.spawn(dialer.keep(backoff)).abort_handle();
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
    host: Arc<dyn Host>,
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
            self.host.tell(EntryEvent::LinkDown { peer });
            tokio::time::sleep(backoff.next()).await;
        }
    }

    async fn dial(&self) -> Result<EstablishedLink, WireError> {
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|_| WireError::HandshakeFailed)?;
        let max_bytes = self.host.frame_max_bytes();
        let link = wire::connect(address, max_bytes).await?;
        let greeted = link.handshake(self.host.hello()).await?;
        // An address may have passed to another process since it was told.
        // Frames meant for one agent would reach the upstream of another.
        if peer_of(&greeted.hello).as_ref() != Some(&self.peer) {
            return Err(WireError::HandshakeFailed);
        }
        Ok(greeted)
    }

    /// Carries frames until the link ends; false if it is no longer wanted.
    async fn carry(&self, link: EstablishedLink) -> bool {
        self.host.recorder().observe(link.clock_us);
        let links = self.host.links();
        if !links.set(&self.peer, self.number, Some(link.sender)) {
            return false;
        }
        log::info!("{}: link to {} is up", self.host.id(), self.peer);
        self.host.tell(EntryEvent::LinkUp {
            peer: self.peer.clone(),
            incarnation: Incarnation(link.hello.incarnation),
        });
        read_all(&*self.host, &self.peer, link.receiver).await;
        log::info!("{}: link to {} is down", self.host.id(), self.peer);
        links.set(&self.peer, self.number, None)
    }
}

/// Takes connections of other entries until the process ends.
pub(crate) async fn accept(host: Arc<dyn Host>, listener: Listener) {
    loop {
        let accepted = tokio::select! {
            () = host.exit().cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(link) => {
                host.runtime().spawn(read_inbound(Arc::clone(&host), link));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Reads what another entry sends on the link that it dialled.
async fn read_inbound(host: Arc<dyn Host>, link: Link) {
    let link = link.with_frame_max_bytes(host.frame_max_bytes());
    let Ok(link) = link.handshake(host.hello()).await else {
        host.meters().bad_frames.inc();
        return;
    };
    host.recorder().observe(link.clock_us);
    let Some(peer @ Peer::Entry(_)) = peer_of(&link.hello) else {
        host.meters().bad_frames.inc();
        return;
    };
    tokio::select! {
        () = host.exit().cancelled() => {}
        () = read_all(&*host, &peer, link.receiver) => {}
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
async fn read_all(host: &dyn Host, peer: &Peer, mut receiver: LinkReceiver) {
    let mut scratch = Vec::new();
    loop {
        match receiver.recv().await {
            Ok(Some(frame)) => take(host, peer, frame, &mut scratch),
            Ok(None) => return,
            Err(fault) => {
                if fault.code() == ErrorCode::BadFrame {
                    host.meters().bad_frames.inc();
                }
                return;
            }
        }
    }
}

fn take(host: &dyn Host, peer: &Peer, frame: Frame, scratch: &mut Vec<EntryAction>) {
    host.recorder().observe(frame.clock_us);
    let revision = Revision(frame.revision);
    match (frame.body, peer) {
        (Some(frame::Body::Answer(answer)), Peer::Agent(agent)) => {
            host.tell_part(agent, answer, scratch);
        }
        (Some(body), _) => host.tell(EntryEvent::Frame {
            peer: peer.clone(),
            revision,
            body,
        }),
        // A kind of frame from a later version of the schema.
        (None, _) => host.meters().bad_frames.inc(),
    }
}
