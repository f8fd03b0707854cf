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

/// Accepts callers' connections for ever.
pub(crate) async fn accept(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                node.connections
                    .spawn(connection(Arc::clone(&node), stream));
            }
            // Out of descriptors: those open now have to end first.
            Err(fault) => {
                let why = fault.to_string();
                node.log
                    .line("accept_failed", serde_json::json!({ "why": why }));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(node: Arc<Node>, stream: TcpStream) {
    watch_far_end(&stream);
    let limits = node.setup().map(|setup| setup.limits.clone());
    let limits = limits.unwrap_or_default();
    let framing = Framing::default();
    let service = {
        let (node, framing) = (Arc::clone(&node), framing.clone());
        service_fn(move |request| {
            let (node, framing) = (Arc::clone(&node), framing.clone());
            async move {
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
        _ = connection.as_mut() => return,
        () = node.stop.close.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
