//! The callers' listener.

use base::prelude::Duration;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use super::serve::serve;
use super::stall::StallTimeout;
use crate::node::Node;

/// Longest time for a request's head, and for which a connection may idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time in which a caller takes nothing of what is written to it.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Room for a head above its limit. Up to there this process reads the head and
/// refuses it with a code; beyond, the HTTP library answers 431 without a body.
/// The library takes no buffer smaller than this.
const HEAD_SPARE_BYTES: usize = 8 << 10;

/// Most headers in a request.
const HEADERS_MAX: usize = 64;

/// Pause after the operating system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers on a listener.
#[derive(Debug)]
pub(crate) struct CallerServer {
    node: Arc<Node>,
    connections: TaskTracker,
    stop: CancellationToken,
    /// Cuts what is still open when the server is dropped, so that no
    /// connection outlives its process.
    cut: DropGuard,
}

impl CallerServer {
    /// A server that serves nobody yet.
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self {
            node,
            connections: TaskTracker::new(),
            stop: CancellationToken::new(),
            cut: CancellationToken::new().drop_guard(),
        }
    }

    /// Accepts connections until the process has drained.
    ///
    /// While it drains, callers are still accepted and told that the process is
    /// leaving: a closed port would leave them with an error without a code. Once
    /// drained, the listener closes: while the last connections ended, callers
    /// still connected, and nobody read their requests.
    pub(crate) async fn accept(&self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.node.exit().cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.start(stream),
                // Out of descriptors: those open now have to end first.
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        self.take_last(listener);
    }

    /// Takes the connections that the operating system holds ready. Closing the
    /// listener would reset them, with requests that their callers have sent.
    fn take_last(&self, listener: TcpListener) {
        // Only a listener that is not registered any more fails here; it holds none.
        let Ok(listener) = listener.into_std() else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).map(|()| stream);
            if let Ok(stream) = stream.and_then(TcpStream::from_std) {
                self.start(stream);
            }
        }
    }

    /// Lets open connections finish what they are answering, for at most
    /// `wait`.
    pub(crate) async fn close(self, wait: Duration) {
        self.stop.cancel();
        self.connections.close();
        let _ = tokio::time::timeout(wait, self.connections.wait()).await;
    }

    fn start(&self, stream: TcpStream) {
        // The kernel would hold each token back until the one before it is
        // acknowledged.
        let _ = stream.set_nodelay(true);
        let node = Arc::clone(&self.node);
        let stop = self.stop.clone();
        let cut = self.cut.token().clone();
        self.connections.spawn(async move {
            tokio::select! {
                () = cut.cancelled() => {}
                () = connection(node, stop, stream) => {}
            }
        });
    }
}

/// Counts an open connection.
struct Open(Arc<Node>);

impl Open {
    fn new(node: Arc<Node>) -> Self {
        node.meters().accepted.inc();
        node.meters().connections.inc();
        Self(node)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.meters().connections.dec();
    }
}

async fn connection(node: Arc<Node>, stop: CancellationToken, stream: TcpStream) {
    let _open = Open::new(Arc::clone(&node));
    let header_max_bytes = node.limits().header_max_bytes as usize;
    let service = service_fn(move |request| {
        let node = Arc::clone(&node);
        async move { Ok::<_, Infallible>(serve(node, request).await) }
    });
    let io = TokioIo::new(StallTimeout::new(stream, STALL_TIMEOUT));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(HEADERS_MAX)
        .max_buf_size(header_max_bytes + HEAD_SPARE_BYTES)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    // A connection's fault is its caller's going; its requests' guards have
    // told the machine.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
