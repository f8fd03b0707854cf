//! The client of the platform against a server that breaks its protocol.

use base::{ObjectVersion, PlatformOp, PlatformResult, Precondition};
use plat::{HttpPlatform, ObjectApi};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What the server does with a request, once it has read it whole.
#[derive(Debug, Clone, Copy)]
enum Does {
    /// Sends this and closes.
    Sends(&'static str),
    /// Closes without a word.
    Closes,
    /// Says nothing.
    IsSilent,
}

/// A server that does one thing; each request it reads comes out of the
/// channel.
async fn server(does: Does) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, seen) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut silent = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = requests.send(request(&mut stream).await);
            match does {
                Does::Sends(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                Does::Closes => {}
                Does::IsSilent => silent.push(stream),
            }
        }
    });
    (address, seen)
}

/// The result of a call, and whether the server read its request.
///
/// From then on time runs as fast as nothing happens, if the server is silent:
/// not before, or a timeout would overtake the request.
async fn when_read<T>(
    does: Does,
    call: impl Future<Output = T>,
    requests: &mut mpsc::UnboundedReceiver<String>,
) -> (T, bool) {
    let read = async {
        let sent = requests.recv().await.is_some();
        if matches!(does, Does::IsSilent) {
            tokio::time::pause();
        }
        sent
    };
    // Longer than any timeout, so that a call without one fails here.
    let hour = Duration::from_secs(3_600);
    let call = tokio::time::timeout(hour, call);
    let (result, sent) = tokio::join!(call, read);
    if matches!(does, Does::IsSilent) {
        tokio::time::resume();
    }
    (result.expect("the call waits for ever"), sent)
}

/// Reads one request: its head, and a body of the length it tells.
async fn request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1_024];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let told = head.split("content-length: ").nth(1);
            let length = told.and_then(|rest| rest.lines().next());
            let length = length.map_or(0, |length| length.parse().unwrap());
            if body.len() >= length {
                return String::from_utf8(bytes).unwrap();
            }
        }
        let read = stream.read(&mut chunk).await.unwrap_or(0);
        if read == 0 {
            return String::from_utf8_lossy(&bytes).into_owned();
        }
        bytes.extend_from_slice(&chunk[..read]);
    }
}

fn read() -> PlatformOp {
    PlatformOp::Read {
        key: "agents/a".to_owned(),
    }
}

fn list() -> PlatformOp {
    PlatformOp::List {
        prefix: "live/".to_owned(),
    }
}

fn watch() -> PlatformOp {
    PlatformOp::Watch {
        prefix: "live/".to_owned(),
        after: ObjectVersion(7),
    }
}

fn write() -> PlatformOp {
    PlatformOp::Write {
        key: "agents/a b?%&".to_owned(),
        precondition: Precondition::Version(ObjectVersion(3)),
        value: b"value".to_vec(),
    }
}

fn delete(precondition: Precondition) -> PlatformOp {
    PlatformOp::Delete {
        key: "agents/a".to_owned(),
        precondition,
    }
}

