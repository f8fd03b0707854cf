//! Tests of the platform's client against a server that responds, fails or does not
//! respond.

use base::{ObjectVersion, PlatformOp, PlatformResult, Precondition};
use plat::{HttpPlatform, ObjectApi};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What the server does after it has read a complete request.
#[derive(Debug, Clone, Copy)]
enum ServerBehavior {
    /// Sends this text and closes the connection.
    Sends(&'static str),
    /// Sends one of these texts for each request, in order, and closes the connection.
    SendsInTurn(&'static [&'static str]),
    /// Closes the connection without a response.
    Closes,
    /// Keeps the connection open and does not respond.
    NeverResponds,
}

/// Starts a server with one behavior; the channel receives each request it reads.
async fn server(
    behavior: ServerBehavior,
) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, received_requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut open_streams = Vec::new();
        let mut answered = 0;
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = requests.send(read_request(&mut stream).await);
            match behavior {
                ServerBehavior::Sends(text) => {
                    let _ = stream.write_all(text.as_bytes()).await;
                }
                ServerBehavior::SendsInTurn(texts) => {
                    let _ = stream.write_all(texts[answered].as_bytes()).await;
                    answered += 1;
                }
                ServerBehavior::Closes => {}
                ServerBehavior::NeverResponds => open_streams.push(stream),
            }
        }
    });
    (address, received_requests)
}

/// Returns the result of a call, and whether the server read its request.
///
/// If the server does not respond, the clock is paused once the request is read, so
/// that timeouts elapse at once. If it were paused earlier, a timeout could elapse
/// before the request arrives.
async fn complete_call<T>(
    behavior: ServerBehavior,
    call: impl Future<Output = T>,
    requests: &mut mpsc::UnboundedReceiver<String>,
) -> (T, bool) {
    let read = async {
        let sent = requests.recv().await.is_some();
        if matches!(behavior, ServerBehavior::NeverResponds) {
            tokio::time::pause();
        }
        sent
    };
    // Longer than all timeouts of the client, so that a call without one fails.
    let call_timeout = Duration::from_secs(3_600);
    let call = tokio::time::timeout(call_timeout, call);
    let (result, sent) = tokio::join!(call, read);
    if matches!(behavior, ServerBehavior::NeverResponds) {
        tokio::time::resume();
    }
    (result.expect("the call has no timeout"), sent)
}

/// Reads one request: its head, and a body of the length given in the head.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1_024];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length_header = head.split("content-length: ").nth(1);
            let length = length_header.and_then(|rest| rest.lines().next());
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
const TRUNCATED: &str =
    "HTTP/1.1 200 OK\r\nX-Version: 9\r\nContent-Length: 9\r\n\r\nhi";
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

// The platform responds, refuses, closes the connection early or does not respond.
// A write without a complete response may have taken effect. If it resulted in
// `Unavailable`, its caller would write again, or assume that a claim was not taken.
// A read has no effect, so a failed one results in `Unavailable`.
#[tokio::test]
async fn each_response_maps_to_its_result() {
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
            ServerBehavior::Sends(OK_VALUE),
            Object(Some((ObjectVersion(9), b"hi".to_vec()))),
        ),
        (read(), ServerBehavior::Sends(NOT_FOUND), Object(None)),
        (read(), ServerBehavior::Sends(NO_VERSION), Unavailable),
        (read(), ServerBehavior::Sends(REFUSED), Unavailable),
        (read(), ServerBehavior::Sends(TRUNCATED), Unavailable),
        (read(), ServerBehavior::Sends(NOT_HTTP), Unavailable),
        (read(), ServerBehavior::Closes, Unavailable),
        (read(), ServerBehavior::NeverResponds, Unavailable),
        (list(), ServerBehavior::Sends(LISTING), listed()),
        (list(), ServerBehavior::Sends(BAD_LISTING), Unavailable),
        (list(), ServerBehavior::Sends(BAD_BASE64), Unavailable),
        (list(), ServerBehavior::NeverResponds, Unavailable),
        (watch(), ServerBehavior::Sends(LISTING), listed()),
        (watch(), ServerBehavior::NeverResponds, Unavailable),
        (
            write(),
            ServerBehavior::Sends(OK_EMPTY),
            Written(ObjectVersion(9)),
        ),
        (write(), ServerBehavior::Sends(NO_VERSION), Unanswered),
        (write(), ServerBehavior::Sends(CONFLICT), Conflict),
        (write(), ServerBehavior::Sends(REFUSED), Unavailable),
        (write(), ServerBehavior::Sends(BAD_GATEWAY), Unanswered),
        (write(), ServerBehavior::Sends(NOT_HTTP), Unanswered),
        (write(), ServerBehavior::Closes, Unanswered),
        (write(), ServerBehavior::NeverResponds, Unanswered),
        (
            any(),
            ServerBehavior::Sends(OK_EMPTY),
            Written(ObjectVersion(9)),
        ),
        (
            any(),
            ServerBehavior::Sends(NOT_FOUND),
            Written(ObjectVersion(0)),
        ),
        (versioned(), ServerBehavior::Sends(NOT_FOUND), Conflict),
        (versioned(), ServerBehavior::Sends(CONFLICT), Conflict),
        (versioned(), ServerBehavior::Closes, Unanswered),
    ];
    for (op, behavior, expected) in cases {
        let (address, mut requests) = server(behavior).await;
        let platform = HttpPlatform::new(address);
        let (result, sent) =
            complete_call(behavior, platform.call(&op), &mut requests).await;
        assert_eq!(result, expected, "{op:?} and the server {behavior:?}");
        assert!(sent, "{op:?} was not sent");
        assert!(requests.try_recv().is_err(), "{op:?} was sent again");
    }
}

