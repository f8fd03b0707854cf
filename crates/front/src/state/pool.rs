//! Connections to upstreams.

use base::prelude::*;
use bytes::Bytes;
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

/// Time for which a connection is kept idle where the upstream does not say.
const IDLE_MAX_MS: u64 = 8_000;

/// Part of the time that an upstream says it keeps an idle connection: both
/// ends count it from other moments.
const KEEP_ALIVE_SPARE_MS: u64 = 600;

/// Longest idle time of a connection on which a request may be sent that must
/// not run twice. If the upstream closes just then, nobody can say whether the
/// request ran.
const FRESH_MS: u64 = 500;

/// Idle connections kept for one upstream.
const IDLE_COUNT_MAX: usize = 64;

/// Read buffer of a connection; answers' heads are small.
const BUFFER_BYTES: usize = 16 << 10;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendFault {
    /// Nothing of it was sent.
    NotSent,
    /// It was sent, and the connection ended or spoke no protocol.
    Broken,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    clock: BootClock,
    idle: Mutex<HashMap<Arc<str>, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    line: Line,
    since: Instant,
    keep_ms: u64,
}

/// Where a start of an upstream is reached.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    pub(crate) born_ms: Option<u64>,
    pub(crate) address: SocketAddr,
}

/// One connection. Dropped, it is closed; so is what the upstream runs on it.
#[derive(Debug)]
pub(crate) struct Line {
    /// Start of the upstream that it leads to.
    born_ms: Option<u64>,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Line {
    async fn open(place: Place) -> Option<Self> {
        let stream = connect(place.address).await.ok()?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        // How a connection ends, its requests are told.
        let task = tokio::spawn(connection.map(|_| ())).abort_handle();
        Some(Self {
            born_ms: place.born_ms,
            sender,
            task,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// There is none, and whether the request left this process.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFault> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut fault) => Err(match fault.take_message() {
                Some(_) => SendFault::NotSent,
                None => SendFault::Broken,
            }),
        }
    }
}

impl Pool {
    /// A connection to a start of an upstream; with `fresh`, one that was not idle
    /// for long.
    ///
    /// # Errors
    ///
    /// None could be made.
    pub(crate) async fn take(
        &self,
        id: &Arc<str>,
        place: Place,
        fresh: bool,
    ) -> Result<Line, SendFault> {
        if let Some(line) = self.idle(id, place.born_ms, fresh) {
            return Ok(line);
        }
        Line::open(place).await.ok_or(SendFault::NotSent)
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn keep(&self, id: &Arc<str>, line: Line, keep_alive_s: Option<u64>) {
        if line.sender.is_closed() {
            return;
        }
        let keep_ms = keep_alive_s.map_or(IDLE_MAX_MS, |s| {
            (s * 1_000)
                .saturating_sub(KEEP_ALIVE_SPARE_MS)
                .min(IDLE_MAX_MS)
        });
        let mut idle = self.idle.lock();
        let lines = idle.entry(Arc::clone(id)).or_default();
        if lines.iter().any(|kept| kept.line.born_ms > line.born_ms) {
            return;
        }
        if lines.len() < IDLE_COUNT_MAX {
            lines.push(Idle {
                line,
                since: self.clock.now(),
                keep_ms,
            });
        }
    }

    /// Closes connections that were idle for too long, and those to upstreams
    /// that are not known any more.
    pub(crate) fn sweep(&self, known: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        self.idle.lock().retain(|id, lines| {
            lines.retain(|idle| {
                !idle.line.sender.is_closed() && now.ms_since(idle.since) < idle.keep_ms
            });
            known(id) && !lines.is_empty()
        });
    }

    /// The connection used last, if it can take a request.
    ///
    /// Connections to earlier starts are closed: a request on one is lost, and
    /// nobody can say whether it ran.
    fn idle(&self, id: &str, born_ms: Option<u64>, fresh: bool) -> Option<Line> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let lines = idle.get_mut(id)?;
        lines.retain(|idle| idle.line.born_ms >= born_ms);
        if lines.last()?.line.born_ms != born_ms {
            return None;
        }
        while let Some(mut last) = lines.pop() {
            let ms = now.ms_since(last.since);
            if ms >= last.keep_ms || last.line.sender.is_closed() {
                continue;
            }
            if fresh && ms > FRESH_MS {
                // The ones below are older still.
                lines.push(last);
                return None;
            }
            if matches!(last.line.sender.ready().now_or_never(), Some(Ok(()))) {
                return Some(last.line);
            }
        }
        None
    }
}
