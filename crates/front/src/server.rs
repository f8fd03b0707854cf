//! The HTTP server for callers.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use inbound::{ConnectionPermit, drain};
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::caller_timeouts::{let_arrived_requests_be_read, timed_out};
use crate::connection::configure_caller_socket;
use crate::connection_end::{ConnectionEnd, ConnectionGuard};
use crate::framing::{ObservedStream, RequestFraming};
use crate::headers::set_connection_close;
use crate::request::serve;
use crate::response::{ResponseAborted, ResponseBody};
use crate::state::Node;

/// Buffer space beyond the limit on request heads. It is also the smallest
/// buffer that the HTTP library accepts.
const HEAD_BUFFER_MARGIN_BYTES: usize = 8 << 10;

/// Largest number of headers in a request.
const MAX_HEADERS: usize = 100;

/// Pause after the operating system failed to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time that a new connection has to start its request once connections are
/// being closed. Callers send it right after connecting, and give up on an
/// entry that has not read their request after a second. A request head that
/// has begun gets the configured time.
const HEAD_START_TIMEOUT: Duration = Duration::from_secs(1);

/// A caller's connection as the HTTP library sees it.
type CallerIo = TokioIo<ObservedStream<TcpStream>>;

/// Accepts callers' connections until the shutdown stops that.
pub(crate) async fn accept(node: Arc<Node>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = node.shutdown.stop_accepting.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) if node.intake_limit.lock().accepts() => {
                admit(&node, stream).await;
            }
            // Closed unread: the caller may send the request to another entry.
            Ok(_) => node.metrics.connections_refused.inc(),
            // No file descriptors are left; open connections have to end first.
            Err(error) => {
                let why = error.to_string();
                node.log
                    .line("accept_failed", serde_json::json!({ "why": why }));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    accept_pending(&node, listener);
}

/// Accepts the connections that are waiting in the listener's backlog. Closing
/// the listener would reset them, along with requests that their callers have
/// already sent.
fn accept_pending(node: &Arc<Node>, listener: TcpListener) {
    // This fails only for a listener that the runtime no longer knows, which
    // has no pending connections.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        if let Ok(stream) = stream.and_then(TcpStream::from_std) {
            try_admit(node, stream);
        }
    }
}

/// Serves a connection if there is a place for it. Those that give way may need a moment
/// to close.
async fn admit(node: &Arc<Node>, stream: TcpStream) {
    if let Some(stream) = try_admit(node, stream) {
        tokio::task::yield_now().await;
        if try_admit(node, stream).is_some() {
            // Closed unread: the caller may send the request to another entry.
            node.metrics.connections_full.inc();
        }
    }
}

/// Serves a connection, or returns it if there is no place for it.
fn try_admit(node: &Arc<Node>, stream: TcpStream) -> Option<TcpStream> {
    let Ok((permit, eviction)) = node.caller_table.admit() else {
        return Some(stream);
    };
    if let Some(eviction) = eviction {
        node.metrics.record_eviction("callers", eviction);
    }
    node.caller_connections
        .spawn(serve_connection(Arc::clone(node), stream, permit));
    None
}

/// Serves one connection until it is closed, or the process exits.
async fn serve_connection(
    node: Arc<Node>,
    stream: TcpStream,
    permit: ConnectionPermit,
) {
    configure_caller_socket(&stream);
    let framing = RequestFraming::new(permit.activity().clone());
    let mut guard = ConnectionGuard::new(Arc::clone(&node), framing.clone());
    let mut serving = pin!(serve_requests(&node, stream, &framing));
    let end = tokio::select! {
        biased;
        end = serving.as_mut() => end,
        () = node.shutdown.finished.cancelled() => ConnectionEnd::Exit,
    };
    guard.record(end);
}

