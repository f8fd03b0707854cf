//! Requests to a plain service, links to entries and the operators' API.

use crate::support::{
    AgentFixture, Behavior, ENTRY_INCARNATION, Observed, attempt, connect_entry,
    serve_state_requests, start_upstream, try_connect_entry, with_test_timeout,
};
use base::{ErrorCode, RunStatus};
use schema::link::{Attempt, frame};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_service_answer_is_forwarded_with_its_status() {
    let response = "HTTP/1.1 404 Not Found\r\nContent-Type: text/x\r\n\
        Content-Length: 5\r\n\r\nhello";
    let (address, mut observed) =
        start_upstream(Behavior::Respond(response.to_owned())).await;
    let mut fixture = AgentFixture::start("plain", address).await;
    let mut run = fixture.build_run(true);
    run.idempotency_key = "k1".to_owned();
    fixture.send(frame::Body::Run(run)).await;
    let mut bytes = Vec::new();
    let end = loop {
        match fixture.next_attempt_frame().await {
            frame::Body::Started(_) => {}
            frame::Body::Answer(part) => {
                assert_eq!(part.offset, bytes.len() as u64);
                assert_eq!(part.units as usize, part.payload.len());
                bytes.extend(part.payload);
            }
            frame::Body::End(end) => break end,
            body => panic!("unexpected {body:?}"),
        }
    };
    assert_eq!(bytes, b"hello");
    assert_eq!((end.code, end.status, end.total_units), (0, 404, 5));
    assert_eq!(end.content_type, "text/x");
    let Some(Observed::Request(request)) = observed.recv().await else {
        panic!("the service received nothing");
    };
    assert!(request.starts_with("POST /do HTTP/1.1"), "{request}");
    assert!(request.contains("idempotency-key: k1"), "{request}");
}

// The caller resends a request with its idempotency key, for example after a lost
// answer. The request must not run again: the agent has stored the parts of the first
// answer and sends them again.
#[tokio::test]
async fn a_resent_request_gets_the_stored_answer_without_a_run() {
    let response = "HTTP/1.1 201 Created\r\nContent-Type: text/x\r\n\
        Content-Length: 5\r\n\r\nhello";
    let (address, mut observed) =
        start_upstream(Behavior::Respond(response.to_owned())).await;
    let mut fixture = AgentFixture::start("plain", address).await;
    for sequence in [1, 2] {
        let mut run = fixture.build_run(true);
        run.attempt = Some(Attempt {
            sequence,
            ..attempt()
        });
        run.idempotency_key = "k1".to_owned();
        fixture.send(frame::Body::Run(run)).await;
        let mut bytes = Vec::new();
        let end = loop {
            match fixture.next_attempt_frame().await {
                frame::Body::Answer(part) => bytes.extend(part.payload),
                frame::Body::End(end) => break end,
                frame::Body::Started(_) => {
                    assert_eq!(sequence, 1, "the request ran again");
                }
                body => panic!("unexpected {body:?}"),
            }
        };
        assert_eq!(bytes, b"hello");
        assert_eq!((end.code, end.status), (0, 201));
        assert_eq!(end.content_type, "text/x");
        assert_eq!(end.replayed, sequence == 2);
    }
    assert!(matches!(observed.recv().await, Some(Observed::Request(_))));
    assert!(
        observed.try_recv().is_err(),
        "the service received two requests"
    );
}

// A client opens many connections and sends nothing. The agent must close connections
// above its limit immediately, keep the links of entries, and accept new connections
// once others have closed.
#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let (address, _observed) = start_upstream(Behavior::Respond(String::new())).await;
    let fixture = AgentFixture::start("engines", address).await;
    let mut silent_connections = Vec::new();
    for _ in 0..200 {
        silent_connections.push(
            TcpStream::connect(fixture.agent.link_address)
                .await
                .unwrap(),
        );
    }
    fixture
        .wait_for_operator_text("/metrics", "sesame_agent_refused_links_total 73")
        .await;
    let mut last_connection = silent_connections
        .pop()
        .expect("200 connections were opened");
    assert_eq!(
        with_test_timeout(last_connection.read(&mut [0; 1]))
            .await
            .unwrap_or(0),
        0
    );
    fixture
        .wait_for_operator_text("/metrics", "sesame_agent_links_up 1")
        .await;
    drop(silent_connections);
    let other_entry = async {
        while try_connect_entry(&fixture.agent, "other").await.is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    with_test_timeout(other_entry).await;
}

