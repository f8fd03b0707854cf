//! A running stand-in, with its protocol listener and its control listener.

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use tokio::task::JoinSet;

use crate::http::{self, ConnectionCloser, ResponseResult, Server};

/// Maximum size of a request body on the control listener.
const CONTROL_BODY_MAX_BYTES: usize = 64 << 10;

/// Loopback address whose port the kernel chooses.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Protocol, faults and counters of one kind of stand-in.
pub(crate) trait StandIn: Send + Sync + 'static {
    /// Faults that can be injected.
    type Faults: Serialize + DeserializeOwned + Send;
    /// Counters that it keeps.
    type Counts: Serialize;

    /// Handles one request on the protocol listener.
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = ResponseResult> + Send>>;
    /// Replaces the active faults.
    fn set_faults(&self, faults: Self::Faults);
    /// Returns the active faults; limited ones hold their remaining number.
    fn faults(&self) -> Self::Faults;
    /// Returns the counters since the start.
    fn counts(&self) -> Self::Counts;
    /// Runs the command of `POST /control/<name>`; returns false if it is unknown.
    fn run_command(self: Arc<Self>, _name: &str) -> bool {
        false
    }
}

/// A running stand-in. Dropping it closes its listeners and connections and aborts
/// its tasks.
#[derive(Debug)]
pub struct Handle<S> {
    /// Address of the protocol listener.
    pub address: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    pub(crate) stand_in: Arc<S>,
    _servers: [Server; 2],
    _tasks: AbortOnDrop,
}

/// Background tasks of a stand-in, aborted when its [`Handle`] is dropped.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskSet(Arc<Mutex<JoinSet<()>>>);

impl TaskSet {
    /// Spawns a task and discards the finished ones.
    pub(crate) fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut tasks = self.0.lock();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }
}

/// Aborts all tasks when dropped. The stand-in holds clones of the set, whose drop
/// aborts nothing.
#[derive(Debug)]
struct AbortOnDrop(TaskSet);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.0.lock().abort_all();
    }
}

/// Starts both listeners of a stand-in.
pub(crate) async fn start<S: StandIn>(
    stand_in: Arc<S>,
    listen: SocketAddr,
    control: SocketAddr,
    connection_closer: ConnectionCloser,
    tasks: TaskSet,
) -> io::Result<Handle<S>> {
    let shared = Arc::clone(&stand_in);
    let protocol_server = Server::start(listen, connection_closer, move |request| {
        Arc::clone(&shared).handle_request(request)
    })
    .await?;
    let shared = Arc::clone(&stand_in);
    let control_server =
        Server::start(control, ConnectionCloser::default(), move |request| {
            serve_control(Arc::clone(&shared), request)
        })
        .await?;
    Ok(Handle {
        address: protocol_server.address,
        control: control_server.address,
        stand_in,
        _servers: [protocol_server, control_server],
        _tasks: AbortOnDrop(tasks),
    })
}

macro_rules! handle_methods {
    ($stand_in:ty, $faults:ty, $counts:ty) => {
        impl crate::Handle<$stand_in> {
            /// Replaces the active faults.
            pub fn set_faults(&self, faults: $faults) {
                crate::handle::StandIn::set_faults(&*self.stand_in, faults);
            }

            /// Returns the counters since the start.
            pub fn counts(&self) -> $counts {
                crate::handle::StandIn::counts(&*self.stand_in)
            }
        }
    };
}
pub(crate) use handle_methods;

/// Serves the control listener: `PUT /control/faults` replaces the faults,
/// `GET /control/faults` and `GET /control/counts` return faults and counters, and
/// `POST /control/<command>` runs a command.
async fn serve_control<S: StandIn>(
    stand_in: Arc<S>,
    request: Request<Incoming>,
) -> ResponseResult {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/control/counts") => {
            Ok(http::json_response(StatusCode::OK, &stand_in.counts()))
        }
        (&Method::GET, "/control/faults") => {
            Ok(http::json_response(StatusCode::OK, &stand_in.faults()))
        }
        (&Method::PUT, "/control/faults") => {
            match http::read_json(request, CONTROL_BODY_MAX_BYTES).await? {
                Ok(faults) => stand_in.set_faults(faults),
                Err(response) => return Ok(response),
            }
            Ok(http::text_response(StatusCode::OK, ""))
        }
        (&Method::POST, path) => {
            let name = path.strip_prefix("/control/").unwrap_or_default();
            Ok(if stand_in.run_command(name) {
                http::text_response(StatusCode::OK, "")
            } else {
                http::text_response(StatusCode::NOT_FOUND, "no such control")
            })
        }
        _ => Ok(http::text_response(
            StatusCode::NOT_FOUND,
            "no such control",
        )),
    }
}
