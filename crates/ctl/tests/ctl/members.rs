//! Commands that query processes, against small HTTP servers.

use crate::fake::{FakePlatform, Fault};
use ctl::members::{self, ProcessEndpoint};
use ctl::{CtlError, ExitStatus, commands, options};
use prost::Message;
use schema::store::Member;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

/// Operator listener of a fake process.
pub struct Process {
    /// Its address.
    pub address: SocketAddr,
    drain_count: Arc<AtomicUsize>,
}

/// Starts a fake process with this status and these events.
pub async fn start_process(id: &str, revision: u64, events: Value) -> Process {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let drain_count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&drain_count);
    let status = json!({ "id": id, "kind": "entry", "revision": revision,
        "incarnation": 7, "ready": true, "waiting": 0 });
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = vec![0; 4_096];
            let read = stream.read(&mut head).await.unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..read]).into_owned();
            let (code, body) = if head.starts_with("GET /status ") {
                ("200 OK", status.to_string())
            } else if head.starts_with("GET /timeline?") {
                ("200 OK", events.to_string())
            } else if head.starts_with("GET /explain?model=a%2Fb ") {
                ("200 OK", json!(["it is loaded"]).to_string())
            } else if head.starts_with("POST /drain ") {
                counted.fetch_add(1, Ordering::SeqCst);
                ("202 Accepted", String::new())
            } else {
                ("404 Not Found", String::new())
            };
            let length = body.len();
            let response = format!(
                "HTTP/1.1 {code}\r\ncontent-length: {length}\r\n\
                 connection: close\r\n\r\n{body}"
            );
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    Process {
        address,
        drain_count,
    }
}

fn register(platform: &FakePlatform, id: &str, address: SocketAddr) {
    let member = Member {
        kind: "entry".to_owned(),
        id: id.to_owned(),
        operator_address: address.to_string(),
        ..Member::default()
    };
    platform.put(&format!("live/entry/{id}"), &member.encode_to_vec());
}

/// Returns an address that refuses connections while the socket is kept: it is
/// bound, so no other test gets the port, but nothing listens.
fn bind_without_listening() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a free port");
    let address = socket.local_addr().expect("it is bound");
    (socket, address)
}

async fn run(arguments: &[&str]) -> Result<ctl::Report, CtlError> {
    let command = options::parser()
        .run_inner(arguments)
        .expect("valid arguments");
    commands::run(command).await
}

#[tokio::test]
async fn registered_and_given_processes_are_queried_once() {
    let first = start_process("entry-1", 4, json!([])).await;
    let second = start_process("entry-2", 5, json!([])).await;
    let platform = FakePlatform::default();
    register(&platform, "entry-1", first.address);
    let (_socket, closed_address) = bind_without_listening();
    register(&platform, "entry-3", closed_address);
    platform.put("live/entry/odd", b"\xff\xff");
    let given_addresses = [first.address, second.address];
    let processes = members::find_processes(Some(&platform), &given_addresses)
        .await
        .expect("found");
    assert_eq!(processes.len(), 3, "{processes:?}");
    let reports = members::query_statuses(&processes).await;
    let revisions: Vec<_> = reports
        .iter()
        .map(|report| report.status.as_ref().map(|status| status.revision))
        .collect();
    assert_eq!(revisions, [Some(4), None, Some(5)]);
    assert!(reports[1].fault.is_some());
    assert!(!reports[0].has_revision(5) && reports[2].has_revision(5));
}

/// In an outage of the platform, the processes whose addresses are given are
/// still found; without any, the error says why.
#[tokio::test(start_paused = true)]
async fn given_processes_are_found_in_a_platform_outage() {
    let first = SocketAddr::from(([127, 0, 0, 1], 1));
    let platform = FakePlatform::default();
    platform.fail_reads(vec![Fault::Unavailable; 20]);
    let processes = members::find_processes(Some(&platform), &[first])
        .await
        .expect("given");
    assert_eq!(processes.len(), 1);
    let error = members::find_processes(Some(&platform), &[]).await;
    assert!(matches!(error, Err(CtlError::PlatformUnreachable)));
    let error = members::find_processes(None, &[]).await;
    assert!(matches!(error, Err(CtlError::NoAddressGiven)));
}

