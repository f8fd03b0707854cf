//! Commands that ask processes, against small listeners of the operators' paths.

use crate::fake::{FakePlatform, Fault};
use ctl::members::{self, Target};
use ctl::{CtlError, Exit, commands, options};
use prost::Message;
use schema::store::Member;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

/// One process's operators' listener.
pub struct Process {
    /// Where it listens.
    pub address: SocketAddr,
    drains: Arc<AtomicUsize>,
}

/// Starts a process that answers with a status and events.
pub async fn process(id: &str, revision: u64, events: Value) -> Process {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let drains = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&drains);
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
            let answer = format!(
                "HTTP/1.1 {code}\r\ncontent-length: {length}\r\n\
                 connection: close\r\n\r\n{body}"
            );
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    Process { address, drains }
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

/// An address that refuses connections for as long as the socket is kept: it is
/// bound, so no other test gets the port, and nothing listens.
fn silent_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any_port).expect("a free port");
    let address = socket.local_addr().expect("it is bound");
    (socket, address)
}

async fn run(arguments: &[&str]) -> Result<ctl::Report, CtlError> {
    let command = options::parser()
        .run_inner(arguments)
        .expect("good arguments");
    commands::run(command).await
}

#[tokio::test]
async fn registered_and_given_processes_are_asked_once() {
    let one = process("entry-1", 4, json!([])).await;
    let two = process("entry-2", 5, json!([])).await;
    let platform = FakePlatform::default();
    register(&platform, "entry-1", one.address);
    let (_socket, silent) = silent_address();
    register(&platform, "entry-3", silent);
    platform.put("live/entry/odd", b"\xff\xff");
    let given = [one.address, two.address];
    let targets = members::targets(Some(&platform), &given)
        .await
        .expect("found");
    assert_eq!(targets.len(), 3, "{targets:?}");
    let lines = members::statuses(&targets).await;
    let revisions: Vec<_> = lines
        .iter()
        .map(|line| line.status.as_ref().map(|status| status.revision))
        .collect();
    assert_eq!(revisions, [Some(4), None, Some(5)]);
    assert!(lines[1].fault.is_some());
    assert!(!lines[0].has_revision(5) && lines[2].has_revision(5));
}

/// The platform is in an outage: the processes whose address is given are asked
/// all the same, and without any the command says why it can't go on.
#[tokio::test(start_paused = true)]
async fn an_outage_of_the_platform_does_not_blind_the_operator() {
    let one = SocketAddr::from(([127, 0, 0, 1], 1));
    let platform = FakePlatform::default();
    platform.fail_reads(vec![Fault::Away; 20]);
    let targets = members::targets(Some(&platform), &[one])
        .await
        .expect("given");
    assert_eq!(targets.len(), 1);
    let none = members::targets(Some(&platform), &[]).await;
    assert!(matches!(none, Err(CtlError::PlatformAway)));
    let none = members::targets(None, &[]).await;
    assert!(matches!(none, Err(CtlError::NoTarget)));
}

/// A process has gone and another took its port before its registration ended.
/// Draining the one that has gone must not stop the other.
#[tokio::test]
async fn a_drain_stops_no_other_process() {
    let other = process("entry-2", 1, json!([])).await;
    let targets = [Target {
        id: Some("entry-1".to_owned()),
        kind: "entry".to_owned(),
        address: other.address,
    }];
    let refused = members::drain(&targets, "entry-1").await;
    assert!(
        matches!(refused, Err(CtlError::OtherProcess { .. })),
        "{refused:?}"
    );
    assert_eq!(other.drains.load(Ordering::SeqCst), 0);
}

#[tokio::test]
async fn a_drain_reaches_the_named_process_only() {
    let one = process("entry-1", 1, json!([])).await;
    let two = process("entry-2", 1, json!([])).await;
    let entries = [one.address.to_string(), two.address.to_string()];
    let at = ["--entry", &entries[0], "--entry", &entries[1]];
    let report = run(&[&["drain"], &at[..], &["entry-2"]].concat()).await;
    assert_eq!(report.expect("drained").exit, Exit::Ok);
    let unknown = run(&[&["drain"], &at[..], &["entry-3"]].concat()).await;
    assert!(matches!(unknown, Err(CtlError::NoSuchMember { .. })));
    let drains = [&one, &two].map(|it| it.drains.load(Ordering::SeqCst));
    assert_eq!(drains, [0, 1]);
}

#[tokio::test]
async fn a_time_line_is_merged_by_clock_and_names_what_is_missing() {
    let event = |process: &str, clock_us: u64| {
        json!({ "clock_us": clock_us, "process": process, "kind": 24,
            "request": "7-1", "detail": format!("{process} at {clock_us}") })
    };
    let events = json!([event("entry-1", 10), event("entry-1", 30)]);
    let one = process("entry-1", 1, events).await;
    let two = process("agent-1", 1, json!([event("agent-1", 20)])).await;
    let (_socket, silent) = silent_address();
    let gone = silent.to_string();
    let entries = [one.address.to_string(), two.address.to_string()];
    let at = [
        "--entry",
        &entries[0],
        "--entry",
        &entries[1],
        "--entry",
        &gone,
    ];
    let line = ["timeline", "--request", "7-1"];
    let report = run(&[&line[..], &at[..]].concat()).await.expect("gathered");
    assert_eq!(report.exit, Exit::Ok);
    let lines: Vec<_> = report.text.lines().collect();
    assert!(lines[0].contains(&gone), "{lines:?}");
    for (line, at) in lines[1..].iter().zip(["at 10", "at 20", "at 30"]) {
        assert!(line.contains(at), "{line}");
    }
    let report = run(&[&line[..], &["--json"], &at[..]].concat()).await;
    let report = report.expect("gathered");
    let events: Vec<schema::timeline::Event> =
        serde_json::from_str(&report.text).expect("events as JSON");
    assert_eq!(events.len(), 3);
    let none = run(&["timeline", "--entry", &gone])
        .await
        .expect("gathered");
    assert_eq!(none.exit, Exit::Unreachable);
}

#[tokio::test]
async fn a_model_is_explained_by_those_who_know() {
    let one = process("entry-1", 1, json!([])).await;
    let address = one.address.to_string();
    let arguments = ["explain", "--entry", &address, "model", "a/b"];
    let report = run(&arguments).await.expect("explained");
    assert!(report.text.contains("it is loaded"), "{}", report.text);
    let arguments = ["explain", "--entry", &address, "model", "unknown"];
    let report = run(&arguments).await.expect("asked");
    assert_eq!(report.exit, Exit::Unreachable);
}
