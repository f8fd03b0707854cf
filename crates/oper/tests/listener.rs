//! Tests of the operators' listener over HTTP, and of query parsing.

use line::{Event, EventFilter, EventRecorder};
use oper::{OperatorApi, query_value, serve};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A fake process that keeps only the state that operators can change.
#[derive(Debug)]
struct Process {
    draining: AtomicBool,
    recorder: EventRecorder,
}

impl OperatorApi for Process {
    fn ready(&self) -> bool {
        !self.draining.load(Ordering::SeqCst)
    }

    fn status(&self) -> serde_json::Value {
        serde_json::json!({"ready": self.ready()})
    }

    fn metrics(&self) -> String {
        "requests_total 3\n".to_owned()
    }

    fn timeline(&self, filter: &EventFilter) -> Vec<Event> {
        self.recorder.events(filter)
    }

    fn explain_model(&self, model: &str) -> Vec<String> {
        vec![format!("{model} is nowhere")]
    }

    fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }
}

async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let process = Process {
        draining: AtomicBool::new(false),
        recorder: EventRecorder::new("p", 10),
    };
    for model in ["m 1", "n"] {
        process.recorder.record(Event {
            model: model.to_owned(),
            ..Event::default()
        });
    }
    tokio::spawn(serve(listener, Arc::new(process)));
    address
}

#[tokio::test]
async fn each_path_answers() {
    let address = start().await;
    let cases = [
        ("/healthz", 200, "alive\n"),
        ("/readyz", 200, "ready\n"),
        ("/metrics", 200, "requests_total 3\n"),
        ("/status", 200, "{\"ready\":true}"),
        ("/explain?model=m%201", 200, "[\"m 1 is nowhere\"]"),
        ("/explain", 400, "{\"code\":1001,\"error\":\"bad_request\"}"),
        (
            "/timeline?since_us=soon",
            400,
            "{\"code\":1001,\"error\":\"bad_request\"}",
        ),
        ("/timeline?model=x", 200, "[]"),
        ("/drain", 404, "{\"code\":1008,\"error\":\"unknown_path\"}"),
        ("/", 404, "{\"code\":1008,\"error\":\"unknown_path\"}"),
    ];
    for (path, status, body) in cases {
        let response = plat::http::get(address, path).await.unwrap();
        assert_eq!(response.status, status, "{path}");
        assert_eq!(String::from_utf8_lossy(&response.body), body, "{path}");
    }
    let response = plat::http::get(address, "/timeline?model=m+1")
        .await
        .unwrap();
    let events: Vec<Event> = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(events.len(), 1);
}

#[tokio::test]
async fn a_drained_process_is_alive_and_not_ready() {
    let address = start().await;
    let response = plat::http::post(address, "/drain", "".into())
        .await
        .unwrap();
    assert_eq!(response.status, 202);
    let paths = [("/readyz", 503), ("/healthz", 200)];
    for (path, status) in paths {
        let response = plat::http::get(address, path).await.unwrap();
        assert_eq!(response.status, status, "{path}");
    }
}

// A client opens as many connections as the listener serves and sends nothing. A
// probe that connects after them must get its response once they time out, or the
// process would be considered dead.
#[tokio::test]
async fn silent_connections_do_not_block_probes() {
    const SERVED_MAX: usize = 64;
    let address = start().await;
    let mut silent = Vec::new();
    for _ in 0..SERVED_MAX {
        silent.push(TcpStream::connect(address).await.unwrap());
    }
    let mut probe = TcpStream::connect(address).await.unwrap();
    let request = b"GET /healthz HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n";
    probe.write_all(request).await.unwrap();
    tokio::time::pause();
    let mut response = String::new();
    let deadline = Duration::from_secs(3_600);
    let read =
        tokio::time::timeout(deadline, probe.read_to_string(&mut response)).await;
    read.expect("the probe gets no response").unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[test]
fn query_values_are_unescaped() {
    let cases = [
        ("a=1&b=2", "b", Some("2")),
        ("a=1", "b", None),
        ("a", "a", None),
        ("a=", "a", Some("")),
        ("a=x%2Fy+z", "a", Some("x/y z")),
        ("a=%zz%4", "a", Some("%zz%4")),
        ("a=%ff", "a", Some("\u{fffd}")),
    ];
    for (query, key, value) in cases {
        assert_eq!(query_value(query, key).as_deref(), value, "{query}");
    }
}