/// A process ended, and another one took its port before its registration
/// expired. A drain of the ended process must not stop the other.
#[tokio::test]
async fn a_drain_stops_no_process_with_another_name() {
    let other = start_process("entry-2", 1, json!([])).await;
    let processes = [ProcessEndpoint {
        id: Some("entry-1".to_owned()),
        kind: "entry".to_owned(),
        address: other.address,
    }];
    let refused = members::drain(&processes, "entry-1").await;
    assert!(
        matches!(refused, Err(CtlError::WrongProcess { .. })),
        "{refused:?}"
    );
    assert_eq!(other.drain_count.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_drain_reaches_the_named_process_only() {
    let first = start_process("entry-1", 1, json!([])).await;
    let second = start_process("entry-2", 1, json!([])).await;
    let entries = [first.address.to_string(), second.address.to_string()];
    let entry_flags = ["--entry", &entries[0], "--entry", &entries[1]];
    let report = run(&[&["drain"], &entry_flags[..], &["entry-2"]].concat()).await;
    assert_eq!(report.expect("drained").exit_status, ExitStatus::Ok);
    let unknown = run(&[&["drain"], &entry_flags[..], &["entry-3"]].concat()).await;
    assert!(matches!(unknown, Err(CtlError::UnknownProcess { .. })));
    let drain_counts =
        [&first, &second].map(|it| it.drain_count.load(Ordering::SeqCst));
    assert_eq!(drain_counts, [0, 1]);
}

#[tokio::test]
async fn a_timeline_is_merged_by_time_and_names_missing_processes() {
    let event = |process: &str, clock_us: u64| {
        json!({ "clock_us": clock_us, "process": process, "kind": 24,
            "request": "7-1", "detail": format!("{process} at {clock_us}") })
    };
    let events = json!([event("entry-1", 10), event("entry-1", 30)]);
    let first = start_process("entry-1", 1, events).await;
    let second = start_process("agent-1", 1, json!([event("agent-1", 20)])).await;
    let (_socket, closed_address) = bind_without_listening();
    let closed = closed_address.to_string();
    let entries = [first.address.to_string(), second.address.to_string()];
    let entry_flags = [
        "--entry",
        &entries[0],
        "--entry",
        &entries[1],
        "--entry",
        &closed,
    ];
    let command = ["timeline", "--request", "7-1"];
    let report = run(&[&command[..], &entry_flags[..]].concat())
        .await
        .expect("the timeline was collected");
    assert_eq!(report.exit_status, ExitStatus::Ok);
    let lines: Vec<_> = report.text.lines().collect();
    assert!(lines[0].contains(&closed), "{lines:?}");
    for (line, expected) in lines[1..].iter().zip(["at 10", "at 20", "at 30"]) {
        assert!(line.contains(expected), "{line}");
    }
    let report = run(&[&command[..], &["--json"], &entry_flags[..]].concat()).await;
    let report = report.expect("the timeline was collected");
    let events: Vec<schema::timeline::Event> =
        serde_json::from_str(&report.text).expect("events as JSON");
    assert_eq!(events.len(), 3);
    let unreachable = run(&["timeline", "--entry", &closed])
        .await
        .expect("the timeline was collected");
    assert_eq!(unreachable.exit_status, ExitStatus::Unreachable);
}

#[tokio::test]
async fn a_model_is_explained_by_the_processes_that_know_it() {
    let first = start_process("entry-1", 1, json!([])).await;
    let address = first.address.to_string();
    let arguments = ["explain", "--entry", &address, "model", "a/b"];
    let report = run(&arguments).await.expect("explained");
    assert!(report.text.contains("it is loaded"), "{}", report.text);
    let arguments = ["explain", "--entry", &address, "model", "unknown"];
    let report = run(&arguments).await.expect("asked");
    assert_eq!(report.exit_status, ExitStatus::Unreachable);
}
