//! Attempts at an engine that keeps its protocol, or breaks it.

use crate::support::{Got, Pair, Says, attempt, deaf_upstream, patiently, upstream};
use base::{ErrorCode, RunStatus};
use schema::link::{Cancel, End, frame};
use std::time::Duration;
use tokio::io::AsyncReadExt;

const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

fn token(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"text\":{text:?},\"finish_reason\":null}}]}}\n\n")
}

fn last(tokens: u64) -> String {
    format!(
        "data: {{\"choices\":[{{\"text\":\"\",\"finish_reason\":\"stop\"}}],\
         \"usage\":{{\"completion_tokens\":{tokens}}}}}\n\n"
    )
}

fn stream(parts: &[String]) -> String {
    format!("{STREAM}{}", parts.concat())
}

/// Everything that an entry hears about one attempt.
#[derive(Debug, Default)]
struct Heard {
    started: bool,
    text: String,
    units: u64,
    refused: bool,
    end: End,
}

/// Hears an attempt to its end; parts must follow one another without a gap.
async fn hear(pair: &mut Pair, resume_offset: u64) -> Heard {
    let mut heard = Heard {
        units: resume_offset,
        ..Heard::default()
    };
    loop {
        match pair.next().await {
            frame::Body::Started(_) => heard.started = true,
            frame::Body::Answer(part) => {
                assert!(heard.started, "a part came before the start");
                assert_eq!(part.offset, heard.units);
                heard.units += u64::from(part.units);
                heard.text += &String::from_utf8(part.payload).unwrap();
            }
            frame::Body::End(end) => {
                heard.end = end;
                return heard;
            }
            frame::Body::Refused(_) => {
                heard.refused = true;
                return heard;
            }
            body => panic!("unexpected {body:?}"),
        }
    }
}

