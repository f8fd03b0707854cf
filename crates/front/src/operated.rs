//! The listener of the balancer's question and of metrics.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

use crate::connection::watch_caller;
use crate::state::Node;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Time for which a connection may idle; the balancer asks once a second.
const IDLE: Duration = Duration::from_secs(10);

/// Answers at the further address of metrics for ever, if there is one.
///
/// An entry whose further address is taken serves callers all the same, without
/// that listener: metrics are for those who look on, and have the address of
/// readiness left.
pub(crate) async fn answer_elsewhere(node: Arc<Node>) {
    let Some(address) = node.options.metrics_address else {
        return;
    };
    match TcpListener::bind(address).await {
        Ok(listener) => {
            let bound = listener.local_addr().unwrap_or(address);
            node.log
                .line("metrics_bound", serde_json::json!({ "address": bound }));
            answer(node, listener).await;
        }
        Err(fault) => {
            let why = fault.to_string();
            node.log.line(
                "metrics_unbound",
                serde_json::json!({ "address": address, "why": why }),
            );
        }
    }
}

/// Answers for ever.
pub(crate) async fn answer(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        watch_caller(&stream);
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = one(&node, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE)
                .serve_connection(TokioIo::new(stream), service);
            // Whoever asked has gone.
            let _ = connection.await;
        });
    }
}

fn one(node: &Node, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let (status, body) = if path == METRICS_PATH {
        let dropped = i64::try_from(node.log.dropped()).unwrap_or(i64::MAX);
        node.meters.log_dropped.set(dropped);
        (StatusCode::OK, node.meters.text())
    } else if path != node.dialect.readiness_path() {
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
