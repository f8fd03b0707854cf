//! Attempts at an engine that follows its protocol or violates it.

use crate::support::{
    AgentFixture, Behavior, Observed, attempt, start_unresponsive_upstream,
    start_upstream, with_test_timeout,
};
use base::{ErrorCode, RunStatus};
use schema::link::{Cancel, End, frame};
use std::time::Duration;
use tokio::io::AsyncReadExt;

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

fn token(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"text\":{text:?},\"finish_reason\":null}}]}}\n\n")
}

fn last_chunk(tokens: u64) -> String {
    format!(
        "data: {{\"choices\":[{{\"text\":\"\",\"finish_reason\":\"stop\"}}],\
         \"usage\":{{\"completion_tokens\":{tokens}}}}}\n\n"
    )
}

fn stream(parts: &[String]) -> String {
    format!("{STREAM_HEAD}{}", parts.concat())
}

/// Everything that the entry receives about one attempt.
#[derive(Debug, Default)]
struct AttemptRecord {
    started: bool,
    text: String,
    units: u64,
    refused: bool,
    end: End,
}

/// Receives the frames of an attempt up to its end; the parts must be contiguous.
async fn record_attempt(
    fixture: &mut AgentFixture,
    resume_offset: u64,
) -> AttemptRecord {
    let mut record = AttemptRecord {
        units: resume_offset,
        ..AttemptRecord::default()
    };
    loop {
        match fixture.next_attempt_frame().await {
            frame::Body::Started(_) => record.started = true,
            frame::Body::Answer(part) => {
                assert!(record.started, "a part arrived before `Started`");
                assert_eq!(part.offset, record.units);
                record.units += u64::from(part.units);
                record.text += &String::from_utf8(part.payload).unwrap();
            }
            frame::Body::End(end) => {
                record.end = end;
                return record;
            }
            frame::Body::Refused(_) => {
                record.refused = true;
                return record;
            }
            body => panic!("unexpected {body:?}"),
        }
    }
}

#[tokio::test]
async fn an_answer_is_streamed_token_by_token() {
    let parts = [token("a"), token(" b"), token("ü\n"), last_chunk(3)];
    let text = stream(&parts) + "data: [DONE]\n\n";
    let (address, mut observed) = start_upstream(Behavior::Respond(text)).await;
    let mut fixture = AgentFixture::start("engines", address).await;
    let run = fixture.build_run(false);
    fixture.send(frame::Body::Run(run)).await;
    let record = record_attempt(&mut fixture, 0).await;
    assert_eq!((record.text.as_str(), record.units), ("a bü\n", 3));
    assert_eq!((record.end.code, record.end.total_units), (0, 3));
    let Some(Observed::Request(request)) = with_test_timeout(observed.recv()).await
    else {
        panic!("the engine received nothing");
    };
    let request = request.to_lowercase();
    for line in [
        "post /v1/completions http/1.1",
        "x-request-id: 4d-1",
        "x-priority: 3",
        "x-resume-offset: 0",
        "x-model-version: 1",
        "{\"prompt\":\"p\"}",
    ] {
        assert!(request.contains(line), "{line} is not in {request}");
    }
    assert_eq!(fixture.agent.attempts_at_upstream(), 0);
}

/// A response of the engine that is not a complete answer, and the expected end.
struct FailureCase {
    name: &'static str,
    response: String,
    code: ErrorCode,
    ran: RunStatus,
}

