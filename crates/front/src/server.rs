//! The callers' listener.

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

use crate::connection::watch_far_end;
use crate::framing::{Framing, Watched};
use crate::node::Node;
use crate::request::serve;

/// Room for a head above its limit, and the least buffer that the library takes.
const HEAD_SPARE_BYTES: usize = 8 << 10;

/// Most headers in a request.
const HEADERS_MAX: usize = 100;

/// Pause after the operating system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time that a caller is given for the head of its request once connections are to
/// close. One that connected sends it at once; callers leave an entry that has not
/// read their request after a second.
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
    watch_far_end(&stream);
    let limits = node.setup().map(|setup| setup.limits.clone());
    let limits = limits.unwrap_or_default();
    let framing = Framing::default();
    let turns = framing.clone();
    let service = {
        let (node, framing) = (Arc::clone(&node), framing.clone());
        service_fn(move |request| {
            let (node, framing) = (Arc::clone(&node), framing.clone());
            async move {
                framing.answering();
                let response = serve(node, request, framing.is_double()).await;
                framing.next_head();
                Ok::<_, Infallible>(response)
            }
        })
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
        .serve_connection(TokioIo::new(Watched::new(stream, framing)), service);
    let mut connection = pin!(connection);
    // How a connection ends is its caller's affair; its requests' futures end
    // with it.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = node.stop.close.cancelled() => {}
    }
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = turns.head_is_whole() => {}
        () = tokio::time::sleep(HEAD_WAIT) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
