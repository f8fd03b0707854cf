//! The listener for callers.

use base::prelude::Duration;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use inbound::{ConnectionPermit, ConnectionTable, drain};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;

use super::handler::handle;
use super::response_body::GuardedBody;
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

/// Time for connections that give way to close.
const EVICTION_DELAY: Duration = Duration::from_millis(1);

/// Serves callers over HTTP/1.1.
#[derive(Debug)]
pub(crate) struct CallerServer {
    driver: Arc<Driver>,
    table: Arc<ConnectionTable>,
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
            table: ConnectionTable::new(driver.budget().connections),
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
                Ok((stream, _)) => self.admit(stream).await,
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
                self.try_admit(stream);
            }
        }
    }

    /// Lets open connections finish their current responses, for at most `wait`.
    pub(crate) async fn close(self, wait: Duration) {
        self.shutdown.cancel();
        self.connections.close();
        let _ = tokio::time::timeout(wait, self.connections.wait()).await;
    }

    /// Serves a connection if there is a place for it. Those that give way may need a
    /// moment to close.
    async fn admit(&self, stream: TcpStream) {
        if let Some(stream) = self.try_admit(stream) {
            tokio::time::sleep(EVICTION_DELAY).await;
            if self.try_admit(stream).is_some() {
                // Closed unread: the caller may send the request to another entry.
                self.driver.metrics().refused_connections.inc();
            }
        }
    }

    /// Serves a connection, or returns it if there is no place for it.
    fn try_admit(&self, stream: TcpStream) -> Option<TcpStream> {
        let admitted = self.table.admit();
        self.log_use();
        let Ok((permit, eviction)) = admitted else {
            return Some(stream);
        };
        if let Some(eviction) = eviction {
            let evicted = &self.driver.metrics().evicted_connections;
            evicted.with_label_values(&[eviction.phase]).inc();
        }
        self.spawn_connection(stream, permit);
        None
    }

    /// Logs when all places are taken, and when half of them are free again.
    fn log_use(&self) {
        let Some(places) = self.table.use_change() else {
            return;
        };
        let state = if places.is_full {
            "taken"
        } else {
            "free again"
        };
        log::warn!(
            "{}: places of callers' connections are {state}: {} of {} in use, {} \
             connections evicted and {} refused since the start",
            self.driver.id(),
            places.open,
            places.max,
            places.evicted,
            places.refused
        );
    }

    fn spawn_connection(&self, stream: TcpStream, permit: ConnectionPermit) {
        // With Nagle's algorithm, the kernel would delay each token until the
        // previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        let driver = Arc::clone(&self.driver);
        let shutdown = self.shutdown.clone();
        let abort = self.abort.token().clone();
        self.connections.spawn(async move {
            tokio::select! {
                () = abort.cancelled() => {}
                () = serve_connection(driver, shutdown, stream, &permit) => {}
                () = permit.activity().must_close() => {}
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
    permit: &ConnectionPermit,
) {
    let _open_connection = OpenConnection::new(Arc::clone(&driver));
    let header_max_bytes = driver.limits().header_max_bytes as usize;
    let drains = driver.metrics().drains.clone();
    let activity = permit.activity();
    let service = service_fn(|request| {
        let driver = Arc::clone(&driver);
        async move {
            let idle_guard = activity.respond();
            let mut response = handle(driver, request, activity).await;
            if activity.has_unread_body() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let response = response.map(|body| GuardedBody::new(body, idle_guard));
            Ok::<_, Infallible>(response)
        }
    });
    let io = TokioIo::new(WriteTimeout::new(stream, STALL_TIMEOUT));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(HEADERS_MAX)
        .max_buf_size(header_max_bytes + HEAD_MARGIN_BYTES)
        .serve_connection(io, service);
    // An error means that the caller disconnected, or that its head can't be read; the
    // guards of its requests have informed the state machine.
    let ending = async {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = activity.evicted() => {}
        }
    };
    let ended = tokio::select! {
        result = &mut connection => Some(result),
        () = ending => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let was_unreadable =
        result.is_err_and(|error| error.is_parse() || error.is_parse_too_large());
    if was_unreadable || activity.has_unread_body() {
        activity.rest_idle();
        let is_closed = drain(connection.into_parts().io.into_inner()).await;
        let outcome = if is_closed { "closed" } else { "cut" };
        drains.with_label_values(&[outcome]).inc();
    }
}