const OK_EMPTY: &str = "HTTP/1.1 200 OK\r\nX-Version: 9\r\nContent-Length: 0\r\n\r\n";
const OK_VALUE: &str = "HTTP/1.1 200 OK\r\nX-Version: 9\r\nContent-Length: 2\r\n\r\nhi";
const NO_VERSION: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const CUT: &str = "HTTP/1.1 200 OK\r\nX-Version: 9\r\nContent-Length: 9\r\n\r\nhi";
const NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const CONFLICT: &str = "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n";
const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const BAD_GATEWAY: &str = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
const NOT_HTTP: &str = "this is not HTTP at all\r\n\r\n";
const LISTING: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n\
    {\"version\":12,\"deleted\":[\"live/a\"],\"objects\":[\
    {\"key\":\"live/b\",\"version\":11,\"value_base64\":\"aGk=\"}]}";
const BAD_LISTING: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const BAD_BASE64: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n\
    {\"version\":1,\"objects\":[{\"key\":\"a\",\"version\":1,\"value_base64\":\"*\"}]}";

// The platform answers, refuses, breaks off or says nothing.
// A write without a whole answer may have taken effect: were it told as `Unavailable`,
// its caller would write again or think that a claim was not taken. A read has
// no effect, so one that fails is `Unavailable`.
#[tokio::test]
async fn each_answer_has_its_result() {
    use PlatformResult::{Conflict, Object, Objects, Unanswered, Unavailable, Written};
    let any = || delete(Precondition::Any);
    let versioned = || delete(Precondition::Version(ObjectVersion(3)));
    let listed = || {
        let objects = vec![
            ("live/a".to_owned(), ObjectVersion(12), Vec::new()),
            ("live/b".to_owned(), ObjectVersion(11), b"hi".to_vec()),
        ];
        Objects(objects, ObjectVersion(12))
    };
    let cases = [
        (
            read(),
            Does::Sends(OK_VALUE),
            Object(Some((ObjectVersion(9), b"hi".to_vec()))),
        ),
        (read(), Does::Sends(NOT_FOUND), Object(None)),
        (read(), Does::Sends(NO_VERSION), Unavailable),
        (read(), Does::Sends(REFUSED), Unavailable),
        (read(), Does::Sends(CUT), Unavailable),
        (read(), Does::Sends(NOT_HTTP), Unavailable),
        (read(), Does::Closes, Unavailable),
        (read(), Does::IsSilent, Unavailable),
        (list(), Does::Sends(LISTING), listed()),
        (list(), Does::Sends(BAD_LISTING), Unavailable),
        (list(), Does::Sends(BAD_BASE64), Unavailable),
        (list(), Does::IsSilent, Unavailable),
        (watch(), Does::Sends(LISTING), listed()),
        (watch(), Does::IsSilent, Unavailable),
        (write(), Does::Sends(OK_EMPTY), Written(ObjectVersion(9))),
        (write(), Does::Sends(NO_VERSION), Unanswered),
        (write(), Does::Sends(CONFLICT), Conflict),
        (write(), Does::Sends(REFUSED), Unavailable),
        (write(), Does::Sends(BAD_GATEWAY), Unanswered),
        (write(), Does::Sends(NOT_HTTP), Unanswered),
        (write(), Does::Closes, Unanswered),
        (write(), Does::IsSilent, Unanswered),
        (any(), Does::Sends(OK_EMPTY), Written(ObjectVersion(9))),
        (any(), Does::Sends(NOT_FOUND), Written(ObjectVersion(0))),
        (versioned(), Does::Sends(NOT_FOUND), Conflict),
        (versioned(), Does::Sends(CONFLICT), Conflict),
        (versioned(), Does::Closes, Unanswered),
    ];
    for (op, does, expected) in cases {
        let (address, mut requests) = server(does).await;
        let platform = HttpPlatform::new(address);
        let (result, sent) = when_read(does, platform.call(&op), &mut requests).await;
        assert_eq!(result, expected, "{op:?} and the server {does:?}");
        assert!(sent, "{op:?} was not sent");
        assert!(requests.try_recv().is_err(), "{op:?} was sent twice");
    }
}

#[tokio::test]
async fn nobody_listening_is_away_for_reads_and_writes() {
    // An address of its own: nothing else on the machine takes its port.
    let listener = TcpListener::bind("127.0.0.19:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let platform = HttpPlatform::new(address);
    for op in [read(), list(), watch(), write(), delete(Precondition::Any)] {
        assert_eq!(
            platform.call(&op).await,
            PlatformResult::Unavailable,
            "{op:?}"
        );
    }
}

#[tokio::test]
async fn requests_are_as_the_protocol_says() {
    let absent = PlatformOp::Write {
        key: "claims/007".to_owned(),
        precondition: Precondition::Absent,
        value: b"value".to_vec(),
    };
    let cases = [
        (read(), "GET /objects/agents/a HTTP/1.1", ""),
        (list(), "GET /objects?prefix=live/ HTTP/1.1", ""),
        (
            watch(),
            "GET /watch?prefix=live/&after=7&wait_ms=25000 HTTP/1.1",
            "",
        ),
        (
            write(),
            "PUT /objects/agents/a%20b%3F%25%26 HTTP/1.1",
            "if-match: 3",
        ),
        (
            absent,
            "PUT /objects/claims/007 HTTP/1.1",
            "if-none-match: *",
        ),
        (
            delete(Precondition::Version(ObjectVersion(3))),
            "DELETE /objects/agents/a HTTP/1.1",
            "if-match: 3",
        ),
    ];
    for (op, line, header) in cases {
        let (address, mut requests) = server(Does::Sends(OK_EMPTY)).await;
        HttpPlatform::new(address).call(&op).await;
        let request = requests.recv().await.unwrap();
        assert_eq!(request.lines().next(), Some(line), "{op:?}");
        assert!(request.to_lowercase().contains(header), "{op:?}: {request}");
        if matches!(op, PlatformOp::Write { .. }) {
            assert!(request.ends_with("\r\n\r\nvalue"), "{op:?}: {request}");
        }
    }
}

#[tokio::test]
async fn small_calls_answer_or_fail_with_a_code() {
    let cases = [
        (Does::Sends(OK_VALUE), Some(200)),
        (Does::Sends(REFUSED), Some(503)),
        (Does::Sends(CUT), None),
        (Does::Sends(NOT_HTTP), None),
        (Does::Closes, None),
        (Does::IsSilent, None),
    ];
    for (does, status) in cases {
        let (address, mut requests) = server(does).await;
        let call = plat::http::get(address, "/status");
        let (answer, _) = when_read(does, call, &mut requests).await;
        match (answer, status) {
            (Ok(answer), Some(status)) => assert_eq!(answer.status, status),
            (Err(fault), None) => {
                assert_eq!(fault.code(), base::ErrorCode::Unreachable, "{fault}");
            }
            (answer, _) => panic!("server {does:?}: {answer:?}"),
        }
    }
    let (address, mut requests) = server(Does::Sends(OK_VALUE)).await;
    let answer = plat::http::post(address, "/drain", "x".into())
        .await
        .unwrap();
    assert_eq!(&answer.body[..], b"hi");
    let request = requests.recv().await.unwrap();
    assert!(request.starts_with("POST /drain HTTP/1.1"), "{request}");
}
