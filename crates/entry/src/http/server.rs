//! The listener for callers.

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

use super::handler::handle;
use super::write_timeout::WriteTimeout;
use crate::driver::Driver;

/// Longest time for a request's head, and longest time a connection may be idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time for which a write to a caller may make no progress.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes by which a request's head may exceed its limit and still be read. Such
/// a head is rejected with an error code; to a larger one the HTTP library
/// responds with 431 and no body. This is also the smallest buffer that the
/// library accepts.
const HEAD_MARGIN_BYTES: usize = 8 << 10;

/// Largest number of headers in a request.
const HEADERS_MAX: usize = 64;

/// Delay after the operating system could not accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers over HTTP/1.1.
#[derive(Debug)]
pub(crate) struct CallerServer {
    driver: Arc<Driver>,
    connections: TaskTracker,
    shutdown: CancellationToken,
    /// Closes all open connections when the server is dropped, so that none
    /// outlives an entry that was aborted.
    abort: DropGuard,
}

impl CallerServer {
    /// A server without connections.
    pub(crate) fn new(driver: Arc<Driver>) -> Self {
        Self {
            driver,
            connections: TaskTracker::new(),
            shutdown: CancellationToken::new(),
            abort: CancellationToken::new().drop_guard(),
        }
    }

    /// Accepts connections until the process has drained.
    ///
    /// While the process drains, connections are still accepted and their
    /// requests refused with the code `leaving`; a closed port would give callers
    /// an error without a code. The listener is closed once the process has
    /// drained, before the last connections end: callers that connected in that
    /// time would otherwise wait, as nothing would read their requests.
    pub(crate) async fn accept(&self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.driver.exit().cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream),
                // Out of descriptors: open connections have to end first.
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
        self.accept_pending(listener);
    }

    /// Accepts the connections that are still in the operating system's accept
    /// queue, then closes the listener. Closing it at once would reset them,
    /// although their callers may have sent requests.
    fn accept_pending(&self, listener: TcpListener) {
        // Fails only if the runtime no longer has the listener registered; then
        // there are no connections to accept.
        let Ok(listener) = listener.into_std() else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).map(|()| stream);
            if let Ok(stream) = stream.and_then(TcpStream::from_std) {
                self.spawn_connection(stream);
            }
        }
    }

    /// Lets open connections finish their current responses, for at most `wait`.
    pub(crate) async fn close(self, wait: Duration) {
        self.shutdown.cancel();
        self.connections.close();
        let _ = tokio::time::timeout(wait, self.connections.wait()).await;
    }

    fn spawn_connection(&self, stream: TcpStream) {
        // With Nagle's algorithm, the kernel would delay each token until the
        // previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        let driver = Arc::clone(&self.driver);
        let shutdown = self.shutdown.clone();
        let abort = self.abort.token().clone();
        self.connections.spawn(async move {
            tokio::select! {
                () = abort.cancelled() => {}
                () = serve_connection(driver, shutdown, stream) => {}
            }
        });
    }
}

/// Counts a connection in the metrics while it is open.
struct OpenConnection(Arc<Driver>);

impl OpenConnection {
    fn new(driver: Arc<Driver>) -> Self {
        driver.metrics().accepted_connections.inc();
        driver.metrics().connections.inc();
        Self(driver)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.metrics().connections.dec();
    }
}

async fn serve_connection(
    driver: Arc<Driver>,
    shutdown: CancellationToken,
    stream: TcpStream,
) {
    let _open_connection = OpenConnection::new(Arc::clone(&driver));
    let header_max_bytes = driver.limits().header_max_bytes as usize;
    let service = service_fn(move |request| {
        let driver = Arc::clone(&driver);
        async move { Ok::<_, Infallible>(handle(driver, request).await) }
    });
    let io = TokioIo::new(WriteTimeout::new(stream, STALL_TIMEOUT));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(HEADERS_MAX)
        .max_buf_size(header_max_bytes + HEAD_MARGIN_BYTES)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    // An error means that the caller disconnected; the guards of its requests have
    // informed the state machine.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shutdown.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