#[tokio::test]
async fn a_refused_connection_is_unavailable_for_all_operations() {
    // A loopback address that nothing else uses, so that the port stays free.
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
async fn requests_follow_the_protocol() {
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
        let (address, mut requests) = server(ServerBehavior::Sends(OK_EMPTY)).await;
        HttpPlatform::new(address).call(&op).await;
        let request = requests.recv().await.unwrap();
        assert_eq!(request.lines().next(), Some(line), "{op:?}");
        assert!(request.to_lowercase().contains(header), "{op:?}: {request}");
        if matches!(op, PlatformOp::Write { .. }) {
            assert!(request.ends_with("\r\n\r\nvalue"), "{op:?}: {request}");
        }
    }
}

/// Responses of a platform at generation 2, and of one that was restored once more.
const VALUE_AT_2: &str = "HTTP/1.1 200 OK\r\nX-Generation: 2\r\nX-Version: 9\r\n\
    Content-Length: 2\r\n\r\nhi";
const WRITTEN_AT_3: &str = "HTTP/1.1 200 OK\r\nX-Generation: 3\r\nX-Version: 4\r\n\
    Content-Length: 0\r\n\r\n";
const LISTING_AT_3: &str = "HTTP/1.1 200 OK\r\nX-Generation: 3\r\nConnection: close\r\n\
    \r\n{\"version\":5,\"objects\":[\
    {\"key\":\"live/b\",\"version\":4,\"value_base64\":\"aGk=\"}]}";
const GONE_AT_3: &str =
    "HTTP/1.1 410 Gone\r\nX-Generation: 3\r\nContent-Length: 0\r\n\r\n";

fn write_if(precondition: Precondition) -> PlatformOp {
    PlatformOp::Write {
        key: "claims/007".to_owned(),
        precondition,
        value: b"value".to_vec(),
    }
}

fn watch_after(after: ObjectVersion) -> PlatformOp {
    PlatformOp::Watch {
        prefix: "live/".to_owned(),
        after,
    }
}

/// Guards against a restore of the platform that its clients don't notice, as versions go
/// back and are given out again.
#[tokio::test]
async fn versions_name_the_generation() {
    let (address, _requests) =
        server(ServerBehavior::SendsInTurn(&[VALUE_AT_2, LISTING_AT_3])).await;
    let platform = HttpPlatform::new(address);
    assert_eq!(platform.generation(), 0);
    let version = ObjectVersion::new(2, 9);
    let object = PlatformResult::Object(Some((version, b"hi".to_vec())));
    assert_eq!(platform.call(&read()).await, object);
    assert_eq!(platform.generation(), 2);
    let object = (
        "live/b".to_owned(),
        ObjectVersion::new(3, 4),
        b"hi".to_vec(),
    );
    let listed = PlatformResult::Objects(vec![object], ObjectVersion::new(3, 5));
    assert_eq!(platform.call(&list()).await, listed);
    assert_eq!(platform.generation(), 3);
}

