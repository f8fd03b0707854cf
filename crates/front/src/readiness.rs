//! The HTTP server for the load balancer's readiness check and for metrics.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use inbound::{ConnectionPermit, ConnectionTable};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

use crate::connection::configure_caller_socket;
use crate::state::Node;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Idle timeout of a connection. The load balancer checks once a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of connections of a listener: balancers and collectors of metrics are
/// few, and each keeps one or two.
const CONNECTIONS_MAX: usize = 64;

/// Serves metrics at the additional address forever, if one is configured.
///
/// If that address is taken, the entry runs without this listener: metrics are
/// only for monitoring, and remain available at the readiness address.
pub(crate) async fn serve_extra_metrics(node: Arc<Node>) {
    let Some(address) = node.options.metrics_address else {
        return;
    };
    match TcpListener::bind(address).await {
        Ok(listener) => {
            let bound = listener.local_addr().unwrap_or(address);
            node.log
                .line("metrics_bound", serde_json::json!({ "address": bound }));
            serve(node, listener).await;
        }
        Err(error) => {
            let why = error.to_string();
            node.log.line(
                "metrics_unbound",
                serde_json::json!({ "address": address, "why": why }),
            );
        }
    }
}

/// Serves the readiness check and metrics on a listener, forever.
pub(crate) async fn serve(node: Arc<Node>, listener: TcpListener) {
    let table = ConnectionTable::new(CONNECTIONS_MAX);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (permit, eviction) = table.admit_when_free().await;
        if let Some(eviction) = eviction {
            node.metrics.record_eviction("probes", eviction);
        }
        tokio::spawn(serve_connection(Arc::clone(&node), stream, permit));
    }
}

/// Serves a connection until it is closed, or gives way to a new one.
async fn serve_connection(
    node: Arc<Node>,
    stream: TcpStream,
    permit: ConnectionPermit,
) {
    configure_caller_socket(&stream);
    let activity = permit.activity().clone();
    let service = service_fn(move |request| {
        let response = respond(&node, &request);
        activity.rest_idle();
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // The client has disconnected.
        _ = connection => {}
        () = permit.activity().evicted() => {}
    }
}

fn respond(node: &Node, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let (status, body) = if path == METRICS_PATH {
        let dropped = i64::try_from(node.log.dropped()).unwrap_or(i64::MAX);
        node.metrics.log_dropped.set(dropped);
        (StatusCode::OK, node.metrics.text())
    } else if path != node.protocol.readiness_path() {
        (StatusCode::NOT_FOUND, String::new())
    } else if node.is_ready() {
        (StatusCode::OK, String::new())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, String::new())
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
