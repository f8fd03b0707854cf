//! The operators' listener: HTTP for operators, probes and scrapers.

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::{OperatorApi, route};

/// Largest number of connections served at once; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 64;

/// Longest time for a request's head. Without it, [`CONNECTIONS_MAX`] idle
/// connections would block all operators and probes forever.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept. The process is then out of descriptors or memory,
/// and retrying at once would only use processor time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves operators until the future is dropped, which closes its connections.
///
/// The paths are `GET /healthz`, `/readyz`, `/metrics`, `/status`,
/// `/timeline?since_us=&request=&model=` and `/explain?model=`, and `POST /drain`.
pub async fn serve(listener: TcpListener, api: Arc<dyn OperatorApi>) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let api = api.clone();
                connections.spawn(async move {
                    serve_connection(stream, api).await;
                    drop(permit);
                });
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

async fn serve_connection(stream: TcpStream, api: Arc<dyn OperatorApi>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response: Response<_> =
            route::respond(&*api, request.method(), request.uri());
        async move { Ok::<_, Infallible>(response) }
    });
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!("connection on the operators' listener failed: {error}");
    }
}