/// Serves the requests of a connection until it is closed. Returns why it ended.
async fn serve_requests(
    node: &Arc<Node>,
    stream: TcpStream,
    framing: &RequestFraming,
) -> ConnectionEnd {
    let head_max_bytes = node.limits().head_max_bytes;
    let service = {
        let (node, framing) = (Arc::clone(node), framing.clone());
        service_fn(move |request| {
            let node = Arc::clone(&node);
            handle_request(node, framing.clone(), head_max_bytes, request)
        })
    };
    let mut connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_headers(MAX_HEADERS)
        .max_buf_size(head_max_bytes.saturating_add(HEAD_BUFFER_MARGIN_BYTES))
        .serve_connection(
            TokioIo::new(ObservedStream::new(stream, framing.clone())),
            service,
        );
    let (end, result) = serve_until_end(node, framing, &mut connection).await;
    let was_refused = match &result {
        Some(Err(error)) => error.is_parse() || error.is_parse_too_large(),
        _ => framing.activity().has_unread_body(),
    };
    if was_refused {
        framing.activity().rest_idle();
        let stream = connection.into_parts().io.into_inner().into_inner();
        let is_closed = tokio::select! {
            is_closed = drain(stream) => is_closed,
            () = framing.activity().evicted() => false,
        };
        let outcome = if is_closed { "closed" } else { "cut" };
        node.metrics.drains.with_label_values(&[outcome]).inc();
    }
    end
}

/// Polls a connection until it ends or is to be closed. Returns why, and the result of
/// the HTTP library if it came to an end itself.
async fn serve_until_end<S>(
    node: &Node,
    framing: &RequestFraming,
    connection: &mut http1::Connection<CallerIo, S>,
) -> (ConnectionEnd, Option<hyper::Result<()>>)
where
    S: HttpService<Incoming, ResBody = GuardedBody, Error = Infallible>,
{
    let end = tokio::select! {
        biased;
        result = &mut *connection => return ended(result),
        () = node.shutdown.close_connections.cancelled() => ConnectionEnd::Stopping,
        () = framing.activity().evicted() => ConnectionEnd::Evicted,
        phase = timed_out(node, framing) => ConnectionEnd::timed_out_in(phase),
    };
    if end == ConnectionEnd::Stopping {
        let head_timeout = Duration::from_millis(node.limits().head_timeout_ms);
        tokio::select! {
            biased;
            result = &mut *connection => return ended(result),
            () = async {
                wait_for_head(framing, head_timeout).await;
                let_arrived_requests_be_read(node).await;
            } => {}
        }
    }
    if framing.expects_head() {
        // A graceful shutdown would wait for the head.
        return (end, None);
    }
    Pin::new(&mut *connection).graceful_shutdown();
    let result = tokio::select! {
        result = connection => result,
        () = framing.activity().must_close(), if end == ConnectionEnd::Evicted => Ok(()),
    };
    match result {
        Ok(()) => (end, Some(Ok(()))),
        Err(error) => (ConnectionEnd::Error, Some(Err(error))),
    }
}

fn ended(result: hyper::Result<()>) -> (ConnectionEnd, Option<hyper::Result<()>>) {
    (ConnectionEnd::of(&result), Some(result))
}

/// Waits until no request head is expected on a connection that is to be
/// closed, or its time is up.
async fn wait_for_head(framing: &RequestFraming, head_timeout: Duration) {
    if timeout(HEAD_START_TIMEOUT, framing.head_started())
        .await
        .is_ok()
    {
        // The caller checks whether the head arrived.
        let _ = timeout(head_timeout, framing.head_complete()).await;
    }
}

/// Handles one request and tracks the phase of its connection, whose buffer fits heads of
/// up to `head_max_bytes`.
async fn handle_request(
    node: Arc<Node>,
    framing: RequestFraming,
    head_max_bytes: usize,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody>, Infallible> {
    framing.response_started();
    let guard = ResponseGuard(framing.clone());
    let mut response = serve(Arc::clone(&node), request, &framing).await;
    framing.reset_head();
    // The buffer can't grow; a longer head would be refused.
    let is_buffer_small = node.limits().head_max_bytes > head_max_bytes;
    if is_buffer_small || framing.activity().has_unread_body() {
        set_connection_close(response.headers_mut());
    }
    Ok(response.map(|body| GuardedBody {
        body,
        _guard: guard,
    }))
}

/// Marks the response as finished when dropped, also if it was aborted.
#[derive(Debug)]
struct ResponseGuard(RequestFraming);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.response_finished();
    }
}

/// A response body with its guard. The HTTP library drops it once it has read
/// all of it.
#[derive(Debug)]
struct GuardedBody {
    body: ResponseBody,
    _guard: ResponseGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
