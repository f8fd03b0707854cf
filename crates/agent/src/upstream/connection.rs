//! Connections to the upstream that record whether anything was written to them.

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

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection for a single request, closed when the request ends.
///
/// Connections are not reused. Closing one tells the upstream that the request is
/// cancelled. Also, the upstream might have closed an idle connection unnoticed, and
/// then it would be hard to determine whether any byte of a request was sent.
#[derive(Debug)]
pub(super) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    first_write: Arc<FirstWrite>,
    connection_task: ConnectionTask,
}

/// The reason why there is no response.
#[derive(Debug)]
pub(super) struct ConnectionError {
    /// Whether the request ran.
    pub(super) ran: RunStatus,
    /// The connection was lost; false if it could not be established.
    pub(super) broken: bool,
}

/// The task that performs the connection's I/O; it is aborted when this is dropped.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Connects to the upstream.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, ConnectionError> {
        let not_reached = ConnectionError {
            ran: RunStatus::NotRun,
            broken: false,
        };
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(not_reached);
        };
        // A failure affects only latency.
        let _ = stream.set_nodelay(true);
        let first_write = Arc::new(FirstWrite::default());
        let io = WriteMonitor {
            stream,
            first_write: Arc::clone(&first_write),
        };
        let Ok((sender, connection)) = http1::handshake(TokioIo::new(io)).await else {
            return Err(not_reached);
        };
        let task = tokio::spawn(async move {
            // Errors are reported by the future of the request.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            first_write,
            connection_task: ConnectionTask(task.abort_handle()),
        })
    }

    /// Sends the request and waits for the head of the response. `on_started` is
    /// called once, after the first bytes have been written.
    ///
    /// Dropping the future or the returned response closes the connection.
    pub(super) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        on_started: impl FnOnce(),
    ) -> Result<UpstreamResponse, ConnectionError> {
        let response = self.sender.send_request(request);
        tokio::pin!(response);
        let early_response = tokio::select! {
            biased;
            () = self.first_write.wait() => None,
            response = &mut response => Some(response),
        };
        let any_written = self.first_write.occurred();
        if any_written {
            on_started();
        }
        let response = match early_response {
            Some(response) => response,
            None => response.await,
        };
        match response {
            Ok(response) => Ok(UpstreamResponse {
                inner: response,
                _connection_task: self.connection_task,
            }),
            Err(_) => Err(ConnectionError {
                ran: if self.first_write.occurred() {
                    RunStatus::Ran
                } else {
                    RunStatus::NotRun
                },
                broken: true,
            }),
        }
    }
}

/// A response whose head has arrived, with its connection.
#[derive(Debug)]
pub(super) struct UpstreamResponse {
    pub(super) inner: Response<Incoming>,
    _connection_task: ConnectionTask,
}

/// Records the first write to a connection.
#[derive(Debug, Default)]
struct FirstWrite {
    occurred: AtomicBool,
    notify: Notify,
}

impl FirstWrite {
    fn occurred(&self) -> bool {
        self.occurred.load(Ordering::Acquire)
    }

    fn record(&self) {
        if !self.occurred.swap(true, Ordering::AcqRel) {
            self.notify.notify_one();
        }
    }

    /// Waits for the first write. Only one task may wait.
    async fn wait(&self) {
        while !self.occurred() {
            self.notify.notified().await;
        }
    }
}

/// A TCP stream that records the first write.
#[derive(Debug)]
struct WriteMonitor {
    stream: TcpStream,
    first_write: Arc<FirstWrite>,
}

impl AsyncRead for WriteMonitor {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteMonitor {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(1..)) = written {
            self.first_write.record();
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
