//! HTTP client for the upstream's state.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Maximum size of a response's body.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// An HTTP client that reuses its connection between requests.
///
/// The state is requested several times per second while the process lives. A new
/// connection for each request would account for most of the CPU time of an idle
/// agent and its engine. Attempts and orders do not use this connection.
#[derive(Debug)]
pub(super) struct StateClient {
    address: SocketAddr,
    /// Connection of the last request, if it can be reused.
    idle: Option<OpenConnection>,
}

/// The reason why there is no response.
#[derive(Debug)]
pub(super) enum StateError {
    /// A connection can't be established.
    Unreachable,
    /// The connection was lost, or the response is too large or not valid HTTP.
    RequestFailed,
}

#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Empty<Bytes>>,
    _task: ConnectionTask,
}

/// The task that performs the connection's I/O; it is aborted when this is dropped.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl StateClient {
    /// Creates a client without connecting.
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: None,
        }
    }

    /// Sends a GET request for a path.
    ///
    /// The upstream may have closed an idle connection, so if the request fails on
    /// one, it is repeated on a new connection.
    ///
    /// Dropping the future closes the connection. Otherwise a late response could be
    /// taken for the response to the next request, and a state from before an order
    /// for one from after it.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete response on a new connection.
    pub(super) async fn get(
        &mut self,
        path: &str,
    ) -> Result<(StatusCode, Bytes), StateError> {
        if let Some(idle) = self.idle.take()
            && let Ok(response) = self.get_with(idle, path).await
        {
            return Ok(response);
        }
        let connection = self.connect().await?;
        self.get_with(connection, path).await
    }

    async fn connect(&self) -> Result<OpenConnection, StateError> {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|_| StateError::Unreachable)?;
        // A failure affects only latency.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| StateError::RequestFailed)?;
        let task = tokio::spawn(async move {
            // Errors are reported by the future of the request.
            let _ = connection.await;
        });
        let task = ConnectionTask(task.abort_handle());
        Ok(OpenConnection {
            sender,
            _task: task,
        })
    }

    async fn get_with(
        &mut self,
        mut connection: OpenConnection,
        path: &str,
    ) -> Result<(StatusCode, Bytes), StateError> {
        let failed = |_| StateError::RequestFailed;
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|_| StateError::RequestFailed)?;
        connection.sender.ready().await.map_err(failed)?;
        let response = connection
            .sender
            .send_request(request)
            .await
            .map_err(failed)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|_| StateError::RequestFailed)?;
        self.idle = Some(connection);
        Ok((status, body.to_bytes()))
    }
}