/// Guards against changes on a condition that was read before a restore, and against
/// watches from a version that is given out again.
#[tokio::test]
async fn a_restore_in_between_ends_conditional_changes_and_watches() {
    use PlatformResult::{Conflict, HistoryGone, Unanswered};
    let at_2 = ObjectVersion::new(2, 9);
    let unchanged = Precondition::Version(at_2);
    let cases = [
        (write_if(unchanged), WRITTEN_AT_3, Unanswered),
        (write_if(Precondition::Absent), WRITTEN_AT_3, Unanswered),
        (write_if(unchanged), CONFLICT, Conflict),
        (delete(unchanged), WRITTEN_AT_3, Unanswered),
        (watch_after(at_2), LISTING_AT_3, HistoryGone),
        (watch_after(at_2), GONE_AT_3, HistoryGone),
    ];
    for (op, response, expected) in cases {
        let responses: &'static [&'static str] =
            Box::leak(Box::new([VALUE_AT_2, response]));
        let (address, mut requests) =
            server(ServerBehavior::SendsInTurn(responses)).await;
        let platform = HttpPlatform::new(address);
        platform.call(&read()).await;
        requests.recv().await.unwrap();
        assert_eq!(platform.call(&op).await, expected, "{op:?}");
        let request = requests.recv().await.unwrap().to_lowercase();
        assert!(request.contains("x-generation: 2"), "{op:?}: {request}");
        let names_version = !matches!(
            op,
            PlatformOp::Write {
                precondition: Precondition::Absent,
                ..
            }
        );
        let version = ["if-match: 9", "after=9&"];
        let is_named = version.iter().any(|version| request.contains(version));
        assert_eq!(is_named, names_version, "{op:?}: {request}");
    }
}

/// Guards against sending a change or a watch of a generation that is known to be over.
#[tokio::test]
async fn operations_of_an_earlier_generation_are_not_sent() {
    let (address, mut requests) = server(ServerBehavior::Sends(VALUE_AT_2)).await;
    let platform = HttpPlatform::new(address);
    platform.call(&read()).await;
    requests.recv().await.unwrap();
    let at_1 = ObjectVersion::new(1, 9);
    let unchanged = Precondition::Version(at_1);
    let cases = [
        (write_if(unchanged), PlatformResult::Conflict),
        (delete(unchanged), PlatformResult::Conflict),
        (watch_after(at_1), PlatformResult::HistoryGone),
    ];
    for (op, expected) in cases {
        assert_eq!(platform.call(&op).await, expected, "{op:?}");
        assert!(requests.try_recv().is_err(), "{op:?} was sent");
    }
}

/// Guards against state of before a restore that arrives after it is known.
#[tokio::test]
async fn responses_of_an_earlier_generation_are_no_state() {
    use PlatformResult::{Unanswered, Unavailable};
    let cases = [
        (read(), VALUE_AT_2, Unavailable),
        (write_if(Precondition::Any), VALUE_AT_2, Unanswered),
    ];
    for (op, response, expected) in cases {
        let responses: &'static [&'static str] =
            Box::leak(Box::new([LISTING_AT_3, response]));
        let (address, _requests) = server(ServerBehavior::SendsInTurn(responses)).await;
        let platform = HttpPlatform::new(address);
        platform.call(&list()).await;
        assert_eq!(platform.call(&op).await, expected, "{op:?}");
    }
}

#[tokio::test]
async fn requests_to_operators_return_a_response_or_a_code() {
    let cases = [
        (ServerBehavior::Sends(OK_VALUE), Some(200)),
        (ServerBehavior::Sends(REFUSED), Some(503)),
        (ServerBehavior::Sends(TRUNCATED), None),
        (ServerBehavior::Sends(NOT_HTTP), None),
        (ServerBehavior::Closes, None),
        (ServerBehavior::NeverResponds, None),
    ];
    for (behavior, status) in cases {
        let (address, mut requests) = server(behavior).await;
        let call = plat::http::get(address, "/status");
        let (response, _) = complete_call(behavior, call, &mut requests).await;
        match (response, status) {
            (Ok(response), Some(status)) => assert_eq!(response.status, status),
            (Err(error), None) => {
                assert_eq!(error.code(), base::ErrorCode::Unreachable, "{error}");
            }
            (response, _) => panic!("server {behavior:?}: {response:?}"),
        }
    }
    let (address, mut requests) = server(ServerBehavior::Sends(OK_VALUE)).await;
    let response = plat::http::post(address, "/drain", "x".into())
        .await
        .unwrap();
    assert_eq!(&response.body[..], b"hi");
    let request = requests.recv().await.unwrap();
    assert!(request.starts_with("POST /drain HTTP/1.1"), "{request}");
}
