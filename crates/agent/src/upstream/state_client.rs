//! The connection on which the upstream's state is asked for.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Largest answer taken.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// A connection that is kept from one question to the next.
///
/// The question comes several times a second for as long as the process lives.
/// A connection for each is most of what an idle agent, and the engine beside
/// it, would take of a processor. Runs and orders don't use this connection.
#[derive(Debug)]
pub(super) struct Asking {
    address: SocketAddr,
    kept: Option<Kept>,
}

/// Why there is no answer.
#[derive(Debug)]
pub(super) enum NoState {
    /// Nobody is there.
    Gone,
    /// The connection broke, or the answer is too large or not HTTP.
    Broken,
}

#[derive(Debug)]
struct Kept {
    sender: SendRequest<Empty<Bytes>>,
    _driver: Driver,
}

/// The task that reads and writes; it ends with the connection's owner.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Asking {
    /// Asks at an address; nothing is connected yet.
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            kept: None,
        }
    }

    /// Gets a path.
    ///
    /// The upstream may have closed a kept connection in the meantime, so one
    /// that breaks says nothing on the upstream: a new one is tried.
    ///
    /// Dropping the future closes the connection. Were it kept, the next
    /// question could be given the late answer to this one, and a state from
    /// before an order would pass for one from after it.
    ///
    /// # Errors
    ///
    /// There is no whole answer on a new connection.
    pub(super) async fn get(
        &mut self,
        path: &str,
    ) -> Result<(StatusCode, Bytes), NoState> {
        if let Some(kept) = self.kept.take()
            && let Ok(answer) = self.get_on(kept, path).await
        {
            return Ok(answer);
        }
        let fresh = self.connect().await?;
        self.get_on(fresh, path).await
    }

    async fn connect(&self) -> Result<Kept, NoState> {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.map_err(|_| NoState::Gone)?;
        // It costs latency, not correctness, if it fails.
        let _ = stream.set_nodelay(true);
        let (sender, driving) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| NoState::Broken)?;
        let task = tokio::spawn(async move {
            // The question's own future reports what goes wrong.
            let _ = driving.await;
        });
        let driver = Driver(task.abort_handle());
        Ok(Kept {
            sender,
            _driver: driver,
        })
    }

    async fn get_on(
        &mut self,
        mut on: Kept,
        path: &str,
    ) -> Result<(StatusCode, Bytes), NoState> {
        let broken = |_| NoState::Broken;
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|_| NoState::Broken)?;
        on.sender.ready().await.map_err(broken)?;
        let response = on.sender.send_request(request).await.map_err(broken)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES);
        let body = body.collect().await.map_err(|_| NoState::Broken)?;
        self.kept = Some(on);
        Ok((status, body.to_bytes()))
    }
}
