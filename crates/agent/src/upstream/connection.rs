//! A connection to the upstream that knows whether anything was written to it.

use base::RunStatus;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// One connection, used for one request and closed with it.
///
/// Connections are not kept: closing one is how the upstream learns that a
/// request is cancelled, and a kept one could have been closed by the upstream
/// without this side knowing, which would make "not one byte was written" hard
/// to tell.
#[derive(Debug)]
pub(super) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    written: Arc<Written>,
    driver: Driver,
}

/// Why there is no answer.
#[derive(Debug)]
pub(super) struct NoAnswer {
    /// Whether the request was run.
    pub(super) ran: RunStatus,
    /// The connection broke, rather than not being had.
    pub(super) broken: bool,
}

/// The task that reads and writes; it ends with the connection's owner.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Connects.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, NoAnswer> {
        let not_reached = NoAnswer {
            ran: RunStatus::NotRun,
            broken: false,
        };
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(not_reached);
        };
        // It costs latency, not correctness, if it fails.
        let _ = stream.set_nodelay(true);
        let written = Arc::new(Written::default());
        let io = Watched {
            stream,
            written: Arc::clone(&written),
        };
        let Ok((sender, driving)) = http1::handshake(TokioIo::new(io)).await else {
            return Err(not_reached);
        };
        let task = tokio::spawn(async move {
            // The request's own future reports what goes wrong.
            let _ = driving.await;
        });
        Ok(Self {
            sender,
            written,
            driver: Driver(task.abort_handle()),
        })
    }

    /// Sends the request and waits for the answer's head; `started` is called
    /// once, when the first bytes have been written.
    ///
    /// Dropping the future or what it gives closes the connection.
    pub(super) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        started: impl FnOnce(),
    ) -> Result<Answering, NoAnswer> {
        let response = self.sender.send_request(request);
        tokio::pin!(response);
        let early = tokio::select! {
            biased;
            () = self.written.happened() => None,
            response = &mut response => Some(response),
        };
        let any_written = self.written.is_any();
        if any_written {
            started();
        }
        let response = match early {
            Some(response) => response,
            None => response.await,
        };
        match response {
            Ok(response) => Ok(Answering {
                response,
                _driver: self.driver,
            }),
            Err(_) => Err(NoAnswer {
                ran: if self.written.is_any() {
                    RunStatus::Ran
                } else {
                    RunStatus::NotRun
                },
                broken: true,
            }),
        }
    }
}

/// An answer whose head has come, with its connection.
#[derive(Debug)]
pub(super) struct Answering {
    pub(super) response: Response<Incoming>,
    _driver: Driver,
}

/// Whether anything was written to a connection.
#[derive(Debug, Default)]
struct Written {
    any: AtomicBool,
    changed: Notify,
}

impl Written {
    fn is_any(&self) -> bool {
        self.any.load(Ordering::Acquire)
    }

    fn note(&self) {
        if !self.any.swap(true, Ordering::AcqRel) {
            self.changed.notify_one();
        }
    }

    /// Waits for the first write; there is one waiter.
    async fn happened(&self) {
        while !self.is_any() {
            self.changed.notified().await;
        }
    }
}

/// A stream that notes the first write.
#[derive(Debug)]
struct Watched {
    stream: TcpStream,
    written: Arc<Written>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(1..)) = written {
            self.written.note();
        }
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
