//! Pool of HTTP connections to upstreams.

use base::prelude::*;
use bytes::Bytes;
use direct::SoftwareVersion;
use futures::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::AbortHandle;

use crate::BootClock;
use crate::connection::connect;
use crate::head_limit::HeadLimit;

/// Time for which an idle connection is kept if the upstream states none.
const MAX_IDLE_MS: u64 = 8_000;

/// Safety margin subtracted from the time for which an upstream says it keeps
/// an idle connection, as the two ends start counting at different times.
const KEEP_ALIVE_MARGIN_MS: u64 = 600;

/// Longest idle time of a connection for requests that must not run twice. If
/// the upstream closes the connection at that moment, it is unknown whether the
/// request has run.
const MAX_SAFE_IDLE_MS: u64 = 500;

/// Largest number of idle connections kept per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;

/// Read buffer of a connection. Response heads are small.
const BUFFER_BYTES: usize = 16 << 10;

/// Why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Nothing was sent.
    NotSent,
    /// The request was sent, and the connection was closed or violated the
    /// protocol.
    Broken,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    clock: BootClock,
    idle: Mutex<HashMap<Arc<str>, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
    max_idle_ms: u64,
}

/// Address of an incarnation of an upstream, and the software that it runs, if known.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UpstreamAddress {
    pub(crate) started_unix_ms: Option<u64>,
    pub(crate) socket_address: SocketAddr,
    pub(crate) software: Option<SoftwareVersion>,
}

/// An HTTP connection to an upstream. Dropping it closes it, which also cancels
/// the request that the upstream is running for it.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    /// Incarnation of the upstream at the other end.
    started_unix_ms: Option<u64>,
    /// When it was open.
    opened_at: Instant,
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    task: AbortHandle,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl UpstreamConnection {
    async fn open(clock: BootClock, address: UpstreamAddress) -> Option<Self> {
        let stream = connect(address.socket_address).await.ok()?;
        let opened_at = clock.now();
        let (stream, head_limit) = HeadLimit::apply(stream);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        // Errors of the connection are reported to its requests.
        let task = tokio::spawn(driver.map(|_| ())).abort_handle();
        Some(Self {
            started_unix_ms: address.started_unix_ms,
            opened_at,
            sender,
            head_limit,
            task,
        })
    }

    /// Returns when the connection was open.
    pub(crate) const fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Whether the response was given up because too much came before the end of its head.
    pub(crate) fn is_head_too_large(&self) -> bool {
        self.head_limit.is_exceeded()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// There is no response; the error tells whether the request was sent.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head_limit.begin();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_limit.end();
                Ok(response)
            }
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::Broken,
            }),
        }
    }
}

impl ConnectionPool {
    /// Returns a connection to an incarnation of an upstream. With
    /// `recently_used`, it has not been idle for long.
    ///
    /// # Errors
    ///
    /// No connection could be opened.
    pub(crate) async fn take(
        &self,
        id: &Arc<str>,
        address: UpstreamAddress,
        recently_used: bool,
    ) -> Result<UpstreamConnection, SendError> {
        if let Some(connection) = self.idle(id, address.started_unix_ms, recently_used)
        {
            return Ok(connection);
        }
        UpstreamConnection::open(self.clock, address)
            .await
            .ok_or(SendError::NotSent)
    }

    /// Keeps a connection whose response was read to the end.
    pub(crate) fn keep(
        &self,
        id: &Arc<str>,
        connection: UpstreamConnection,
        keep_alive_s: Option<u64>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let max_idle_ms = keep_alive_s.map_or(MAX_IDLE_MS, |s| {
            (s * 1_000)
                .saturating_sub(KEEP_ALIVE_MARGIN_MS)
                .min(MAX_IDLE_MS)
        });
        let mut idle = self.idle.lock();
        let connections = idle.entry(Arc::clone(id)).or_default();
        if connections
            .iter()
            .any(|kept| kept.connection.started_unix_ms > connection.started_unix_ms)
        {
            return;
        }
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection {
                connection,
                since: self.clock.now(),
                max_idle_ms,
            });
        }
    }

    /// Closes connections that were idle for too long and those to unknown
    /// upstreams.
    pub(crate) fn sweep(&self, known: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        self.idle.lock().retain(|id, connections| {
            connections.retain(|idle| {
                !idle.connection.sender.is_closed()
                    && now.ms_since(idle.since) < idle.max_idle_ms
            });
            known(id) && !connections.is_empty()
        });
    }

    /// Returns the most recently used idle connection that can take a request.
    ///
    /// Connections to earlier incarnations are closed: a request on one would
    /// be lost, and it would be unknown whether it has run.
    fn idle(
        &self,
        id: &str,
        started_unix_ms: Option<u64>,
        recently_used: bool,
    ) -> Option<UpstreamConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(id)?;
        connections.retain(|idle| idle.connection.started_unix_ms >= started_unix_ms);
        if connections.last()?.connection.started_unix_ms != started_unix_ms {
            return None;
        }
        while let Some(mut last) = connections.pop() {
            let ms = now.ms_since(last.since);
            if ms >= last.max_idle_ms || last.connection.sender.is_closed() {
                continue;
            }
            if recently_used && ms > MAX_SAFE_IDLE_MS {
                // The remaining ones have been idle for even longer.
                connections.push(last);
                return None;
            }
            if matches!(last.connection.sender.ready().now_or_never(), Some(Ok(()))) {
                return Some(last.connection);
            }
        }
        None
    }
}
