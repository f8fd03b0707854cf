//! Polling of an engine's state.

use crate::support::AgentFixture;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const ENGINE_STATE: &str = "{\"incarnation\": 5}";

/// Longer than the agent waits for a response.
const AFTER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Starts an agent in a task. It becomes ready once the test has sent a state.
fn start_agent(listener: &TcpListener) -> JoinHandle<AgentFixture> {
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { AgentFixture::start("engines", address).await })
}

async fn expect_state_request(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    assert!(head.starts_with(b"GET /admin/state "), "{head:?}");
}

async fn send_state(stream: &mut TcpStream) {
    let length = ENGINE_STATE.len();
    let text =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{ENGINE_STATE}");
    stream.write_all(text.as_bytes()).await.unwrap();
}

// If the engine keeps its connection open, all requests for its state must use it. A
// connection for each request would account for most of the cost of an idle agent.
#[tokio::test]
async fn state_requests_share_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _agent = start_agent(&listener);
    let (mut stream, _) = listener.accept().await.unwrap();
    for _ in 0..5 {
        expect_state_request(&mut stream).await;
        send_state(&mut stream).await;
    }
}

// A response arrives after its request timed out. It must not be taken for the response
// to the next request, which must be sent on another connection after the old one was
// closed. Otherwise a state from before an order could be taken for the state after it.
#[tokio::test]
async fn a_late_state_is_not_used_for_the_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _agent = start_agent(&listener);
    let (mut first, _) = listener.accept().await.unwrap();
    expect_state_request(&mut first).await;
    send_state(&mut first).await;
    expect_state_request(&mut first).await;
    tokio::time::sleep(AFTER_RESPONSE_TIMEOUT).await;
    // The connection is closed, so no response can be sent on it any more.
    assert_eq!(first.read(&mut [0; 16]).await.unwrap_or(0), 0);
    let (mut second, _) = listener.accept().await.unwrap();
    expect_state_request(&mut second).await;
    send_state(&mut second).await;
    expect_state_request(&mut second).await;
}
