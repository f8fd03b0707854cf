//! The operators' listener: HTTP for operators, probes and scrapers.

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use inbound::{ConnectionPermit, ConnectionTable};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::{OperatorApi, route};

/// Largest number of connections. When all places are taken, the connection that has
/// rested longest gives way: idle ones would otherwise block all operators and probes.
const CONNECTIONS_MAX: usize = 64;

/// Longest time for a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept. The process is then out of descriptors or memory,
/// and retrying at once would only use processor time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves operators until the future is dropped, which closes its connections.
///
/// The paths are `GET /healthz`, `/readyz`, `/metrics`, `/status`,
/// `/timeline?since_us=&request=&model=` and `/explain?model=`, and `POST /drain`.
pub async fn serve(listener: TcpListener, api: Arc<dyn OperatorApi>) {
    let table = ConnectionTable::new(CONNECTIONS_MAX);
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                let (permit, eviction) = table.admit_when_free().await;
                if let Some(eviction) = eviction {
                    log::debug!(
                        "a connection on the operators' listener that waited for {} \
                         gave way",
                        eviction.phase
                    );
                }
                connections.spawn(serve_connection(stream, api.clone(), permit));
            }
            Err(error) => {
                log::warn!(
                    "can't accept a connection on the operators' listener: {error}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    api: Arc<dyn OperatorApi>,
    permit: ConnectionPermit,
) {
    let activity = permit.activity().clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let response: Response<_> =
            route::respond(&*api, request.method(), request.uri());
        activity.rest_idle();
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        result = connection => {
            if let Err(error) = result {
                log::debug!("connection on the operators' listener failed: {error}");
            }
        }
        () = permit.activity().evicted() => {}
    }
}
