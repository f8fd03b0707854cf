//! Starting and ending the process.

use base::prelude::*;
use line::EventRecorder;
use oper::Clock;
use oper::{BindLinkListenerSnafu, BindListenerSnafu, StartError, parse_address};
use plat::{HttpPlatform, ObjectApi};
use role::entry::{EntryEvent, EntryOptions};
use schema::settings::EntrySettings;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};
use wire::Listener;
use xxhash_rust::xxh3::xxh3_64;

use crate::http::CallerServer;
use crate::links;
use crate::node::Node;
use crate::operated::OperatedEntry;

/// Longest wait, once drained, for the last bytes to reach callers and links.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Low bits of an incarnation that come from the process's name.
const NAME_BITS: u32 = 12;

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address on which other entries connect.
    pub link_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    node: Arc<Node>,
    done: JoinHandle<()>,
}

impl EntryHandle {
    /// Starts to drain; a second call changes nothing.
    pub fn drain(&self) {
        self.node.tell(EntryEvent::Drain);
    }

    /// Whether the process takes work.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.node.calls().len()
    }

    /// Waits until the process has drained and closed its connections.
    pub async fn finished(self) {
        // The task ends by itself; a panic in it has been reported.
        let _ = self.done.await;
    }

    /// Ends the process at once, as a crash would: links and callers'
    /// connections are cut without a word.
    pub fn abort(self) {
        self.node.exit().cancel();
        self.node.links().cut();
        self.done.abort();
    }
}

/// Runs an entry until it has drained, which `shutdown` asks for.
///
/// # Errors
///
/// An address of the settings can't be read or bound.
pub async fn run(
    settings: EntrySettings,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), StartError> {
    let mut shutdown = pin!(shutdown);
    // Polled before anything is started: waiting for a signal installs its
    // handler then. A signal that came between the first line of the log and
    // the handler would kill the process without a goodbye.
    let entry = tokio::select! {
        biased;
        () = shutdown.as_mut() => return Ok(()),
        entry = start(settings) => entry?,
    };
    let node = Arc::clone(&entry.node);
    tokio::select! {
        () = shutdown => node.tell(EntryEvent::Drain),
        () = node.exit().cancelled() => {}
    }
    entry.finished().await;
    Ok(())
}

/// Starts an entry.
///
/// # Errors
///
/// As for [`run`].
pub async fn start(settings: EntrySettings) -> Result<EntryHandle, StartError> {
    let platform = parse_address("platform", &settings.platform)?;
    start_with(settings, Arc::new(HttpPlatform::new(platform))).await
}

/// Starts an entry on another platform than the one of its settings.
///
/// # Errors
///
/// As for [`run`].
pub async fn start_with(
    settings: EntrySettings,
    platform: Arc<dyn ObjectApi>,
) -> Result<EntryHandle, StartError> {
    let callers = listen("caller_listen", &settings.caller_listen).await?;
    let operators = listen("operator_listen", &settings.operator_listen).await?;
    let links = parse_address("link_listen", &settings.link_listen)?;
    let links = Listener::bind(links, wire::DEFAULT_FRAME_MAX_BYTES)
        .await
        .context(BindLinkListenerSnafu)?;
    let link_address = links.local_addr().context(BindLinkListenerSnafu)?;
    let operator_address = bound("operator_listen", &operators)?;
    let caller_address = bound("caller_listen", &callers)?;

    let clock = Clock::start();
    let options = options(&settings, &clock, link_address, operator_address);
    let recorder = EventRecorder::new(&settings.id, settings.timeline_events as usize);
    let node = Node::new(options, clock, platform, recorder);
    node.begin();
    log::info!("{}: serves callers on {caller_address}", settings.id);
    let listeners = Listeners {
        callers,
        links,
        operators,
    };
    Ok(EntryHandle {
        caller_address,
        link_address,
        operator_address,
        done: tokio::spawn(listeners.serve(Arc::clone(&node))),
        node,
    })
}

/// The three listeners.
struct Listeners {
    callers: TcpListener,
    links: Listener,
    operators: TcpListener,
}

impl Listeners {
    /// Serves until the process has drained.
    async fn serve(self, node: Arc<Node>) {
        let operated = Arc::new(OperatedEntry::new(Arc::clone(&node)));
        // Both end when the set is dropped, also if this future is.
        let mut beside = JoinSet::new();
        beside.spawn(oper::serve(self.operators, operated));
        beside.spawn(links::accept(Arc::new(Arc::clone(&node)), self.links));
        let callers = CallerServer::new(Arc::clone(&node));
        callers.accept(self.callers).await;
        log::info!("{}: drained", node.id());
        callers.close(CLOSE_TIMEOUT).await;
        node.links().close(CLOSE_TIMEOUT).await;
    }
}

fn options(
    settings: &EntrySettings,
    clock: &Clock,
    link_address: SocketAddr,
    operator_address: SocketAddr,
) -> EntryOptions {
    let incarnation = incarnation(&settings.id, clock);
    let peers = settings
        .peers
        .iter()
        .map(|(name, address)| (EntryId::new(name), address.clone()));
    let seed = match settings.seed {
        0 => incarnation.0,
        seed => seed,
    };
    EntryOptions {
        id: EntryId::new(&settings.id),
        incarnation,
        failure_domain: FailureDomainId::new(&settings.failure_domain),
        link_address: link_address.to_string(),
        operator_address: operator_address.to_string(),
        peers: peers.collect(),
        shards: settings.request_shards as usize,
        seed,
        unix_ms_at_zero: clock.unix_ms_at_zero(),
    }
}

/// This run of the process: its start time, with some bits of its name.
///
/// Attempts carry the incarnation alone. Two entries started in the same
/// microsecond would otherwise give out the same attempt names, and an agent
/// would take one's `Cancel` for the other's.
fn incarnation(id: &str, clock: &Clock) -> Incarnation {
    let name = xxh3_64(id.as_bytes()) >> (u64::BITS - NAME_BITS);
    Incarnation((clock.unix_us_at_zero() << NAME_BITS) | name)
}

async fn listen(key: &'static str, text: &str) -> Result<TcpListener, StartError> {
    let address = parse_address(key, text)?;
    TcpListener::bind(address)
        .await
        .context(BindListenerSnafu { key })
}

fn bound(key: &'static str, listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().context(BindListenerSnafu { key })
}