// The engine's answer is truncated, invalid or a refusal. The entry must receive an
// error that says whether the request ran, never a successful end, because the caller
// would take a partial answer for a complete one. The error is `not_run` only if the
// engine states that it did not run the request.
#[tokio::test]
async fn an_incomplete_answer_never_ends_successfully() {
    let end_marker = || "data: [DONE]\n\n".to_owned();
    let status = |line: &str| {
        format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
    };
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\ndata:";
    let case = |name, response, code, ran| FailureCase {
        name,
        response,
        code,
        ran,
    };
    let (lost_code, fault_code) = (ErrorCode::UpstreamLost, ErrorCode::UpstreamFault);
    let cases = [
        case(
            "closed immediately",
            String::new(),
            lost_code,
            RunStatus::Ran,
        ),
        case(
            "no end marker",
            stream(&[token("a"), last_chunk(1)]),
            lost_code,
            RunStatus::Ran,
        ),
        case(
            "truncated within a token",
            stream(&[token("a")])[..120].into(),
            lost_code,
            RunStatus::Ran,
        ),
        case(
            "truncated within an HTTP chunk",
            chunked.into(),
            lost_code,
            RunStatus::Ran,
        ),
        case(
            "no last chunk",
            stream(&[token("a"), end_marker()]),
            fault_code,
            RunStatus::Ran,
        ),
        case(
            "fewer tokens than stated",
            stream(&[token("a"), last_chunk(2), end_marker()]),
            fault_code,
            RunStatus::Ran,
        ),
        case(
            "not JSON",
            stream(&["data: {\n\n".into(), end_marker()]),
            fault_code,
            RunStatus::Ran,
        ),
        case(
            "an error in the stream",
            stream(&[token("a"), "data: {\"error\":{}}\n\n".into(), end_marker()]),
            fault_code,
            RunStatus::Ran,
        ),
        case(
            "not HTTP",
            "hello\r\n\r\n".into(),
            lost_code,
            RunStatus::Ran,
        ),
        case(
            "500",
            status("500 Internal Server Error"),
            fault_code,
            RunStatus::Ran,
        ),
        case(
            "503 without the header",
            status("503 Service Unavailable"),
            fault_code,
            RunStatus::Ran,
        ),
        case(
            "503 that states not run",
            status("503 Service Unavailable\r\nX-Not-Run: 1"),
            fault_code,
            RunStatus::NotRun,
        ),
        case(
            "header without 503",
            status("500 Oh\r\nX-Not-Run: 1"),
            fault_code,
            RunStatus::Ran,
        ),
    ];
    for case in cases {
        let (address, _observed) =
            start_upstream(Behavior::Respond(case.response)).await;
        let mut fixture = AgentFixture::start("engines", address).await;
        let run = fixture.build_run(false);
        fixture.send(frame::Body::Run(run)).await;
        let record = record_attempt(&mut fixture, 0).await;
        let end = record.end;
        assert!(!record.refused, "{}", case.name);
        assert_eq!(end.code, case.code.number(), "{}: {end:?}", case.name);
        assert_eq!(end.ran, case.ran.number(), "{}: {end:?}", case.name);
        fixture.agent.abort();
    }
}

// An answer is resumed after the tokens that the caller already has. The engine's token
// count is that of the whole answer, so it includes the offset.
#[tokio::test]
async fn a_resumed_answer_counts_from_its_offset() {
    let parts = [token("c"), token("d"), last_chunk(4)];
    let text = stream(&parts) + "data: [DONE]\n\n";
    let (address, mut observed) = start_upstream(Behavior::Respond(text)).await;
    let mut fixture = AgentFixture::start("engines", address).await;
    let mut run = fixture.build_run(false);
    run.resume_offset = 2;
    fixture.send(frame::Body::Run(run)).await;
    let record = record_attempt(&mut fixture, 2).await;
    assert_eq!((record.text.as_str(), record.units), ("cd", 4));
    assert_eq!((record.end.code, record.end.total_units), (0, 4));
    let Some(Observed::Request(request)) = with_test_timeout(observed.recv()).await
    else {
        panic!("the engine received nothing");
    };
    assert!(request.contains("x-resume-offset: 2"), "{request}");
}

