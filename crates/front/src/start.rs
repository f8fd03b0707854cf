//! The process, from its sockets to its end.

use plat::ObjectApi;
use serde_json::json;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use crate::beliefs::tell_beliefs;
use crate::ending::end_in_order;
use crate::follow::{Followed, follow};
use crate::giver::give_orders;
use crate::orders::keep_lease;
use crate::peers;
use crate::quota::{Scope, feed_keepers};
use crate::state::Node;
use crate::{Log, Options, PlatformProtocol, operated, server, upstream_rate};

/// Time between two rounds of forgetting what is not needed any more.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Why the process can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// An address can't be bound.
    #[snafu(display("5011 bad_address: {what} at {address}: {source}"))]
    Bind {
        /// What is served there.
        what: &'static str,
        /// Address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// Signals can't be heard.
    #[snafu(display("5010 file_fault: signals: {source}"))]
    Signals {
        /// Why.
        source: io::Error,
    },
}

/// A running entry.
#[derive(Debug)]
pub struct EntryServer {
    node: Arc<Node>,
    /// Takes callers' connections.
    listening: JoinHandle<()>,
}

/// Binds the sockets and starts the tasks.
///
/// # Errors
///
/// An address can't be bound.
pub async fn start(
    options: Options,
    dialect: Box<dyn PlatformProtocol>,
    store: Box<dyn ObjectApi>,
) -> Result<EntryServer, StartError> {
    let mut options = options;
    let callers = listen("callers", &mut options.caller_address).await?;
    let readiness = listen("readiness", &mut options.readiness_address).await?;
    let socket = hear_peers(&mut options.peer_address).await?;
    let log = Log::start();
    let node = Arc::new(Node::new(options, dialect, store, log));
    node.log.line(
        "started",
        json!({ "entry": node.options.entry, "domain": node.options.failure_domain,
            "callers": node.options.caller_address, "readiness": node.options.readiness_address, "peers": node.options.peer_address,
            "start": node.start }),
    );
    // It is set here alone.
    let _ = node.peers.socket.set(Arc::clone(&socket));
    let shared = || Arc::clone(&node);
    let listening = tokio::spawn(server::accept(shared(), callers));
    tokio::spawn(operated::answer(shared(), readiness));
    tokio::spawn(operated::answer_elsewhere(shared()));
    tokio::spawn(follow(shared(), Followed::Setup));
    tokio::spawn(follow(shared(), Followed::Upstreams));
    tokio::spawn(peers::register(shared()));
    tokio::spawn(peers::hear(shared(), Arc::clone(&socket)));
    tokio::spawn(peers::tell(shared(), Arc::clone(&socket)));
    tokio::spawn(peers::tell_when_new(shared(), socket));
    tokio::spawn(feed_keepers(shared(), Scope::Workspaces));
    tokio::spawn(feed_keepers(shared(), Scope::Upstreams));
    tokio::spawn(keep_lease(shared()));
    tokio::spawn(give_orders(shared()));
    tokio::spawn(sweep(shared()));
    tokio::spawn(tell_beliefs(shared()));
    let handing_over = node.log.clone();
    tokio::spawn(async move { handing_over.hand_over().await });
    Ok(EntryServer { node, listening })
}

/// Binds a listener; the address then has the port that it got.
async fn listen(
    what: &'static str,
    address: &mut SocketAddr,
) -> Result<TcpListener, StartError> {
    let fault = BindSnafu {
        what,
        address: *address,
    };
    let listener = TcpListener::bind(*address).await.context(fault)?;
    *address = listener.local_addr().context(fault)?;
    Ok(listener)
}

async fn hear_peers(address: &mut SocketAddr) -> Result<Arc<UdpSocket>, StartError> {
    let fault = BindSnafu {
        what: "peers",
        address: *address,
    };
    let socket = UdpSocket::bind(*address).await.context(fault)?;
    *address = socket.local_addr().context(fault)?;
    Ok(Arc::new(socket))
}

async fn sweep(node: Arc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        let now = node.now();
        node.quota.sweep(now);
        let mut fleet = node.fleet.lock();
        fleet.forget_gone(now);
        node.pool.sweep(|id| fleet.get(id).is_some());
        drop(fleet);
        upstream_rate::sweep(&node);
        if let Some(setup) = node.setup() {
            let named = |name: &str| setup.routes().any(|route| *route.name == *name);
            node.readings.lock().retain(named);
        }
    }
}

impl EntryServer {
    /// Address at which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.node.options.caller_address
    }

    /// Address of the balancer's question and of metrics.
    pub fn readiness_address(&self) -> SocketAddr {
        self.node.options.readiness_address
    }

    /// Serves until a signal to stop, and then ends in order.
    ///
    /// # Errors
    ///
    /// Signals can't be heard.
    pub async fn run(self) -> Result<(), StartError> {
        let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
        let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
        let mut reload = signal(SignalKind::hangup()).context(SignalsSnafu)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                // Addresses and bounds hold for the life of a process; all that
                // changes under way comes by the platform.
                _ = reload.recv() => self.node.log.line("reload", json!({})),
            }
        }
        end_in_order(&self.node, self.listening).await;
        Ok(())
    }
}
