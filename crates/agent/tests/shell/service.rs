//! Calls of a plain service, and the agent's other borders.

use crate::support::{
    ENTRY_INCARNATION, Got, Pair, Says, answer_states, attempt, connect, patiently,
    try_connect, upstream,
};
use base::{ErrorCode, RunStatus};
use schema::link::{Attempt, frame};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_service_answers_in_bytes_with_its_status() {
    let says = "HTTP/1.1 404 Not Found\r\nContent-Type: text/x\r\n\
        Content-Length: 5\r\n\r\nhello";
    let (address, mut got) = upstream(Says::Text(says.to_owned())).await;
    let mut pair = Pair::start("plain", address).await;
    let mut run = pair.run(true);
    run.idempotency_key = "k1".to_owned();
    pair.send(frame::Body::Run(run)).await;
    let mut bytes = Vec::new();
    let end = loop {
        match pair.next().await {
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
    let Some(Got::Request(request)) = got.recv().await else {
        panic!("the service got nothing");
    };
    assert!(request.starts_with("POST /do HTTP/1.1"), "{request}");
    assert!(request.contains("idempotency-key: k1"), "{request}");
}

// The caller sends a call again under its key, as after a lost answer.
// The call must not run a second time: the agent kept the parts of the first
// answer as they passed, and gives them again.
#[tokio::test]
async fn a_resend_gets_the_stored_answer_and_runs_nothing() {
    let says = "HTTP/1.1 201 Created\r\nContent-Type: text/x\r\n\
        Content-Length: 5\r\n\r\nhello";
    let (address, mut got) = upstream(Says::Text(says.to_owned())).await;
    let mut pair = Pair::start("plain", address).await;
    for sequence in [1, 2] {
        let mut run = pair.run(true);
        run.attempt = Some(Attempt {
            sequence,
            ..attempt()
        });
        run.idempotency_key = "k1".to_owned();
        pair.send(frame::Body::Run(run)).await;
        let mut bytes = Vec::new();
        let end = loop {
            match pair.next().await {
                frame::Body::Answer(part) => bytes.extend(part.payload),
                frame::Body::End(end) => break end,
                frame::Body::Started(_) => assert_eq!(sequence, 1, "run again"),
                body => panic!("unexpected {body:?}"),
            }
        };
        assert_eq!(bytes, b"hello");
        assert_eq!((end.code, end.status), (0, 201));
        assert_eq!(end.content_type, "text/x");
        assert_eq!(end.replayed, sequence == 2);
    }
    assert!(matches!(got.recv().await, Some(Got::Request(_))));
    assert!(got.try_recv().is_err(), "the service was called twice");
}

// Something on the network connects again and again and says nothing.
// The agent closes what is over its bound at once; the links of entries stay,
// and when connections end others are taken.
#[tokio::test]
async fn connections_over_the_bound_are_closed() {
    let (address, _got) = upstream(Says::Text(String::new())).await;
    let pair = Pair::start("engines", address).await;
    let mut silent = Vec::new();
    for _ in 0..200 {
        silent.push(TcpStream::connect(pair.agent.link_address).await.unwrap());
    }
    pair.until("/metrics", "sesame_agent_refused_links_total 73")
        .await;
    let mut last = silent.pop().expect("200 of them");
    assert_eq!(patiently(last.read(&mut [0; 1])).await.unwrap_or(0), 0);
    pair.until("/metrics", "sesame_agent_links_up 1").await;
    drop(silent);
    let other = async {
        while try_connect(&pair.agent, "other").await.is_none() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    patiently(other).await;
}

// The service closes the connection in the middle of its answer's body.
// Whether the call took effect is not known to the caller, but that it ran is:
// it must not be told as a whole answer, nor as not run.
#[tokio::test]
async fn a_cut_answer_of_a_service_ran() {
    let says = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello";
    let (address, _got) = upstream(Says::Text(says.to_owned())).await;
    let mut pair = Pair::start("plain", address).await;
    let mut run = pair.run(true);
    run.idempotency_key = "k1".to_owned();
    pair.send(frame::Body::Run(run)).await;
    let end = loop {
        if let frame::Body::End(end) = pair.next().await {
            break end;
        }
    };
    assert_eq!(end.code, ErrorCode::UpstreamLost.number());
    assert_eq!(end.ran, RunStatus::Ran.number());
}

// A request whose path can't be put in HTTP, or would name another host.
// Nothing may be sent, and the caller hears that nothing was.
#[tokio::test]
async fn a_request_that_is_no_http_is_not_run() {
    for path in ["http://elsewhere/x", "/a b", ""] {
        let (address, mut got) = upstream(Says::Text(String::new())).await;
        let mut pair = Pair::start("engines", address).await;
        let mut run = pair.run(false);
        run.path = path.to_owned();
        pair.send(frame::Body::Run(run)).await;
        let body = pair.next().await;
        assert!(matches!(body, frame::Body::Refused(_)), "{path}: {body:?}");
        assert!(got.try_recv().is_err(), "{path} was sent");
        pair.agent.abort();
    }
}

#[tokio::test]
async fn operators_see_and_drain_the_process() {
    let (address, _got) = upstream(Says::Text(String::new())).await;
    let pair = Pair::start("engines", address).await;
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
        let answer = pair.operators(path).await;
        assert!(answer.contains(text), "{text} is not in {answer}");
    }
    let operators = pair.agent.operator_address;
    plat::http::post(operators, "/drain", "".into())
        .await
        .unwrap();
    pair.agent.wait_drained().await;
}

// The entry's connection broke unseen, and it connects anew.
// Its earlier link must end, and its new one carry work. A connection of an
// earlier run of the entry, which comes late, must not take the place.
#[tokio::test]
async fn the_newest_connection_of_an_entry_counts() {
    let answer = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";
    let (address, _got) = upstream(Says::Text(answer.to_owned())).await;
    let mut pair = Pair::start("engines", address).await;
    let newer = connect(&pair.agent, ENTRY_INCARNATION).await;
    let mut earlier = std::mem::replace(&mut pair.link, newer);
    patiently(async { while earlier.receiver.recv().await.unwrap().is_some() {} })
        .await;
    let mut old_run = connect(&pair.agent, ENTRY_INCARNATION - 1).await;
    patiently(async { while old_run.receiver.recv().await.unwrap().is_some() {} })
        .await;
    let run = pair.run(false);
    pair.send(frame::Body::Run(run)).await;
    assert!(matches!(pair.next().await, frame::Body::Started(_)));
    assert!(matches!(pair.next().await, frame::Body::End(_)));
}

// The upstream's process is gone when work arrives.
// No byte reaches anybody, so the caller must hear `not_run` and may go to
// another upstream; `unknown` would end a call that may not be repeated.
#[tokio::test]
async fn an_upstream_that_is_gone_ran_nothing() {
    // An address of its own: nothing else on the machine takes its port.
    let gone = TcpListener::bind("127.0.0.19:0").await.unwrap();
    let address = gone.local_addr().unwrap();
    let state = tokio::spawn(answer_states(gone));
    let mut pair = Pair::start("engines", address).await;
    state.abort();
    let _ = state.await;
    let run = pair.run(false);
    pair.send(frame::Body::Run(run)).await;
    let wait = tokio::time::timeout(Duration::from_secs(60), pair.next());
    match wait.await.expect("no answer at all") {
        frame::Body::Refused(_) => {}
        frame::Body::End(end) => assert_eq!(end.ran, RunStatus::NotRun.number()),
        body => panic!("unexpected {body:?}"),
    }
}
