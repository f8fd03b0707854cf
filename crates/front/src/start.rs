//! Starts the process: sockets, shared state and background tasks.

use inbound::{Budget, Machine};
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

use crate::coordinator::coordinate;
use crate::intake::limit_intake;
use crate::orders::maintain_lease;
use crate::origin_records::record_origins;
use crate::peers;
use crate::platform_watch::{Collection, watch_collection};
use crate::quota::{Scope, feed_keepers};
use crate::refused_parts::keep_refused_parts;
use crate::shutdown::shut_down;
use crate::state::Node;
use crate::state_monitor::monitor_state;
use crate::usage_report::report_usage;
use crate::{
    Log, Options, PlatformProtocol, readiness, server, stream_origins, upstream_rate,
};

/// Interval at which expired state is removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Errors that prevent the process from starting or running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// A socket can't be bound.
    #[snafu(display("5011 bad_address: {what} at {address}: {source}"))]
    Bind {
        /// What the socket is for.
        what: &'static str,
        /// Address that was to be bound.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("5010 file_fault: signals: {source}"))]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
}

/// A running entry.
#[derive(Debug)]
pub struct EntryServer {
    node: Arc<Node>,
    /// Accepts callers' connections.
    accept_task: JoinHandle<()>,
}

/// Binds the sockets and spawns the background tasks.
///
/// # Errors
///
/// A socket can't be bound.
pub async fn start(
    options: Options,
    protocol: Box<dyn PlatformProtocol>,
    platform: Box<dyn ObjectApi>,
) -> Result<EntryServer, StartError> {
    let mut options = options;
    let budget = Budget::of(Machine::detect(options.machine));
    let callers = listen("callers", &mut options.caller_address, &budget)?;
    let readiness = listen("readiness", &mut options.readiness_address, &budget)?;
    let socket = bind_peer_socket(&mut options.peer_address).await?;
    let log = Log::start();
    let node = Arc::new(Node::new(options, budget, protocol, platform, log));
    node.log.line(
        "started",
        json!({ "entry": node.options.entry, "domain": node.options.failure_domain,
            "callers": node.options.caller_address, "readiness": node.options.readiness_address, "peers": node.options.peer_address,
            "start": node.started_unix_ms, "connections_max": node.budget.connections,
            "bodies_max_bytes": node.budget.bodies_bytes,
            "responses_max_bytes": node.budget.responses_bytes }),
    );
    // The socket is set nowhere else.
    let _ = node.peers.socket.set(Arc::clone(&socket));
    let shared = || Arc::clone(&node);
    let accept_task = tokio::spawn(server::accept(shared(), callers));
    tokio::spawn(readiness::serve(shared(), readiness));
    tokio::spawn(readiness::serve_extra_metrics(shared()));
    tokio::spawn(watch_collection(shared(), Collection::Config));
    tokio::spawn(watch_collection(shared(), Collection::Upstreams));
    tokio::spawn(peers::register(shared()));
    tokio::spawn(peers::receive(shared(), Arc::clone(&socket)));
    tokio::spawn(peers::announce_periodically(shared(), Arc::clone(&socket)));
    tokio::spawn(peers::announce_changes(shared(), Arc::clone(&socket)));
    tokio::spawn(peers::announce_watches(shared(), socket));
    tokio::spawn(feed_keepers(shared(), Scope::Workspaces));
    tokio::spawn(feed_keepers(shared(), Scope::Upstreams));
    tokio::spawn(maintain_lease(shared()));
    tokio::spawn(coordinate(shared()));
    tokio::spawn(sweep(shared()));
    tokio::spawn(monitor_state(shared()));
    tokio::spawn(limit_intake(shared()));
    tokio::spawn(keep_refused_parts(shared()));
    tokio::spawn(record_origins(shared()));
    tokio::spawn(report_usage(shared()));
    let flushed_log = node.log.clone();
    tokio::spawn(async move { flushed_log.flush_periodically().await });
    Ok(EntryServer { node, accept_task })
}

/// Binds a listener and replaces a port of 0 in `address` by the port that was
/// assigned.
fn listen(
    what: &'static str,
    address: &mut SocketAddr,
    budget: &Budget,
) -> Result<TcpListener, StartError> {
    let bind_error = BindSnafu {
        what,
        address: *address,
    };
    let listener = inbound::bind(*address, budget).context(bind_error)?;
    *address = listener.local_addr().context(bind_error)?;
    Ok(listener)
}

async fn bind_peer_socket(
    address: &mut SocketAddr,
) -> Result<Arc<UdpSocket>, StartError> {
    let bind_error = BindSnafu {
        what: "peers",
        address: *address,
    };
    let socket = UdpSocket::bind(*address).await.context(bind_error)?;
    *address = socket.local_addr().context(bind_error)?;
    Ok(Arc::new(socket))
}

/// Removes expired state at intervals, forever.
async fn sweep(node: Arc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = node.now();
        node.workspace_quotas.sweep(now);
        let mut fleet = node.fleet.lock();
        fleet.forget_gone(now);
        node.connections.sweep(|id| fleet.get(id).is_some());
        drop(fleet);
        upstream_rate::expire(&node);
        stream_origins::sweep(&node, now);
        if let Some(config) = node.config() {
            let is_route =
                |name: &str| config.routes().any(|route| *route.name == *name);
            node.mean_prefill_times.lock().retain(is_route);
            node.stream_durations.lock().sweep(now, is_route);
            let is_service = |name: &str| config.knows_service(name);
            node.estimate_corrections.lock().retain(is_service);
            node.entry_queues.retain(is_service);
        }
    }
}

impl EntryServer {
    /// Returns the address at which callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.node.options.caller_address
    }

    /// Returns the address of the readiness check and of metrics.
    pub fn readiness_address(&self) -> SocketAddr {
        self.node.options.readiness_address
    }

    /// Serves until a termination signal, then shuts down gracefully.
    ///
    /// # Errors
    ///
    /// The signal handlers can't be installed.
    pub async fn run(self) -> Result<(), StartError> {
        let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
        let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
        let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                // Addresses and deployment settings can't change in a running
                // process; everything else that can change comes from the
                // platform.
                _ = hangup.recv() => self.node.log.line("reload", json!({})),
            }
        }
        shut_down(&self.node, self.accept_task).await;
        Ok(())
    }
}