#[tokio::test]
async fn an_answer_is_streamed_token_by_token() {
    let parts = [token("a"), token(" b"), token("ü\n"), last(3)];
    let text = stream(&parts) + "data: [DONE]\n\n";
    let (address, mut got) = upstream(Says::Text(text)).await;
    let mut pair = Pair::start("engines", address).await;
    let run = pair.run(false);
    pair.send(frame::Body::Run(run)).await;
    let heard = hear(&mut pair, 0).await;
    assert_eq!((heard.text.as_str(), heard.units), ("a bü\n", 3));
    assert_eq!((heard.end.code, heard.end.total_units), (0, 3));
    let Some(Got::Request(request)) = patiently(got.recv()).await else {
        panic!("the engine got nothing");
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
    assert_eq!(pair.agent.attempts_at_upstream(), 0);
}

/// One way in which an answer fails.
struct Fault {
    name: &'static str,
    says: String,
    code: ErrorCode,
    ran: RunStatus,
}

// The engine's answer is cut, wrong or a refusal.
// The entry must hear a fault with what is known about the run, and never an
// end in good order: the caller would take half an answer for a whole one. Only
// the engine's own word that nothing was run makes it `not_run`.
#[tokio::test]
async fn an_answer_that_is_not_whole_is_never_done() {
    let done = || "data: [DONE]\n\n".to_owned();
    let status = |line: &str| {
        format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
    };
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\ndata:";
    let fault = |name, says, code, ran| Fault {
        name,
        says,
        code,
        ran,
    };
    let (lost, broken) = (ErrorCode::UpstreamLost, ErrorCode::UpstreamFault);
    let faults = [
        fault("closed at once", String::new(), lost, RunStatus::Ran),
        fault(
            "no end mark",
            stream(&[token("a"), last(1)]),
            lost,
            RunStatus::Ran,
        ),
        fault(
            "cut within a token",
            stream(&[token("a")])[..120].into(),
            lost,
            RunStatus::Ran,
        ),
        fault("cut within a chunk", chunked.into(), lost, RunStatus::Ran),
        fault(
            "no last chunk",
            stream(&[token("a"), done()]),
            broken,
            RunStatus::Ran,
        ),
        fault(
            "fewer tokens than told",
            stream(&[token("a"), last(2), done()]),
            broken,
            RunStatus::Ran,
        ),
        fault(
            "not JSON",
            stream(&["data: {\n\n".into(), done()]),
            broken,
            RunStatus::Ran,
        ),
        fault(
            "an error in the stream",
            stream(&[token("a"), "data: {\"error\":{}}\n\n".into(), done()]),
            broken,
            RunStatus::Ran,
        ),
        fault("not HTTP", "hello\r\n\r\n".into(), lost, RunStatus::Ran),
        fault(
            "500",
            status("500 Internal Server Error"),
            broken,
            RunStatus::Ran,
        ),
        fault(
            "503 without a mark",
            status("503 Service Unavailable"),
            broken,
            RunStatus::Ran,
        ),
        fault(
            "503 that says not run",
            status("503 Service Unavailable\r\nX-Not-Run: 1"),
            broken,
            RunStatus::NotRun,
        ),
        fault(
            "mark without 503",
            status("500 Oh\r\nX-Not-Run: 1"),
            broken,
            RunStatus::Ran,
        ),
    ];
    for fault in faults {
        let (address, _got) = upstream(Says::Text(fault.says)).await;
        let mut pair = Pair::start("engines", address).await;
        let run = pair.run(false);
        pair.send(frame::Body::Run(run)).await;
        let heard = hear(&mut pair, 0).await;
        let end = heard.end;
        assert!(!heard.refused, "{}", fault.name);
        assert_eq!(end.code, fault.code.number(), "{}: {end:?}", fault.name);
        assert_eq!(end.ran, fault.ran.number(), "{}: {end:?}", fault.name);
        pair.agent.abort();
    }
}

// The answer is continued behind what the caller already has.
// The engine's count is of the whole answer, so the offset is part of it.
#[tokio::test]
async fn a_resumed_answer_counts_from_its_offset() {
    let parts = [token("c"), token("d"), last(4)];
    let text = stream(&parts) + "data: [DONE]\n\n";
    let (address, mut got) = upstream(Says::Text(text)).await;
    let mut pair = Pair::start("engines", address).await;
    let mut run = pair.run(false);
    run.resume_offset = 2;
    pair.send(frame::Body::Run(run)).await;
    let heard = hear(&mut pair, 2).await;
    assert_eq!((heard.text.as_str(), heard.units), ("cd", 4));
    assert_eq!((heard.end.code, heard.end.total_units), (0, 4));
    let Some(Got::Request(request)) = patiently(got.recv()).await else {
        panic!("the engine got nothing");
    };
    assert!(request.contains("x-resume-offset: 2"), "{request}");
}

// The caller goes away while its answer is streamed, or before it has begun.
// The engine must see its connection close: it is the only sign by which it
// stops, and it would otherwise finish an answer that nobody reads.
#[tokio::test]
async fn a_cancel_closes_the_connection() {
    for says in [stream(&[token("a")]), String::new()] {
        let (address, mut got) = upstream(Says::Holds(says)).await;
        let mut pair = Pair::start("engines", address).await;
        let run = pair.run(false);
        pair.send(frame::Body::Run(run)).await;
        assert!(matches!(pair.next().await, frame::Body::Started(_)));
        assert!(matches!(patiently(got.recv()).await, Some(Got::Request(_))));
        let attempt = Some(attempt());
        pair.send(frame::Body::Cancel(Cancel { attempt })).await;
        assert!(matches!(patiently(got.recv()).await, Some(Got::Closed)));
        pair.agent.abort();
    }
}

// The engine has stopped reading, so half of a long request stands in the way to
// it when the caller goes away. Once it reads on it must find the connection
// closed: were the rest still sent, it would run what nobody waits for.
#[tokio::test]
async fn a_cancel_sends_no_more_of_the_request() {
    let (address, mut requests) = deaf_upstream().await;
    let mut pair = Pair::start("engines", address).await;
    let mut run = pair.run(false);
    run.body = vec![b'x'; REQUEST_BYTES];
    pair.send(frame::Body::Run(run)).await;
    assert!(matches!(pair.next().await, frame::Body::Started(_)));
    let mut stream = patiently(requests.recv()).await.expect("the request");
    let attempt = Some(attempt());
    pair.send(frame::Body::Cancel(Cancel { attempt })).await;
    let stopped = async {
        while pair.agent.attempts_at_upstream() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    patiently(stopped).await;
    let mut rest = Vec::new();
    let _ = patiently(stream.read_to_end(&mut rest)).await;
    assert!(rest.len() < REQUEST_BYTES, "all of it was sent");
}

/// Larger than what the operating system takes for a far end that reads nothing.
const REQUEST_BYTES: usize = 16_000_000;

// The agent's own process dies while an answer is streamed.
// The engine must see the connection close here too.
#[tokio::test]
async fn the_end_of_the_process_closes_the_connection() {
    let says = Says::Holds(stream(&[token("a")]));
    let (address, mut got) = upstream(says).await;
    let mut pair = Pair::start("engines", address).await;
    let run = pair.run(false);
    pair.send(frame::Body::Run(run)).await;
    while !matches!(pair.next().await, frame::Body::Answer(_)) {}
    assert!(matches!(patiently(got.recv()).await, Some(Got::Request(_))));
    pair.agent.abort();
    assert!(matches!(patiently(got.recv()).await, Some(Got::Closed)));
}

// The entry stops reading while a long answer comes, and goes on later.
// What does not fit the queue must wait at the engine. Were parts queued
// without waiting, the queue would be full and the link, with everything on it,
// be ended.
#[tokio::test]
async fn a_slow_entry_gets_its_whole_answer() {
    const TOKENS: u64 = 4_000;
    let text = "x".repeat(4_096);
    let mut parts = vec![token(&text); 4_000];
    parts.push(last(TOKENS));
    parts.push("data: [DONE]\n\n".to_owned());
    let (address, _got) = upstream(Says::Text(stream(&parts))).await;
    let mut pair = Pair::start("engines", address).await;
    let run = pair.run(false);
    pair.send(frame::Body::Run(run)).await;
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    let heard = hear(&mut pair, 0).await;
    assert_eq!(heard.end.code, 0);
    assert_eq!(heard.text.len(), 4_096 * 4_000);
}
