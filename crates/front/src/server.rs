//! The callers' listener.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::answer::{AnswerBody, BrokenOff};
use crate::connection::watch_caller;
use crate::framing::{Framing, Watched};
use crate::request::serve;
use crate::state::Node;

/// Room for a head above its limit, and the least buffer that the library takes.
const HEAD_SPARE_BYTES: usize = 8 << 10;

/// Most headers in a request.
const HEADERS_MAX: usize = 100;

/// Pause after the operating system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time that a caller is given to begin its request once connections are to close.
/// One that connected sends it at once; callers leave an entry that has not read
/// their request after a second. A head that has begun has the configured time.
const HEAD_WAIT: Duration = Duration::from_secs(1);

/// Accepts callers' connections until none is to be taken any more.
pub(crate) async fn accept(node: Arc<Node>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.stop.unlisten.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => take(&node, stream),
            // Out of descriptors: those open now have to end first.
            Err(fault) => {
                let why = fault.to_string();
                node.log
                    .line("accept_failed", serde_json::json!({ "why": why }));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    take_last(&node, listener);
}

/// Takes the connections that the operating system holds ready. Closing the
/// listener would reset them, with requests that their callers have sent.
fn take_last(node: &Arc<Node>, listener: TcpListener) {
    // Only a listener that is not registered any more fails here; it holds none.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        if let Ok(stream) = stream.and_then(TcpStream::from_std) {
            take(node, stream);
        }
    }
}

fn take(node: &Arc<Node>, stream: TcpStream) {
    node.connections.spawn(connection(Arc::clone(node), stream));
}

async fn connection(node: Arc<Node>, stream: TcpStream) {
    watch_caller(&stream);
    let limits = node.setup().map(|setup| setup.limits.clone());
    let limits = limits.unwrap_or_default();
    let framing = Framing::default();
    let service = {
        let (node, framing) = (Arc::clone(&node), framing.clone());
        service_fn(move |request| answer(Arc::clone(&node), framing.clone(), request))
    };
    // The library counts the time for a head from the end of the request before,
    // so the bound has to be the one for idle connections.
    let idle =
        Duration::from_millis(limits.idle_timeout_ms.max(limits.head_timeout_ms));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_headers(HEADERS_MAX)
        .max_buf_size(limits.head_max_bytes + HEAD_SPARE_BYTES)
        .serve_connection(TokioIo::new(Watched::new(stream, framing.clone())), service);
    let mut connection = pin!(connection);
    // How a connection ends is its caller's affair; its requests' futures end
    // with it.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = node.stop.close.cancelled() => {}
    }
    let head_timeout = Duration::from_millis(limits.head_timeout_ms);
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = head_due(&framing, head_timeout) => {}
    }
    if framing.owes_head() {
        // The library would wait for it as long as for an idle connection.
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Waits until no head is due on a connection that is to close, or its time is over.
async fn head_due(framing: &Framing, head_timeout: Duration) {
    if timeout(HEAD_WAIT, framing.head_has_begun()).await.is_ok() {
        // Whether it came, the connection is asked.
        let _ = timeout(head_timeout, framing.head_is_whole()).await;
    }
}

async fn answer(
    node: Arc<Node>,
    framing: Framing,
    request: Request<Incoming>,
) -> Result<Response<Answered>, Infallible> {
    framing.answering();
    let answered = AnsweredGuard(framing.clone());
    let response = serve(node, request, framing.is_double()).await;
    framing.next_head();
    Ok(response.map(|body| Answered {
        body,
        _guard: answered,
    }))
}

/// Tells the end of an answer, and also the end of one that is given up.
#[derive(Debug)]
struct AnsweredGuard(Framing);

impl Drop for AnsweredGuard {
    fn drop(&mut self) {
        self.0.answered();
    }
}

/// Body of an answer with its guard: the library drops it when it has all of it.
#[derive(Debug)]
struct Answered {
    body: AnswerBody,
    _guard: AnsweredGuard,
}

impl Body for Answered {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