// The caller disconnects before or while its answer is streamed. The engine must see
// its connection close, which is its only signal to stop. Otherwise it would complete
// an answer that nobody reads.
#[tokio::test]
async fn a_cancel_closes_the_connection() {
    for response in [stream(&[token("a")]), String::new()] {
        let (address, mut observed) =
            start_upstream(Behavior::RespondAndHold(response)).await;
        let mut fixture = AgentFixture::start("engines", address).await;
        let run = fixture.build_run(false);
        fixture.send(frame::Body::Run(run)).await;
        assert!(matches!(
            fixture.next_attempt_frame().await,
            frame::Body::Started(_)
        ));
        assert!(matches!(
            with_test_timeout(observed.recv()).await,
            Some(Observed::Request(_))
        ));
        let attempt = Some(attempt());
        fixture.send(frame::Body::Cancel(Cancel { attempt })).await;
        assert!(matches!(
            with_test_timeout(observed.recv()).await,
            Some(Observed::Closed)
        ));
        fixture.agent.abort();
    }
}

// The engine has stopped reading, so a long request has been sent only in part when the
// caller disconnects. When the engine continues to read, it must find the connection
// closed. If the rest were sent, it would run a request that nobody waits for.
#[tokio::test]
async fn a_cancel_sends_no_more_of_the_request() {
    let (address, mut requests) = start_unresponsive_upstream().await;
    let mut fixture = AgentFixture::start("engines", address).await;
    let mut run = fixture.build_run(false);
    run.body = vec![b'x'; REQUEST_BYTES];
    fixture.send(frame::Body::Run(run)).await;
    assert!(matches!(
        fixture.next_attempt_frame().await,
        frame::Body::Started(_)
    ));
    let mut stream = with_test_timeout(requests.recv())
        .await
        .expect("the request");
    let attempt = Some(attempt());
    fixture.send(frame::Body::Cancel(Cancel { attempt })).await;
    let stopped = async {
        while fixture.agent.attempts_at_upstream() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    with_test_timeout(stopped).await;
    let mut rest = Vec::new();
    let _ = with_test_timeout(stream.read_to_end(&mut rest)).await;
    assert!(rest.len() < REQUEST_BYTES, "the whole request was sent");
}

/// Larger than the operating system's socket buffers for a peer that reads nothing.
const REQUEST_BYTES: usize = 16_000_000;

// The agent's process dies while an answer is streamed. The engine must see its
// connection close.
#[tokio::test]
async fn process_death_closes_the_connection() {
    let behavior = Behavior::RespondAndHold(stream(&[token("a")]));
    let (address, mut observed) = start_upstream(behavior).await;
    let mut fixture = AgentFixture::start("engines", address).await;
    let run = fixture.build_run(false);
    fixture.send(frame::Body::Run(run)).await;
    while !matches!(fixture.next_attempt_frame().await, frame::Body::Answer(_)) {}
    assert!(matches!(
        with_test_timeout(observed.recv()).await,
        Some(Observed::Request(_))
    ));
    fixture.agent.abort();
    assert!(matches!(
        with_test_timeout(observed.recv()).await,
        Some(Observed::Closed)
    ));
}

// The entry stops reading during a long answer and continues later. Parts that exceed
// the send queue must wait at the engine. If they were enqueued without waiting, the
// queue would overflow and the link would be closed, which would end all attempts on
// it.
#[tokio::test]
async fn a_slow_entry_receives_its_whole_answer() {
    const TOKENS: u64 = 4_000;
    let text = "x".repeat(4_096);
    let mut parts = vec![token(&text); 4_000];
    parts.push(last_chunk(TOKENS));
    parts.push("data: [DONE]\n\n".to_owned());
    let (address, _observed) = start_upstream(Behavior::Respond(stream(&parts))).await;
    let mut fixture = AgentFixture::start("engines", address).await;
    let run = fixture.build_run(false);
    fixture.send(frame::Body::Run(run)).await;
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let record = record_attempt(&mut fixture, 0).await;
    assert_eq!(record.end.code, 0);
    assert_eq!(record.text.len(), 4_096 * 4_000);
}
