//! The operators' listener.

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

/// Connections served at once; further ones wait to be accepted.
const CONNECTIONS_MAX: usize = 64;

/// Longest time for a request's head. Without it, as many silent connections
/// as are served at once would keep every operator and probe out for ever.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait after a failed accept: the process is out of descriptors or memory, and
/// trying again at once would only take its processor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves operators until the future is dropped, which ends its connections.
///
/// `GET /healthz`, `/readyz`, `/metrics`, `/status`,
/// `/timeline?since_us=&request=&model=` and `/explain?model=`; `POST /drain`.
pub async fn serve(listener: TcpListener, operated: Arc<dyn OperatorApi>) {
    let room = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(permit) = room.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let operated = operated.clone();
                connections.spawn(async move {
                    connection(stream, operated).await;
                    drop(permit);
                });
            }
            Err(fault) => {
                log::warn!("operators' listener: {fault}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, operated: Arc<dyn OperatorApi>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let answer: Response<_> =
            route::answer(&*operated, request.method(), request.uri());
        async move { Ok::<_, Infallible>(answer) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(fault) = served {
        log::debug!("operator's connection: {fault}");
    }
}