// The service closes the connection in the middle of its answer's body. The request
// ran, but whether it took effect is unknown. The agent must not report a complete
// answer, nor that the request did not run.
#[tokio::test]
async fn a_truncated_service_answer_counts_as_ran() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello";
    let (address, _observed) =
        start_upstream(Behavior::Respond(response.to_owned())).await;
    let mut fixture = AgentFixture::start("plain", address).await;
    let mut run = fixture.build_run(true);
    run.idempotency_key = "k1".to_owned();
    fixture.send(frame::Body::Run(run)).await;
    let end = loop {
        if let frame::Body::End(end) = fixture.next_attempt_frame().await {
            break end;
        }
    };
    assert_eq!(end.code, ErrorCode::UpstreamLost.number());
    assert_eq!(end.ran, RunStatus::Ran.number());
}

// The path of a request is not valid in HTTP or would name another host. Nothing may be
// sent, and the agent must refuse the request.
#[tokio::test]
async fn a_request_with_an_invalid_path_is_not_run() {
    for path in ["http://elsewhere/x", "/a b", ""] {
        let (address, mut observed) =
            start_upstream(Behavior::Respond(String::new())).await;
        let mut fixture = AgentFixture::start("engines", address).await;
        let mut run = fixture.build_run(false);
        run.path = path.to_owned();
        fixture.send(frame::Body::Run(run)).await;
        let body = fixture.next_attempt_frame().await;
        assert!(matches!(body, frame::Body::Refused(_)), "{path}: {body:?}");
        assert!(observed.try_recv().is_err(), "{path} was sent");
        fixture.agent.abort();
    }
}

#[tokio::test]
async fn operators_can_inspect_and_drain_the_process() {
    let (address, _observed) = start_upstream(Behavior::Respond(String::new())).await;
    let fixture = AgentFixture::start("engines", address).await;
    let cases = [
        ("/readyz", "ready"),
        ("/status", "\"upstream_up\":true"),
        ("/metrics", "sesame_agent_ready 1"),
        ("/metrics", "sesame_agent_started_total 0"),
        ("/explain?model=m", "m@1 is on accelerator 0"),
        ("/explain?model=n", "n is on no accelerator"),
        ("/timeline", "\"process\":\"a\""),
    ];
    for (path, text) in cases {
        let answer = fixture.operator_get(path).await;
        assert!(answer.contains(text), "{text} is not in {answer}");
    }
    let operators = fixture.agent.operator_address;
    plat::http::post(operators, "/drain", "".into())
        .await
        .unwrap();
    fixture.agent.wait_drained().await;
}

// An entry reconnects before the agent has noticed that its connection was lost. The
// earlier link must be closed and the new one must work. A late connection of an
// earlier incarnation of the entry must not replace it.
#[tokio::test]
async fn the_latest_connection_of_an_entry_is_used() {
    let answer = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
    let (address, _observed) =
        start_upstream(Behavior::Respond(answer.to_owned())).await;
    let mut fixture = AgentFixture::start("engines", address).await;
    let newer_link = connect_entry(&fixture.agent, ENTRY_INCARNATION).await;
    let mut earlier_link = std::mem::replace(&mut fixture.link, newer_link);
    with_test_timeout(async {
        while earlier_link.receiver.recv().await.unwrap().is_some() {}
    })
    .await;
    let mut old_incarnation =
        connect_entry(&fixture.agent, ENTRY_INCARNATION - 1).await;
    with_test_timeout(async {
        while old_incarnation.receiver.recv().await.unwrap().is_some() {}
    })
    .await;
    let run = fixture.build_run(false);
    fixture.send(frame::Body::Run(run)).await;
    assert!(matches!(
        fixture.next_attempt_frame().await,
        frame::Body::Started(_)
    ));
    assert!(matches!(
        fixture.next_attempt_frame().await,
        frame::Body::End(_)
    ));
}

// The upstream's process has ended when a request arrives. No byte is sent, so the
// agent must report `not_run`, which allows a retry on another upstream. With
// `unknown`, a request that is not idempotent would fail.
#[tokio::test]
async fn a_dead_upstream_yields_not_run() {
    // No other test listens on this loopback address, so the port stays free after
    // the listener is dropped.
    let listener = TcpListener::bind("127.0.0.19:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let state_server = tokio::spawn(serve_state_requests(listener));
    let mut fixture = AgentFixture::start("engines", address).await;
    state_server.abort();
    let _ = state_server.await;
    let run = fixture.build_run(false);
    fixture.send(frame::Body::Run(run)).await;
    let wait =
        tokio::time::timeout(Duration::from_secs(60), fixture.next_attempt_frame());
    match wait.await.expect("no frame arrived") {
        frame::Body::Refused(_) => {}
        frame::Body::End(end) => assert_eq!(end.ran, RunStatus::NotRun.number()),
        body => panic!("unexpected {body:?}"),
    }
}
